#pragma once

#include "core/Metrics.h"
#include "decide/CrashQuarantine.h"
#include "decide/RetryBudget.h"
#include "decide/ShutdownSchedule.h"
#include "decide/access/AccessClient.h"
#include "decide/access/AccessCoordinator.h"
#include "decide/access/CoordinatorSelection.h"
#include "decide/hedge/HedgePolicy.h"
#include "decide/memory/MemoryBudget.h"
#include "decide/placement/PlacedRunTimes.h"
#include "decide/placement/RunTimeEstimator.h"
#include "decide/placement/TargetChoice.h"
#include "decide/quota/QuotaManager.h"
#include "edge/ForwardedRequest.h"
#include "edge/PeerForwarding.h"
#include "edge/PeerIntake.h"
#include "edge/PlacementCounters.h"
#include "edge/TargetTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace basildeck {

// Forwards requests: checks each complete request, sends it to a target and returns the response to
// the caller.
class Forwarder
{
public:
    using RequestId = std::uint64_t;

    // Responses up to this size are buffered until they are complete, so that a request can be
    // retried if its response is cut off.
    static constexpr std::size_t maxBufferedResponseBytes = 64 * 1024;
    // Responses that are not passed on while they arrive, such as ones without a signature, may
    // have a body up to this size.
    static constexpr std::size_t maxUnforwardedBodyBytes = 256 * 1024;
    // Time limit for connecting to a target.
    static constexpr Duration connectTimeout = milliseconds(400);
    // Maximum number of targets of each placement group that are checked for eligibility.
    static constexpr std::size_t maxCandidatesPerGroup = 3;
    // Of these, the number that are candidates of a request that is placed by completion: the
    // object's target and a second one for its overload, or several if there is no object.
    static constexpr std::size_t objectCandidates = 2;
    static constexpr std::size_t noObjectCandidates = 4;

    Forwarder(EventLoop &loop, const EdgeSettings &settings, const WireNames &names,
              TargetTable &targets);
    ~Forwarder();

    void setRouting(std::shared_ptr<RoutingTable> routing);
    // Returns how long ago the store confirmed the configuration, if that is known.
    using ConfigAge = std::function<std::optional<Duration>()>;
    // Refusals that follow from a configuration of more than the old age are counted.
    void setConfigAge(ConfigAge configAge, Duration oldAge);
    const std::map<ErrorKind, std::uint64_t> &refusalsByOldConfig() const
    {
        return m_refusalsByOldConfig;
    }
    // The number of VMs in the fleet, among which limits are divided that VMs enforce without
    // exchanging messages.
    void setFleetVmCount(std::size_t count);
    // Called for each crash detected by this VM, to report it to the other VMs.
    void setOnCrash(std::function<void(const CrashReport &)> onCrash);
    void recordCrash(const CrashReport &report);
    // Called for each target that this VM finds unusable, to report it to the other VMs.
    void setOnTargetTrouble(std::function<void(const TargetReport &)> onTargetTrouble);
    // Ejects a target that this or another VM found unusable. Returns false if it is unknown, or
    // ejected already.
    bool ejectReported(const TargetReport &report);
    // Reports the crashes that were held back while this VM may have lost contact with all targets.
    void reportHeldCrashes();
    // Looks for targets at which requests run for unusually long.
    void findSlowTargets();
    // Whether this VM reaches no target at all, while other VMs do. Requests are then forwarded
    // through a peer. Calls without a change have no effect.
    void setPartitionedFromTargets(bool isPartitioned);
    // The VMs that reach targets and take requests of other VMs, by their last heartbeats. Their
    // addresses are those of EdgeSettings::forwardingAddress().
    void setForwardingPeers(std::vector<ForwardingPeer> peers);
    // Called when requests wait for quota tokens that other VMs could lend.
    void setOnTokensNeeded(std::function<void()> onTokensNeeded);

    // Sets the VMs of this region that may coordinate the access to targets, in ascending order,
    // and all VMs that are reachable.
    void setAccessVms(std::vector<std::string> coordinators, std::set<std::string> reachable);
    // Called with a message about permits and the VM that it is for.
    void setOnAccessMessage(
            std::function<void(const std::string &vm, const AccessMessage &message)> send);
    void handleAccessMessage(const AccessMessage &message);
    std::string accessMetricsText() const;

    // Handles a request. The response may be written before this returns.
    RequestId submit(IncomingRequest incoming);
    // Refuses a request that is invalid, too large or incomplete, and closes its connection.
    void refuseUnreadable(const ResponseSink &sink, ErrorKind kind);
    // Handles a request that another VM, which is partitioned from the targets, forwards to this
    // one. That VM has authenticated it and counted it against its quota. Returns 0 if the request
    // is not taken.
    RequestId submitForPeer(IncomingRequest incoming);
    // Declines a forwarded request that is invalid, too large or incomplete, and closes its
    // connection.
    void declineUnreadable(const ResponseSink &sink, ErrorKind kind);
    // The caller has disconnected: its sink is no longer used.
    void callerDisconnected(RequestId id);
    // The output buffer of the caller's connection has been drained.
    void callerOutputDrained(RequestId id);
    // All responses that are due before this request's on the caller's connection are complete.
    void responseIsNext(RequestId id);
    // The process received SIGTERM. Requests that arrive too late, or that cannot end before the
    // shutdown ends them, are refused. From now on, the log lines of requests that end without the
    // answer of a target tell how long after the signal each of their stages was.
    void beginShutdown(const ShutdownSchedule &schedule) { m_shutdown = schedule; }
    // Ends the open requests, because the process is about to exit. Responses that are being
    // streamed go on, so that the ones queued before and behind them are not lost either.
    void endRequests();
    // Cuts off the responses that are still being streamed.
    void truncateResponses();

    // Dispatches or refuses requests whose wait for a quota token has ended.
    void resolveTokenWaits();
    QuotaManager &quotas() { return m_quotas; }
    const QuotaManager &quotas() const { return m_quotas; }
    const Metrics &metrics() const { return m_metrics; }
    // The budget for what this VM holds for callers and targets.
    MemoryBudget &memory() { return m_memory; }
    const MemoryBudget &memory() const { return m_memory; }
    // The counters of requests forwarded to and taken for other VMs.
    std::string peerMetricsText() const
    {
        return m_peerForwarding.metricsText() + m_peerIntake.metricsText();
    }
    std::string placementMetricsText() const { return m_placementCounters.metricsText(); }
    std::size_t openRequests() const { return m_requests.size(); }

private:
    using Request = ForwardedRequest;

    // Each check returns false after it has refused the request.
    bool findRoute(Request &request);
    bool authenticate(Request &request);
    bool checkLimits(Request &request);
    void prepare(Request &request);
    void refuseOverQuota(Request &request);
    // Sets what follows from route and organisation: priority, allowed regions and fingerprint.
    static void applyPolicy(Request &request);
    void startDeadlineTimer(Request &request);

    // Checks a forwarded request against this VM's own configuration. Returns why it is not taken.
    std::optional<ForwardingDecline> takeForPeer(Request &request, const ForwardingTerms &terms);
    void decline(const ResponseSink &sink, ForwardingDecline reason, const std::string &requestId,
                 const std::string &vm, bool closesConnection);

    void dispatch(Request &request);
    // Returns the eligible target of each placement group, or several if the service is placed by
    // completion, best first.
    std::vector<TargetState *> eligibleCandidates(Request &request, Time now);
    // Whether the targets of a request are chosen by expected completion.
    bool isPlacedByCompletion(const Request &request) const
    {
        return m_targets.reportsSpeed(request.service, m_loop.now());
    }
    // Whether a request names an object that is placed at a target.
    bool hasObject(const Request &request) const;
    static ObjectPlace objectPlace(const Request &request, const TargetState &target);
    Duration expectedRun(const Request &request, const TargetState &target) const;
    std::vector<CandidateLoad> expectedLoads(const Request &request,
                                             const std::vector<TargetState *> &candidates) const;
    TargetDecision chooseTarget(Request &request, const std::vector<CandidateLoad> &loads);
    // The priority of a request in the queues of targets. Late requests are behind all others.
    static int queuePriority(const Request &request);
    // Whether a request that would end at a time is refused instead of sent.
    bool isTooLate(const Request &request, Time end) const;
    // Records the run time of a request that was answered, in the estimates.
    void recordRunTime(const Request &request, TargetState &target, Duration run);
    // Describes the load of each candidate for the log.
    std::string describeCandidates(const Request &request,
                                   const std::vector<TargetState *> &candidates,
                                   const std::vector<CandidateLoad> &loads) const;
    // Where a request ran that was placed by completion, as log fields.
    std::string placementFields(const Request &request);
    // The given deadline of a request, or the end of the shutdown if that is earlier.
    Time endOfService(Time deadline) const;
    void enqueue(Request &request, TargetState &target, Duration maxWait);
    void sendToTarget(Request &request, TargetState &target);
    void beginExchange(Request &request, ConnectionPool::Lease lease, std::string head);
    // Releases the body of a request that was sent, unless another attempt may need it.
    void releaseSentBody(Request &request);
    // Forwards the request through a peer, or refuses it if no peer may take it. Returns false if
    // it is to be sent to a target directly.
    bool dispatchToPeer(Request &request);
    void sendToPeer(Request &request, const ForwardingPeer &peer);
    // Whether a request that is waiting or running would be taken by a peer.
    bool isForwardable(const Request &request) const;
    // Forwards the requests that wait for targets or were sent to targets from which this VM has
    // been partitioned since.
    void moveToPeers();
    void moveToPeer(Request &request);
    // Handles a response of a peer that is not a target's. Returns whether it is a target's.
    bool handlePeerOutcome(Request &request);
    void handlePeerRefusal(Request &request, const ForwardingOutcome &outcome);
    void handlePeerFailure(Request &request, ExchangeFailure failure);
    void handleQueueTimeout(Request &request);

    // Whether the requests to a target need permits of its coordinator.
    bool usesPermits(const TargetState &target) const;
    // Time that a request is expected to wait until it can be sent to a target.
    Duration expectedWait(const Request &request, const TargetState &target) const;
    // Asks the target's coordinator for a permit. Returns false if the request is to be sent
    // without one.
    bool requestPermit(Request &request, TargetState &target, Duration maxWait);
    // Goes on with a request that did not get the permit that it waited for.
    void dispatchWithoutPermit(Request &request);
    // Takes the target's speed from a coordinator's reply, which knows the latest report.
    void noteReply(const AccessClient::Answer &answer, const PermitReply &reply);
    // Removes the targets whose coordinators declined a request from its candidates. Returns true
    // if it was refused because no others are left.
    bool refuseDeclined(Request &request, std::vector<TargetState *> &candidates);
    // Returns the permit of a request, or withdraws its request for one.
    void releasePermit(Request &request, const std::optional<LoadReport> &load = std::nullopt);
    // Takes the load from a target's response and returns the permit of the attempt.
    void recordLoad(Request &request, const std::optional<LoadReport> &load);
    // Dispatches the requests that wait for permits of a target elsewhere.
    void redispatchWaitingForPermit(const TargetState &target);
    // Sends a message to a VM, or handles it soon if the VM is this one.
    void sendAccessMessage(const std::string &vm, const AccessMessage &message);
    void sendDecisions(const PermitDecisions &decisions);
    void handlePermitAnswer(const AccessClient::Answer &answer);
    // Ends what has expired, as coordinator and as client.
    void pollAccess();
    void startAccessTimer();

    void sendQueued(TargetState &target);
    void redispatchQueued(TargetState &target);

    bool handleResponseHead(Request &request, const MessageHead &head);
    // Notes what a response says about its target. One that is not identified may be an earlier
    // one, which says nothing about the request rate that the target takes now.
    void readNotice(const std::string &targetId, const MessageHead &head, bool isIdentified);
    // The same for a response that a peer passed on. A hold-off concerns the peer only.
    void readPeersNotice(const std::string &targetId, const MessageHead &head);
    void readLeavingNotice(const std::string &targetId, const MessageHead &head);
    void readLimitNotice(const std::string &targetId, const MessageHead &head);
    void handleResponseBody(Request &request, std::string_view bytes);
    void handleResponseComplete(Request &request);
    void handleExchangeFailure(Request &request, ExchangeFailure failure);
    void handleDeadline(Request &request);
    // Whether a run shows that its target is slow.
    bool isSlow(const Request &request, const TargetState &target, Duration run) const;
    // Ejects a target, and reports it unless another VM has done so.
    void reportTarget(const TargetState &target, TargetTrouble trouble);
    // Counts a failure of a request that was sent at a time towards the ejection of its target,
    // unless this VM may have lost contact with all targets.
    void recordTargetFailure(TargetState &target, Time sentAt);
    // Tells the partition detector that a target connected or sent bytes. A peer is not a target.
    void recordContact(const Request &request, bool isConnect);
    // Tells the partition detector that a target failed to connect, or lost a connection.
    void recordContactFailure(const Request &request, const TargetState &target,
                              ExchangeFailure failure);
    // Reports the requests whose connections were lost shortly before a target turned out to have
    // crashed. While this VM may have lost contact with all targets, the report is held back.
    void reportCrashSuspects(TargetState &target, Time now);
    void handleNotExecuted(Request &request);
    // Ends a response whose head was sent so that the caller sees that it is incomplete.
    void truncateResponse(Request &request);
    // Whether the response may go to the caller when it is complete.
    bool mayDeliver(const Request &request) const;
    // Whether the response is that of a target, and complete enough in its head to be streamed.
    bool mayStream(const Request &request) const;
    void startStreaming(Request &request);
    void forwardBody(Request &request, std::string_view bytes);
    // Counts the body of a response that is not streamed, and holds it if the response may go to
    // the caller. Fails the attempt if the body is too large.
    void holdUnstreamedBody(Request &request, std::string_view bytes);
    void chargeResponse(TargetResponse &response);
    // Counts a response that is buffered, and pauses reading it if the memory for it is used up.
    void holdResponse(Request &request);
    // Pauses reading a response until it is the next of its connection. Its run counts as ended, so
    // that the requests before it cannot wait for its place at the target.
    void pauseUntilNext(Request &request);
    // Sends a request whose response was given up while it was paused only when it is the next, as
    // it would be paused again.
    void dispatchWhenNext(Request &request);
    // Records the end of a run that was answered, once.
    void recordRun(Request &request, TargetState &target);
    // The open requests whose responses are, or are not, being streamed.
    std::vector<RequestId> openRequestIds(bool streaming) const;
    // Ends the current attempt. Returns the connection to the pool unless the attempt was
    // cancelled.
    void endAttempt(Request &request, bool cancelled);
    bool acquireRetry(const Request &request, RetryReason reason);

    // Second attempts (hedged requests). A second attempt is a request of its own, whose response
    // goes to the first one's caller. It ends with the first request.

    // Starts the timer of the second attempt of a request that is being sent, if it may get one.
    void armHedge(Request &request, const TargetState &target);
    void handleHedgeTimer(Request &first);
    std::optional<HedgeDenial> startHedge(Request &first);
    TargetState *chooseHedgeTarget(const Request &first);
    void sendSecondAttempt(Request &first, TargetState &target);
    ResponseSink makeHedgeSink(RequestId first);
    // Returns null if the request has ended.
    Request *findRequest(RequestId id) const;
    // Called before the first byte of a target's response goes to the caller: ends the other
    // attempt. Returns false if the response is not to be used, because it is that of a second
    // attempt and worse than waiting for the first.
    bool claimResponse(Request &request);
    // Whether a response may decide which attempt wins.
    bool mayWin(const Request &request) const;
    // Leaves the request to its second attempt if there is one, because the first one failed.
    bool leaveToSecondAttempt(Request &request, RetryReason reason, ErrorKind kind);
    // Ends a second attempt instead of refusing it. Returns false for other requests.
    bool endSecondAttempt(Request &request);
    // Cancels the second attempt of a request, if there is one.
    void cancelHedge(Request &first, HedgeEnd end);
    // Cancels a run at its target. Returns how long it went on.
    Duration cancelRun(Request &request);
    // Notes what a complete run tells about run times and load.
    void recordHedgeSample(const Request &request, Duration run, Time now);
    void logHedge(const Request &first, const Request &second, HedgeEnd end, Duration wasted);

    // The number of unused retries that this VM may accumulate.
    double retryBurst() const;
    // When a refused request is worth another try: the end of the hold-off if all its targets want
    // no requests, else the usual time.
    Duration retryAfter(const Request &request, Duration usual) const;
    // The detail explains the refusal in the log.
    void refuse(Request &request, ErrorKind kind, Duration retryAfter = Duration::zero(),
                const std::string &detail = {});
    // Counts a refusal by an old configuration. Returns how long ago the configuration was
    // confirmed, as log field; empty if the refusal does not follow from it.
    std::string noteConfigAge(ErrorKind kind);
    void finish(Request &request);
    std::string organisationName(const Request &request) const;
    // The other VM that takes part in a request, as log fields.
    static std::string peerFields(const Request &request);
    // The stages of a request in milliseconds after SIGTERM, negative before it, as log fields.
    // Empty while the process is not shutting down.
    std::string shutdownTimeline(const Request &request) const;

    EventLoop &m_loop;
    const EdgeSettings &m_settings;
    const WireNames &m_names;
    TargetTable &m_targets;
    MemoryBudget m_memory;
    std::shared_ptr<RoutingTable> m_routing;
    ConfigAge m_configAge;
    Duration m_oldConfigAge{ 0 };
    std::map<ErrorKind, std::uint64_t> m_refusalsByOldConfig;
    std::unordered_map<RequestId, std::unique_ptr<Request>> m_requests;
    QuotaManager m_quotas;
    Timer m_tokenTimer;                                // active while requests wait for tokens
    std::map<std::string, RetryBudget> m_retryBudgets; // by service
    std::size_t m_fleetVmCount = 1;
    std::optional<ShutdownSchedule> m_shutdown;
    RunTimeEstimator m_runTimeEstimator;
    PlacedRunTimes m_placedRunTimes; // of services that are placed by completion
    PlacementCounters m_placementCounters;
    CrashQuarantine m_crashQuarantine;
    HedgePolicy m_hedges;
    std::function<void(const CrashReport &)> m_onCrash;
    std::function<void()> m_onTokensNeeded;
    std::function<void(const TargetReport &)> m_onTargetTrouble;
    CoordinatorSelection m_coordinatorSelection;
    AccessClient m_accessClient;
    AccessCoordinator m_accessCoordinator;
    Timer m_accessTimer; // active while permits are in use or waited for
    bool m_isAccessTimerActive = false;
    std::function<void(const std::string &, const AccessMessage &)> m_onAccessMessage;
    PeerForwarding m_peerForwarding;
    PeerIntake m_peerIntake;
    Metrics m_metrics;
    RequestId m_nextId = 1;
};

} // namespace basildeck
