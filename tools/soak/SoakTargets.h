#pragma once

#include "soak/FaultProxy.h"
#include "soak/SoakEndlessResponse.h"
#include "soak/SoakStore.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace basildeck::soak {

// How a target treats requests. The modes after RejectAll apply to a random third of the responses.
enum class TargetMode {
    Healthy,
    Slow,               // responds after slowFactor times the usual service time
    RejectAll,          // answers 503 with Not-Executed
    DropResponses,      // aborts the connection instead of responding
    AppendBytes,        // sends stray bytes after the response
    DuplicateResponses, // sends each response twice
    TruncateResponses,  // closes the connection before the end of the body
    AskForHoldOff,      // often answers 503 with Retry-After and Not-Executed
    RepeatRefusals,     // sends an earlier refusal before the response
    CutHeads,           // closes the connection in the head of the response
    EndlessBytes        // sends an EndlessResponse
};

// The executions of one request, over all targets.
struct ExecutionRecord
{
    int executionCount = 0;
    Time firstStart;
    Time lastStart;
    // When the last run ended or its caller disconnected.
    std::optional<Time> lastEnd;
    bool lastCompleted = false; // the last run ended with a response
    std::string organisation;
};

// The targets of the soak, each behind a FaultProxy, and a record of the requests that they
// received.
class SoakTargets
{
public:
    SoakTargets(EventLoop &loop, SoakStore &store, std::mt19937_64 &random);

    // The service whose requests name their run time and the size of the response in the path:
    // /PREFIX/MILLISECONDS/BYTES. Its targets have no faults.
    static constexpr std::string_view longService = "long";
    static constexpr std::uint16_t port = 8080;

    // Starts a target in a zone and registers it in the store. False if an address is in use.
    bool add(const std::string &id, const std::string &service, const std::string &zone,
             const Address &listenAddress, const Address &proxyAddress);
    void setMode(const std::string &id, TargetMode mode);
    void setProxyMode(const std::string &id, ProxyMode mode);
    // Lets a target leave: it registers as draining, says so in its responses, or both. Its
    // registration is removed later.
    void drain(const std::string &id);
    // Lets some target leave that only registers as draining.
    void drainQuietly();
    // Whether the entries of targets change with each check-in, or only when a target leaves.
    void setCheckingIn(bool checkingIn) { m_isCheckingIn = checkingIn; }
    // Each target writes its entry within a period to a store that was restored from a copy, or
    // removes it again.
    void writeAgain(Duration from, Duration to);
    // The targets that may be disturbed.
    std::vector<std::string> ids() const;

    const std::map<std::string, ExecutionRecord> &executions() const { return m_executions; }
    // Violations that the targets detected.
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t endlessResponseCount() const { return m_endlessResponseCount; }
    // A request that reached a draining target.
    struct DrainingArrival
    {
        std::string requestId;
        Duration sinceDraining;
        Time time;
    };
    const std::vector<DrainingArrival> &drainingArrivals() const { return m_drainingArrivals; }
    // A response in which a target said that it was leaving, or asked for a hold-off.
    struct Notice
    {
        std::string target;
        std::string requestId;
        Time time;
        Duration holdOff; // zero if the target was leaving
    };
    const std::vector<Notice> &notices() const { return m_notices; }
    // Every fourth target names the rate of requests that it takes from all VMs in its responses.
    static constexpr double limitPerSecond = 5;
    // Those targets, and when each named it first.
    const std::map<std::string, Time> &limitedSince() const { return m_limitedSince; }
    // A request that reached a target, whether or not it was executed.
    struct Arrival
    {
        std::string requestId;
        Time time;
    };
    const std::vector<Arrival> &arrivals(const std::string &id) const
    {
        return m_targets.at(id)->arrivals;
    }
    // Whether a fault was injected into a target's link, or cleared, in a period.
    bool wasLinkDisturbed(const std::string &id, Time from, Time to) const;

private:
    struct Target
    {
        std::string id;
        std::string service;
        std::string zone;
        int slots = 0;
        std::int64_t startedAtUnixMs = 0;
        std::uint64_t sequence = 0;
        bool isRegistered = true;
        Address proxyAddress;
        TargetMode mode = TargetMode::Healthy;
        std::unique_ptr<EdgeServer> server;
        std::unique_ptr<FaultProxy> proxy;
        std::optional<Time> drainingSince; // as last acknowledged by the store
        bool saysLeaving = false;          // in its responses
        bool namesLimit = false;           // in its responses
        std::vector<Arrival> arrivals;
        std::vector<Time> linkDisturbances;
        std::set<Time> usedConnections; // by when they were accepted, in RepeatRefusals only
        int runningRequests = 0;
    };

    std::uint64_t handleRequest(Target &target, const IncomingRequest &request);
    void handleDisconnect(std::uint64_t exchangeId);
    void checkRequest(const IncomingRequest &request);
    void completeRequest(Target &target, const IncomingRequest &request, const std::string &id,
                         std::uint64_t exchangeId);
    // Sends more of an endless response until its connection has been closed.
    void sendEndless(std::uint64_t exchangeId, const ResponseSink &sink,
                     const EndlessResponse &response, std::size_t sentBytes);
    // Whether the target turned the request away.
    bool turnAway(Target &target, const IncomingRequest &request, const std::string &id);
    // Returns the fields in which a target says that it is leaving, and which rate it takes.
    std::string noticeFields(Target &target, const std::string &requestId);
    void writeRegistration(Target &target);
    void checkIn(const std::string &id);
    void leave(Target &target, bool isRegistered, bool isSaid);

    EventLoop &m_loop;
    MemoryBudget m_memory{ 1 << 20 }; // for request bodies
    SoakStore &m_store;
    std::mt19937_64 &m_random;
    std::map<std::string, ExecutionRecord> m_executions;
    // The request ids of runs by exchange, until their callers disconnect.
    std::map<std::uint64_t, std::string> m_runs;
    std::set<std::uint64_t> m_endlessExchanges;
    std::size_t m_endlessResponseCount = 0;
    std::uint64_t m_nextExchangeId = 1;
    std::vector<std::string> m_violations;
    std::vector<DrainingArrival> m_drainingArrivals;
    std::vector<Notice> m_notices;
    std::map<std::string, Time> m_limitedSince;
    int m_leaveCount = 0;
    bool m_isCheckingIn = true;
    std::size_t m_usualTargetCount = 0;
    // Last, because its servers report disconnects when they are destroyed.
    std::map<std::string, std::unique_ptr<Target>> m_targets;
};

} // namespace basildeck::soak
