// The half of the forwarder that takes what comes back from targets.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace basildeck {

namespace {

constexpr const char *part = "forward";
constexpr Duration shedRetryAfter = milliseconds(300);
// A target that refuses connections this soon after a run was lost there has crashed.
constexpr Duration crashWindow = seconds(3);

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

// "running,waiting,slots"
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

} // namespace

bool Forwarder::takeAnswerHead(Request &request, const MessageHead &head)
{
    const std::string *answered = head.fields.find(m_names.requestId);
    const bool isForeign = answered != nullptr && *answered != request.callerRequestId;
    if (isForeign) {
        BASILDECK_INFO(part) << "discarded an answer to another request request="
                             << request.callerRequestId << " target=" << request.target;
        return false;
    }
    request.answer.head = head;
    request.answer.wrongTarget = head.status == m_names.wrongTargetStatus;
    request.answer.notRun
            = request.answer.wrongTarget || head.fields.find(m_names.notRun) != nullptr;
    return true;
}

void Forwarder::takeAnswerBody(Request &request, std::string_view bytes)
{
    if (request.answer.streaming) {
        pass(request, bytes);
        return;
    }
    request.answer.body.append(bytes);
    const MessageHead &head = request.answer.head;
    const bool sealed = head.fields.find(m_names.seal) != nullptr;
    if (request.answer.body.size() > holdBackBytes && !request.answer.notRun && sealed
        && head.fields.find("content-encoding") == nullptr)
        startStreaming(request);
}

void Forwarder::startStreaming(Request &request)
{
    request.answer.streaming = true;
    const auto length = request.answer.head.contentLength;
    request.incoming.sink.head(
            callerAnswerHead(request, length ? std::optional<std::size_t>(*length) : std::nullopt));
    const std::string held = std::exchange(request.answer.body, {});
    pass(request, held);
}

void Forwarder::pass(Request &request, std::string_view bytes)
{
    const bool inChunks = !request.answer.head.contentLength && !request.incoming.head.isHttp10;
    if (inChunks) {
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
        request.incoming.sink.body(std::string(size.data()).append(bytes).append("\r\n"));
    } else {
        request.incoming.sink.body(bytes);
    }
    if (!request.isCongested && request.incoming.sink.isCongested()) {
        request.isCongested = true;
        request.connection->setReading(false);
    }
}

void Forwarder::callerDrained(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end() || !found->second->isCongested)
        return;
    found->second->isCongested = false;
    if (found->second->connection)
        found->second->connection->setReading(true);
}

void Forwarder::endRun(Request &request, bool cancelled)
{
    if (!request.isRunning)
        return;
    request.isRunning = false;
    request.connectTimer.reset();
    m_crashes.runFinished(request.fingerprint);
    TargetState *target = m_targets.find(request.target);
    if (!request.connection)
        return;
    if (cancelled || target == nullptr) {
        request.connection->close();
        m_loop.destroyLater(std::move(request.connection));
        return;
    }
    target->connections.put(std::move(request.connection), m_loop.now());
}

void Forwarder::takeWholeAnswer(Request &request)
{
    const Time now = m_loop.now();
    const MessageHead &head = request.answer.head;
    if (request.answer.notRun) {
        takeNotRun(request);
        return;
    }
    const bool isSuccess = head.status / 100 == 2;
    const bool isForged = isSuccess
                          && (head.fields.find(m_names.seal) == nullptr
                              || head.fields.find("content-encoding") != nullptr);
    if (isForged && !request.answer.streaming) {
        takeFailure(request, ExchangeFailure::Malformed);
        return;
    }
    const Duration took = now - request.sentAt;
    TargetState *target = m_targets.find(request.target);
    endRun(request, false);
    if (target != nullptr) {
        target->gate.answered(request.route->name, took, parseLoad(head.fields.find(m_names.load)));
        target->outlier.recordSuccess();
        target->lostRuns.clear();
    }
    m_crashes.clearSuspicion(request.fingerprint);
    if (request.answer.streaming) {
        if (!head.contentLength && !request.incoming.head.isHttp10)
            request.incoming.sink.body("0\r\n\r\n");
    } else {
        request.incoming.sink.head(callerAnswerHead(request, request.answer.body.size()));
        request.incoming.sink.body(request.answer.body);
    }
    request.incoming.sink.finish(request.incoming.head.isHttp10 && !head.contentLength);
    m_metrics.noteLatency(request.route->name, now - request.incoming.received);
    BASILDECK_INFO(part) << "answered request=" << request.callerRequestId
                         << " status=" << head.status << " route=" << request.route->name
                         << " organisation=" << organisationName(request)
                         << " target=" << request.target << " sends=" << request.sends
                         << " waited_ms="
                         << toMilliseconds(request.sentAt - request.incoming.received)
                         << " ran_ms=" << toMilliseconds(took);
    finish(request);
    if (target != nullptr)
        serveQueue(*target);
}

bool Forwarder::mayRetry(const Request &request, RetryReason reason)
{
    const Time now = m_loop.now();
    if (request.sends >= request.route->attempts || now >= request.deadline)
        return false;
    // A target that was not reached got nothing: only arrivals count against the fleet's budget.
    if (reason != RetryReason::ConnectFailed && !m_retryBudgets[request.service].take())
        return false;
    m_metrics.countRetry(reason, request.route->name, organisationName(request));
    BASILDECK_INFO(part) << "sends again request=" << request.callerRequestId
                         << " reason=" << retryReasonName(reason) << " target=" << request.target
                         << " sends=" << request.sends;
    return true;
}

void Forwarder::takeNotRun(Request &request)
{
    const bool wrongTarget = request.answer.wrongTarget;
    TargetState *target = m_targets.find(request.target);
    endRun(request, false);
    if (target != nullptr) {
        if (wrongTarget) {
            target->gate.ended();
            noteFailure(*target);
        } else {
            target->gate.shed();
        }
    }
    if (mayRetry(request, RetryReason::Shed))
        dispatch(request);
    else
        refuse(request, request.mayHaveRun ? ErrorKind::UpstreamLost : ErrorKind::TargetsShed,
               request.mayHaveRun ? Duration::zero() : shedRetryAfter);
    if (target != nullptr)
        serveQueue(*target);
}

void Forwarder::takeFailure(Request &request, ExchangeFailure how)
{
    const Time now = m_loop.now();
    TargetState *target = m_targets.find(request.target);
    const bool wasSent = how != ExchangeFailure::NotConnected;
    BASILDECK_INFO(part) << "target failed request=" << request.callerRequestId
                         << " target=" << request.target << " how=" << exchangeFailureName(how)
                         << " ran_ms=" << toMilliseconds(now - request.sentAt)
                         << " streaming=" << request.answer.streaming;
    endRun(request, true);
    if (target != nullptr) {
        target->gate.ended();
        noteFailure(*target);
        if (how == ExchangeFailure::Lost)
            target->lostRuns.push_back({ request.fingerprint, now - request.sentAt, now });
        if (!wasSent)
            blameLostRuns(*target, now);
    }
    request.mayHaveRun = request.mayHaveRun || wasSent;
    if (request.answer.streaming) {
        m_metrics.countCut(request.route->name, organisationName(request));
        request.incoming.sink.cut();
        finish(request);
    } else if ((!wasSent || request.isIdempotent())
               && mayRetry(request,
                           wasSent ? RetryReason::LostIdempotent : RetryReason::ConnectFailed)) {
        dispatch(request);
    } else {
        const ErrorKind kind
                = request.mayHaveRun ? (how == ExchangeFailure::Malformed ? ErrorKind::AnswerInvalid
                                                                          : ErrorKind::UpstreamLost)
                                     : ErrorKind::ConnectFailed;
        refuse(request, kind, request.mayHaveRun ? Duration::zero() : shedRetryAfter);
    }
    if (target != nullptr)
        serveQueue(*target);
}

void Forwarder::noteFailure(TargetState &target)
{
    if (target.outlier.recordFailure(m_loop.now()))
        BASILDECK_INFO(part) << "target is set aside target=" << target.info.id
                             << " failures_in_row=" << OutlierDetector::ejectionThreshold;
}

void Forwarder::blameLostRuns(TargetState &target, Time now)
{
    for (const LostRun &run : std::exchange(target.lostRuns, {})) {
        if (now - run.at > crashWindow)
            continue;
        const CrashReport report{ run.fingerprint, target.info.id,
                                  static_cast<std::uint32_t>(toMilliseconds(run.ranFor)) };
        noteCrash(report);
        if (m_onCrash)
            m_onCrash(report);
    }
}

void Forwarder::takeDeadline(Request &request)
{
    TargetState *target = m_targets.find(request.target);
    if (request.isWaiting && target != nullptr)
        target->gate.cancel(request.id);
    const bool wasRunning = request.isRunning;
    endRun(request, true);
    if (wasRunning) {
        request.mayHaveRun = true;
        if (target != nullptr) {
            target->gate.ended();
            noteFailure(*target);
        }
    }
    if (request.answer.streaming) {
        m_metrics.countCut(request.route->name, organisationName(request));
        request.incoming.sink.cut();
        finish(request);
    } else {
        refuse(request,
               request.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::DeadlineExceeded,
               request.mayHaveRun ? Duration::zero() : shedRetryAfter);
    }
    if (target != nullptr)
        serveQueue(*target);
}

void Forwarder::abandonAll()
{
    std::vector<RequestId> ids;
    ids.reserve(m_requests.size());
    for (const auto &[id, request] : m_requests)
        ids.push_back(id);
    for (const RequestId id : ids) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        Request &request = *found->second;
        request.mayHaveRun = request.mayHaveRun || request.isRunning;
        endRun(request, true);
        if (request.answer.streaming) {
            m_metrics.countCut(request.route->name, organisationName(request));
            request.incoming.sink.cut();
            finish(request);
        } else {
            refuse(request, request.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::Leaving,
                   request.mayHaveRun ? Duration::zero() : shedRetryAfter);
        }
    }
}

void Forwarder::callerLeft(RequestId id)
{
    const auto found = m_requests.find(id);
    if (found == m_requests.end())
        return;
    Request &request = *found->second;
    TargetState *target = m_targets.find(request.target);
    BASILDECK_INFO(part) << "caller left request=" << request.callerRequestId
                         << " target=" << request.target << " running=" << request.isRunning;
    if (request.isWaiting && target != nullptr)
        target->gate.cancel(id);
    const bool wasRunning = request.isRunning;
    endRun(request, true);
    if (wasRunning && target != nullptr)
        target->gate.ended();
    finish(request);
    if (target != nullptr)
        serveQueue(*target);
}

} // namespace basildeck
