// The part of Forwarder that handles the responses and failures of targets.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

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

// Parses "running,waiting,slots".
std::optional<LoadReport> parseLoad(const std::string *text)
{
    if (text == nullptr)
        return std::nullopt;
    LoadReport report;
    const std::array<int *, 3> numbers = { &report.running, &report.waiting, &report.slots };
    const char *at = text->data();
    const char *const end = at + text->size();
    for (int *number : numbers) {
        const auto [next, error] = std::from_chars(at, end, *number);
        if (error != std::errc())
            return std::nullopt;
        at = next == end ? next : next + 1;
    }
    return report;
}

// Whether the response that arrives is one that the caller may get.
bool isTargetResponse(const ForwardedRequest &request)
{
    const TargetResponse &response = request.response;
    if (request.peer.empty())
        return !response.notExecuted && mayForward(request);
    return response.outcome && response.outcome->isTargetResponse();
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

void Forwarder::handleResponseBody(Request &request, std::string_view bytes)
{
    recordContact(request, false);
    if (request.response.isStreaming) {
        forwardBody(request, bytes);
        return;
    }
    request.response.body.append(bytes);
    if (mayStream(request)) {
        // A response that has to wait for earlier ones can still be replaced if it is cut off.
        if (request.response.body.size() > maxBufferedResponseBytes
            && request.incoming.sink.isNext())
            startStreaming(request);
    } else if (request.response.body.size() > maxUnforwardedBodyBytes) {
        handleExchangeFailure(request, ExchangeFailure::Malformed);
    }
}

bool Forwarder::mayStream(const Request &request) const
{
    const HeaderFields &fields = request.response.head.fields;
    return isTargetResponse(request) && fields.find(m_names.responseSeal) != nullptr
           && fields.find("content-encoding") == nullptr && mayWin(request);
}

void Forwarder::responseIsNext(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = *found->second;
    if (!request.response.isStreaming && request.response.body.size() > maxBufferedResponseBytes
        && mayStream(request))
        startStreaming(request);
    if (request.hedge.second != 0)
        responseIsNext(request.hedge.second);
}

void Forwarder::startStreaming(Request &request)
{
    claimResponse(request);
    request.response.isStreaming = true;
    const auto length = request.response.head.contentLength;
    request.incoming.sink.head(serializeResponseHead(
            request, m_names, length ? std::optional<std::size_t>(*length) : std::nullopt));
    const std::string held = std::exchange(request.response.body, {});
    forwardBody(request, held);
}

void Forwarder::forwardBody(Request &request, std::string_view bytes)
{
    const bool inChunks = !request.response.head.contentLength && !request.incoming.head.isHttp10;
    if (inChunks) {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        request.incoming.sink.body(std::string(size.data()).append(bytes).append("\r\n"));
    } else {
        request.incoming.sink.body(bytes);
    }
    if (!request.isReadingPaused && request.incoming.sink.isCongested()) {
        request.isReadingPaused = true;
        request.connection->setReading(false);
    }
}

void Forwarder::callerOutputDrained(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found != m_requests.end() && found->second->hedge.second != 0)
        callerOutputDrained(found->second->hedge.second);
    if (found == m_requests.end() || !found->second->isReadingPaused)
        return;
    found->second->isReadingPaused = false;
    if (found->second->connection)
        found->second->connection->setReading(true);
}

void Forwarder::endAttempt(Request &request, bool cancelled)
{
    if (!request.isInFlight)
        return;
    request.isInFlight = false;
    request.connectTimer.reset();
    request.hedge.timer.reset();
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
    const bool isSuccess = head.status / 100 == 2;
    const bool lacksValidSeal = isSuccess
                                && (head.fields.find(m_names.responseSeal) == nullptr
                                    || head.fields.find("content-encoding") != nullptr);
    if (lacksValidSeal && !request.response.isStreaming) {
        handleExchangeFailure(request, ExchangeFailure::Malformed);
        return;
    }
    const Duration runDuration = now - request.sentAt;
    TargetState *target = m_targets.find(request.targetId);
    endAttempt(request, false);
    if (target != nullptr) {
        target->concurrencyLimiter.answered(request.route->name, runDuration,
                                            parseLoad(head.fields.find(m_names.serverLoad)), now);
        m_runTimeEstimator.record(request.route->name, target->region, runDuration);
        if (isSlow(request, *target, runDuration))
            reportTarget(*target, TargetTrouble::Slow);
        target->outlierDetector.recordSuccess();
        target->lostRuns.clear();
    }
    recordRun(request, runDuration, now);
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
                                 << peerFields(request);
    finish(request);
    if (target != nullptr)
        sendQueued(*target);
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
    TargetState *target = m_targets.find(request.targetId);
    const bool wasSent = failure != ExchangeFailure::NotConnected;
    BASILDECK_INFO(logComponent) << "target failed request=" << request.callerRequestId
                                 << " target=" << request.targetId
                                 << " how=" << exchangeFailureName(failure)
                                 << " ran_ms=" << toMilliseconds(now - request.sentAt)
                                 << " streaming=" << request.response.isStreaming;
    endAttempt(request, true);
    if (target != nullptr) {
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
    const ErrorKind kind = !request.mayHaveRun                     ? ErrorKind::ConnectFailed
                           : failure == ExchangeFailure::Malformed ? ErrorKind::AnswerInvalid
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
    request.incoming.sink.abort();
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
        if (target != nullptr) {
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
    if (wasRunning && target != nullptr)
        target->concurrencyLimiter.ended();
    finish(request);
    if (target != nullptr)
        sendQueued(*target);
}

} // namespace basildeck
