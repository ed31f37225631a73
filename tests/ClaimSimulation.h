#pragma once

#include "FakeNetwork.h"
#include "Simulation.h"
#include "decide/ClaimRegistry.h"
#include "standin/ObjectTable.h"

#include <map>
#include <memory>
#include <variant>

namespace basildeck::test {

// Simulates callers that send each idempotency key several times through VMs of their choice, VMs
// that claim the key from one of possibly several owners, and a store that loses responses.
//
// Commands: keys RATE, repeats COUNT, owners COUNT, kill VM, restart VM, pause VM TIME, store
// up|down|losing SHARE, copy, restore, latency TIME, measure.
// Expectations: runs-per-key 1, wrong-refusals 0, wrong-replays 0, run above COUNT,
// writes-per-second below RATE.
class ClaimSimulation final : public Simulation
{
public:
    explicit ClaimSimulation(const Line &options);
    void command(const Line &line, Time now) override;
    void step(Time now) override;
    void check(const Line &expectation) override;

    int maxRunsPerKey() const;
    std::uint64_t writes() const { return m_writes; }
    std::uint64_t granted() const { return m_runs.size(); }

private:
    // A caller's request at a VM.
    struct Request
    {
        ClaimId id;
        std::string key;
        Time arrived;
        Time sent;
        Time runEnds;
        bool running = false;
        bool dispatched = false;
    };
    struct Vm
    {
        std::unique_ptr<ClaimRegistry> registry; // null while the VM is dead
        std::uint64_t incarnation = 0;
        Time pausedUntil;
        std::map<std::uint64_t, Request> requests;
        std::map<std::uint64_t, std::pair<ClaimFinish, Time>> unconfirmed;
        std::map<std::uint64_t, std::string> abandoned;
    };
    using Message = std::variant<ClaimBegin, ClaimFinish, ClaimRelease, ClaimDecision>;
    // A call to the store in transit, or its response.
    struct Call
    {
        std::string vm;
        std::uint64_t incarnation;
        ClaimRegistry::StoreCall call;
        bool executed = false;
        bool lost = false;
        Result<std::uint64_t> version = std::uint64_t{ 0 };
        std::string value;
        std::uint64_t era = 0; // of the store when it executed the call
    };

    bool isRunning(const Vm &vm, Time now) const { return vm.registry && vm.pausedUntil <= now; }
    std::string ownerOf(const std::string &key);
    void announceEra(Time now);
    void startRequests(Time now);
    void updateRequests(const std::string &name, Vm &vm, Time now);
    void deliver(Time now);
    void onDecision(const std::string &name, Vm &vm, const std::string &owner,
                    const ClaimDecision &decision, Time now);
    void processStoreCalls(Time now);
    void executeCall(Call &call);
    void deliverResponse(Call &call, Time now);

    std::map<std::string, Vm> m_vms;
    FakeNetwork<Message> m_network;
    std::mt19937 m_random;
    standin::ObjectTable m_store;
    standin::ObjectTable m_copy;
    std::uint64_t m_era = 1; // of the store
    Time m_restoredAt;
    std::multimap<Time, Call> m_calls;
    double m_keyRate;
    double m_dueKeys = 0;
    int m_repeats;
    int m_owners;
    bool m_storeUp = true;
    double m_storeLoss = 0;
    Duration m_latency = milliseconds(5);
    std::uint64_t m_nextKey = 0;
    std::uint64_t m_nextSequence = 0;
    std::multimap<Time, std::string> m_planned;     // keys to send, by time
    std::map<std::string, int> m_runs;              // number of runs, by key: the reference model
    std::map<std::string, std::string> m_responses; // response of the latest run, by key
    std::uint64_t m_wrongRefusals = 0;
    std::uint64_t m_wrongReplays = 0;
    std::uint64_t m_replays = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_writesBefore = 0;
    Time m_measuredFrom;
    Time m_lastStep;
};

} // namespace basildeck::test
