#pragma once

#include "core/Metrics.h"
#include "decide/CrashQuarantine.h"
#include "decide/QuotaLedger.h"
#include "decide/RetryBudget.h"
#include "edge/ForwardedRequest.h"
#include "edge/TargetTable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace basildeck {

// Takes whole requests of callers, checks them, sends each to a target and passes the answer on.
class Forwarder
{
public:
    using RequestId = std::uint64_t;

    // Answers up to this size are held back until they are whole, so that a request whose answer
    // is cut can be sent again.
    static constexpr std::size_t holdBackBytes = 64 * 1024;
    // A target that has not accepted a connection after this time counts as not reached.
    static constexpr Duration connectTimeout = milliseconds(400);
    // Homes of each group that are looked at until one may be used.
    static constexpr std::size_t homesToTry = 3;

    Forwarder(EventLoop &loop, const EdgeSettings &settings, const WireNames &names,
              TargetTable &targets);
    ~Forwarder();

    void setRouting(std::shared_ptr<RoutingTable> routing);
    // VMs of the fleet, by which limits without messages are divided.
    void setVmCount(std::size_t count);
    // Called with each crash that is seen here, for the other VMs.
    void setOnCrash(std::function<void(const CrashReport &)> onCrash);
    void noteCrash(const CrashReport &report);

    // Takes a request. Its answer may come before this returns.
    RequestId submit(IncomingRequest incoming);
    // Refuses what could not be read as a request.
    void refuseUnread(const AnswerSink &sink, ErrorKind kind);
    // The caller has gone: nothing more is sent to its sink.
    void callerLeft(RequestId id);
    // The caller's connection takes output again.
    void callerDrained(RequestId id);
    // Answers all open requests, because this VM is about to end.
    void abandonAll();

    // Goes on with requests that waited for tokens of quotas.
    void serveTokens();
    // Quotas by organisation.
    QuotaLedger &quotas() { return m_quotas; }
    const QuotaLedger &quotas() const { return m_quotas; }
    const Metrics &metrics() const { return m_metrics; }
    std::size_t openRequests() const { return m_requests.size(); }

private:
    using Request = ForwardedRequest;

    // Checks; each returns false after it has refused the request.
    bool findRoute(Request &request);
    bool checkKey(Request &request);
    bool checkLimits(Request &request);
    void prepare(Request &request);
    void refuseOverRate(Request &request);

    void dispatch(Request &request);
    // The usable homes of a request, best first.
    std::vector<TargetState *> usableHomes(const Request &request, Time now);
    void enqueue(Request &request, TargetState &target);
    void start(Request &request, TargetState &target);
    void takeLongWait(Request &request);
    void serveQueue(TargetState &target);
    void targetClosed(TargetState &target);

    bool takeAnswerHead(Request &request, const MessageHead &head);
    void takeAnswerBody(Request &request, std::string_view bytes);
    void takeWholeAnswer(Request &request);
    void takeFailure(Request &request, ExchangeFailure how);
    void takeDeadline(Request &request);
    // A run at a target failed by the target's doing.
    void noteFailure(TargetState &target);
    // Reports runs that were lost at a target which turns out to have crashed.
    void blameLostRuns(TargetState &target, Time now);
    void takeNotRun(Request &request);
    void startStreaming(Request &request);
    void pass(Request &request, std::string_view bytes);
    // Ends the run at its target; the connection is kept if it may be.
    void endRun(Request &request, bool cancelled);
    bool mayRetry(const Request &request, RetryReason reason);

    // Retries that this VM may spend at once after a calm time.
    double savedRetries() const;
    // The detail names what decided, for the log.
    void refuse(Request &request, ErrorKind kind, Duration retryAfter = Duration::zero(),
                const std::string &detail = {});
    void finish(Request &request);
    std::string organisationName(const Request &request) const;

    EventLoop &m_loop;
    const EdgeSettings &m_settings;
    const WireNames &m_names;
    TargetTable &m_targets;
    std::shared_ptr<RoutingTable> m_routing;
    std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
    QuotaLedger m_quotas;
    Timer m_tokenTimer;                                // runs while requests wait for tokens
    std::map<std::string, RetryBudget> m_retryBudgets; // by service
    std::size_t m_vmCount = 1;
    CrashQuarantine m_crashes;
    std::function<void(const CrashReport &)> m_onCrash;
    Metrics m_metrics;
    RequestId m_nextId = 1;
};

} // namespace basildeck
