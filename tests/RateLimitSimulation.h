#pragma once

#include "FakeNetwork.h"
#include "Simulation.h"
#include "decide/HolderTable.h"
#include "decide/RateLimiter.h"

#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace basildeck::test {

// Simulates several VMs that limit one organisation to its rate, with a network, clocks and a table
// of holders.
//
// Commands: traffic VM RATE, burst VM COUNT, kill VM, restart VM, pause VM TIME, cut VM, heal VM,
// gone VM, join VM, leave VM, store down|up, copy, restore, measure. Expectations: over-admission
// 0, refused below|above SHARE, admitted above COUNT, holders NAMES.
class RateLimitSimulation final : public Simulation
{
public:
    explicit RateLimitSimulation(const Line &options);
    void command(const Line &line, Time now) override;
    void step(Time now) override;
    void check(const Line &expectation) override;

    // Requests admitted beyond the limit, determined by a single token bucket over the merged
    // trace.
    double overAdmission() const;
    std::uint64_t offered() const { return m_offered; }
    std::uint64_t refused() const { return m_refused; }
    std::uint64_t messages() const { return m_messages; }
    double meanWaitMs() const;

private:
    struct Node
    {
        Node(const std::string &name, TokenBucketLimit limit, std::uint64_t seed, Time localNow)
            : limiter(limit, seed, localNow)
            , holders(name)
        {}
        RateLimiter limiter;
        HolderView holders;
        StoreVersion acknowledged;
    };
    struct Vm
    {
        std::unique_ptr<Node> node; // null while the VM is dead
        double clockRate = 1;
        Duration clockOffset{ 0 };
        Time pausedUntil;
        double traffic = 0;       // requests per second
        double arrivalCredit = 0; // requests to issue
        std::map<RateLimiter::RequestId, Time> arrived;
        std::optional<Time> unreachableSince;
        bool leaving = false;
    };
    using Message = std::variant<TokenLeaseRequest, TokenLease>;

    Time local(const Vm &vm, Time now) const;
    bool isRunning(const std::string &name, Time now) const;
    void start(const std::string &name, Time now);
    void offerTraffic(Vm &vm, Time now);
    void recordDecision(Vm &vm, const RateLimiter::Decision &decision, Time now);
    void deliver(Time now);
    void heartbeat(Time now);
    void applyTable(const std::string &name, Vm &vm, Time now);
    void propose(Time now);

    TokenBucketLimit m_limit;
    std::map<std::string, Vm> m_vms;
    FakeNetwork<Message> m_network;
    std::mt19937 m_random;
    HolderTable m_storedTable;
    HolderTable m_copiedTable;
    std::uint64_t m_era = 1; // of the store
    bool m_storeUp = true;
    std::set<std::string> m_gone;
    std::vector<Time> m_admittedAt;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_starts = 0;
    bool m_lends = true; // false: a static division of the rate, the baseline
    bool m_measuring = false;
    std::uint64_t m_offered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_messages = 0;
    Duration m_totalWait{ 0 };
    std::uint64_t m_admittedMeasured = 0;
};

} // namespace basildeck::test
