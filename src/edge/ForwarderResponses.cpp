// The part of Forwarder that handles the responses and failures of targets.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <algorithm>
#include <array>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
constexpr Duration defaultRetryAfter = milliseconds(300);

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Whether a status promises to callers that the request has not run.
bool promisesNotRun(int status)
{
    static constexpr std::array<int, 4> statuses = { 408, 421, 429, 503 };
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

// Whether a target's response that does not say that the request was not executed may be
// forwarded: it belongs to the request, and its status makes no promise that may be untrue.
bool mayForward(const ForwardedRequest &request)
{
    const TargetResponse &response = request.response;
    return !response.isUnidentified
           && (request.isIdempotent() || !promisesNotRun(response.head.status));
}

// Whether the response that arrives is one that the caller may get.
bool isTargetResponse(const ForwardedRequest &request)
{
    const TargetResponse &response = request.response;
    if (request.peer.empty())
        return !response.notExecuted && mayForward(request);
    return response.outcome && response.outcome->isTargetResponse();
}

bool hasValidSeal(const ForwardedRequest &request, const WireNames &names)
{
    const HeaderFields &fields = request.response.head.fields;
    return fields.find(names.responseSeal) != nullptr && fields.find("content-encoding") == nullptr;
}

bool isSuccess(const MessageHead &head)
{
    return head.status / 100 == 2;
}

} // namespace

bool Forwarder::handleResponseHead(Request &request, const MessageHead &head)
{
    recordContact(request, false);
    const std::string *responseId = head.fields.find(m_names.requestId);
    const bool isForOtherRequest = responseId != nullptr && *responseId != request.callerRequestId;
    if (isForOtherRequest) {
        BASILDECK_INFO(logComponent)
                << "discarded a response to another request request=" << request.callerRequestId
                << " target=" << request.targetId;
        return false;
    }
    request.response.head = head;
    if (!request.peer.empty()) {
        request.response.outcome = parseForwardingOutcome(head.fields);
        const auto &outcome = request.response.outcome;
        // Last, as below.
        if (outcome && outcome->isTargetResponse() && !outcome->triedTargets.empty())
            readPeersNotice(outcome->triedTargets.back(), head);
        return true;
    }
    request.response.isMisdirected = head.status == m_names.misdirectedStatus;
    request.response.isUnidentified = responseId == nullptr && !request.callerRequestId.empty()
                                      && request.isConnectionReused;
    request.response.notExecuted = !request.response.isUnidentified
                                   && (request.response.isMisdirected
                                       || head.fields.find(m_names.notExecuted) != nullptr);
    // Last, because dispatching other requests may end this one.
    readNotice(std::string(request.targetId), head, !request.response.isUnidentified);
    return true;
}

bool Forwarder::mayDeliver(const Request &request) const
{
    return isTargetResponse(request)
           && (!isSuccess(request.response.head) || hasValidSeal(request, m_names));
}

bool Forwarder::mayStream(const Request &request) const
{
    return isTargetResponse(request) && hasValidSeal(request, m_names) && mayWin(request);
}

void Forwarder::endAttempt(Request &request, bool cancelled)
{
    if (!request.isInFlight)
        return;
    request.isInFlight = false;
    request.connectTimer.reset();
    request.hedge.timer.reset();
    if (std::exchange(request.isReadingPaused, false) && request.connection)
        request.connection->setReading(true);
    // The response may become the next one of its connection before the request is sent again.
    if (cancelled)
        request.response.dropBody();
    if (!request.peer.empty()) {
        if (cancelled && request.connection) {
            request.connection->close();
            m_loop.deleteLater(std::move(request.connection));
        }
        m_peerForwarding.end(request.peer, std::move(request.connection));
        return;
    }
    m_targets.partitionDetector().recordEnded(request.targetId, m_loop.now());
    m_crashQuarantine.runFinished(request.fingerprint);
    // The load that came with a paused response was recorded when the run ended.
    const bool hasNewLoad = !cancelled && !request.response.isRunRecorded;
    recordLoad(request, hasNewLoad ? reportedLoad(request.response.head, m_names) : std::nullopt);
    TargetState *target = m_targets.find(request.targetId);
    if (!request.connection)
        return;
    if (cancelled || target == nullptr) {
        request.connection->close();
        m_loop.deleteLater(std::move(request.connection));
        return;
    }
    target->connections.release(std::move(request.connection), m_loop.now());
}

void Forwarder::handleResponseComplete(Request &request)
{
    const Time now = m_loop.now();
    const MessageHead &head = request.response.head;
    if (!request.peer.empty() && !handlePeerOutcome(request))
        return;
    if (request.response.notExecuted) {
        handleNotExecuted(request);
        return;
    }
    if (request.peer.empty() && !mayForward(request)) {
        BASILDECK_INFO(logComponent)
                << "response not forwarded, "
                << (request.response.isUnidentified
                            ? "without a request id on a reused connection"
                            : "its status denies a run that the target does not deny")
                << " request=" << request.callerRequestId << " target=" << request.targetId
                << " status=" << head.status;
        handleExchangeFailure(request, ExchangeFailure::Malformed);
        return;
    }
    if (!mayDeliver(request) && !request.response.isStreaming) {
        handleExchangeFailure(request, ExchangeFailure::Malformed);
        return;
    }
    const Duration runDuration = now - request.sentAt;
    TargetState *target = m_targets.find(request.targetId);
    endAttempt(request, false);
    if (target != nullptr)
        recordRun(request, *target);
    recordHedgeSample(request, runDuration, now);
    m_crashQuarantine.clearSuspicion(request.fingerprint);
    if (!claimResponse(request)) {
        if (target != nullptr)
            sendQueued(*target);
        return;
    }
    if (request.response.isStreaming) {
        if (!head.contentLength && !request.incoming.head.isHttp10)
            request.incoming.sink.body("0\r\n\r\n");
    } else {
        request.incoming.sink.head(
                serializeResponseHead(request, m_names, request.response.body.size()));
        request.incoming.sink.body(request.response.body);
    }
    request.incoming.sink.finish(request.incoming.head.isHttp10 && !head.contentLength);
    if (request.takenFor.empty())
        m_metrics.recordLatency(request.route->name, now - request.incoming.receivedAt);
    BASILDECK_INFO(logComponent) << "answered request=" << request.callerRequestId
                                 << " status=" << head.status << " route=" << request.route->name
                                 << " organisation=" << organisationName(request)
                                 << " target=" << request.targetId
                                 << " sends=" << request.attemptCount << " waited_ms="
                                 << toMilliseconds(request.sentAt - request.incoming.receivedAt)
                                 << " ran_ms=" << toMilliseconds(runDuration)
                                 << placementFields(request) << peerFields(request);
    finish(request);
    if (target != nullptr)
        sendQueued(*target);
}

void Forwarder::recordRun(Request &request, TargetState &target)
{
    if (std::exchange(request.response.isRunRecorded, true))
        return;
    const Duration run = m_loop.now() - request.sentAt;
    recordRunTime(request, target, run);
    if (isSlow(request, target, run))
        reportTarget(target, TargetTrouble::Slow);
    target.outlierDetector.recordSuccess();
    target.lostRuns.clear();
}

bool Forwarder::acquireRetry(const Request &request, RetryReason reason)
{
    const Time now = m_loop.now();
    if (request.attemptCount >= request.maxAttempts || now >= request.deadline)
        return false;
    // A failed connect delivered nothing to a target; only requests that may have reached a target
    // count against the fleet's retry budget.
    if (reason != RetryReason::ConnectFailed && !m_retryBudgets[request.service].tryWithdraw())
        return false;
    m_metrics.countRetry(reason, request.route->name, organisationName(request));
    BASILDECK_INFO(logComponent) << "retrying request=" << request.callerRequestId
                                 << " reason=" << retryReasonName(reason)
                                 << " target=" << request.targetId
                                 << " sends=" << request.attemptCount << peerFields(request);
    return true;
}

void Forwarder::handleNotExecuted(Request &request)
{
    const bool isMisdirected = request.response.isMisdirected;
    TargetState *target = m_targets.find(request.targetId);
    endAttempt(request, false);
    if (target != nullptr) {
        if (isMisdirected) {
            target->concurrencyLimiter.ended();
            recordTargetFailure(*target, request.sentAt);
        } else {
            target->concurrencyLimiter.shed();
            m_hedges.recordRejection(request.service, m_loop.now());
        }
    }
    if (!leaveToSecondAttempt(request, RetryReason::Shed, ErrorKind::TargetsShed)) {
        if (acquireRetry(request, RetryReason::Shed))
            dispatch(request);
        else
            refuse(request, request.mayHaveRun ? ErrorKind::UpstreamLost : ErrorKind::TargetsShed,
                   request.mayHaveRun ? Duration::zero() : retryAfter(request, defaultRetryAfter));
    }
    if (target != nullptr)
        sendQueued(*target);
}

void Forwarder::handleExchangeFailure(Request &request, ExchangeFailure failure)
{
    if (!request.peer.empty()) {
        handlePeerFailure(request, failure);
        return;
    }
    const Time now = m_loop.now();
    m_metrics.countTargetFailure(exchangeFailureName(failure));
    TargetState *target = m_targets.find(request.targetId);
    const bool wasSent = failure != ExchangeFailure::NotConnected;
    BASILDECK_INFO(logComponent) << "target failed request=" << request.callerRequestId
                                 << " target=" << request.targetId
                                 << " how=" << exchangeFailureName(failure)
                                 << " ran_ms=" << toMilliseconds(now - request.sentAt)
                                 << " streaming=" << request.response.isStreaming;
    // A target that gives up a response that this VM does not read is not at fault.
    const bool wasPaused = request.response.isRunRecorded;
    endAttempt(request, true);
    if (target != nullptr && !wasPaused) {
        target->concurrencyLimiter.ended();
        recordContactFailure(request, *target, failure);
        recordTargetFailure(*target, request.sentAt);
        if (failure == ExchangeFailure::Lost)
            target->lostRuns.push_back({ request.fingerprint, now - request.sentAt, now });
        if (!wasSent) {
            reportCrashSuspects(*target, now);
            reportTarget(*target, TargetTrouble::Unreachable);
        }
    }
    request.mayHaveRun = request.mayHaveRun || wasSent;
    const RetryReason reason = wasSent ? RetryReason::LostIdempotent : RetryReason::ConnectFailed;
    const ErrorKind kind = !request.mayHaveRun          ? ErrorKind::ConnectFailed
                           : isInvalidResponse(failure) ? ErrorKind::AnswerInvalid
                                                        : ErrorKind::UpstreamLost;
    if (request.response.isStreaming) {
        truncateResponse(request);
    } else if (leaveToSecondAttempt(request, reason, kind)) {
        // Its second attempt goes on.
    } else if (!wasSent && isForwardable(request)) {
        // Nothing was sent, and the target is not at fault.
        --request.attemptCount;
        request.triedTargets.pop_back();
        request.staysWithPeers = true;
        dispatch(request);
    } else if ((!wasSent || request.isIdempotent()) && acquireRetry(request, reason)) {
        if (wasPaused)
            dispatchWhenNext(request);
        else
            dispatch(request);
    } else {
        refuse(request, kind, request.mayHaveRun ? Duration::zero() : defaultRetryAfter);
    }
    if (target != nullptr)
        sendQueued(*target);
}

void Forwarder::truncateResponse(Request &request)
{
    BASILDECK_INFO(logComponent) << "response cut off request=" << request.callerRequestId
                                 << " route=" << request.route->name
                                 << " target=" << request.targetId << shutdownTimeline(request);
    m_metrics.countTruncatedResponse(request.route->name, organisationName(request));
    request.incoming.sink.abort(request.incoming.head.isHttp10
                                && !request.response.head.contentLength);
    finish(request);
}

void Forwarder::handleDeadline(Request &request)
{
    cancelHedge(request, HedgeEnd::Deadline);
    TargetState *target = m_targets.find(request.targetId);
    if (request.isQueued && target != nullptr)
        target->concurrencyLimiter.cancel(request.id);
    const bool wasRunning = request.isInFlight;
    endAttempt(request, true);
    if (wasRunning) {
        request.mayHaveRun = true;
        if (target != nullptr && !request.response.isRunRecorded) {
            target->concurrencyLimiter.ended();
            recordTargetFailure(*target, request.sentAt);
        }
    }
    if (request.response.isStreaming) {
        truncateResponse(request);
    } else {
        refuse(request,
               request.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::DeadlineExceeded,
               request.mayHaveRun ? Duration::zero() : defaultRetryAfter);
    }
    if (target != nullptr)
        sendQueued(*target);
}

void Forwarder::callerDisconnected(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = *found->second;
    TargetState *target = m_targets.find(request.targetId);
    BASILDECK_INFO(logComponent) << "caller disconnected request=" << request.callerRequestId
                                 << " target=" << request.targetId
                                 << " running=" << request.isInFlight << peerFields(request)
                                 << shutdownTimeline(request);
    if (request.isQueued && target != nullptr)
        target->concurrencyLimiter.cancel(id);
    cancelHedge(request, HedgeEnd::CallerLeft);
    const bool wasRunning = request.isInFlight;
    endAttempt(request, true);
    if (wasRunning && target != nullptr && !request.response.isRunRecorded)
        target->concurrencyLimiter.ended();
    finish(request);
    if (target != nullptr)
        sendQueued(*target);
}

} // namespace basildeck
