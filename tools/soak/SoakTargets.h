#pragma once

#include "soak/FaultProxy.h"
#include "soak/SoakStore.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace basildeck::soak {

// How a target treats requests.
enum class TargetMode { Good, Slow, Sheds, LosesAnswers, AddsBytes, LateAnswers, BreaksOff };

// What the targets saw of one request.
struct RunRecord
{
    int runs = 0;
    Time first;
    std::string organisation;
};

// The targets of the soak, with a proxy before each, and what they saw.
class SoakTargets
{
public:
    SoakTargets(EventLoop &loop, SoakStore &store, std::mt19937_64 &random);

    // Starts a target in a zone and registers it.
    bool add(const std::string &id, const std::string &zone, const Address &at, const Address &via);
    void setMode(const std::string &id, TargetMode mode);
    void setProxyMode(const std::string &id, ProxyMode mode);
    // Registers that a target leaves, and takes its entry away later.
    void leave(const std::string &id);
    std::vector<std::string> ids() const;

    const std::map<std::string, RunRecord> &runs() const { return m_runs; }
    // Broken promises that targets noticed.
    const std::vector<std::string> &faults() const { return m_faults; }
    // Requests that reached a leaving target, with the time since it said so.
    struct LateArrival
    {
        std::string request;
        Duration after;
        Time at;
    };
    const std::vector<LateArrival> &lateArrivals() const { return m_lateArrivals; }

private:
    struct Target
    {
        std::string id;
        std::string zone;
        Address via;
        TargetMode mode = TargetMode::Good;
        std::unique_ptr<EdgeServer> server;
        std::unique_ptr<FaultProxy> proxy;
        std::optional<Time> leavingSince;
        int running = 0;
    };

    std::uint64_t take(Target &target, const IncomingRequest &request);
    void check(const IncomingRequest &request);
    void finish(Target &target, const IncomingRequest &request, const std::string &id);
    void write(const Target &target, const std::string &state);

    EventLoop &m_loop;
    SoakStore &m_store;
    std::mt19937_64 &m_random;
    std::map<std::string, std::unique_ptr<Target>> m_targets;
    std::map<std::string, RunRecord> m_runs;
    std::map<std::uint64_t, bool> m_open; // false once the caller has left
    std::uint64_t m_nextRun = 1;
    std::vector<std::string> m_faults;
    std::vector<LateArrival> m_lateArrivals;
};

} // namespace basildeck::soak
