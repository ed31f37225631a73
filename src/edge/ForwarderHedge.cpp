// The part of Forwarder that starts and ends second attempts (hedged requests).

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
// Requests with a larger body get no second attempt: sending it again takes long and loads the
// link.
constexpr std::size_t maxHedgedBodyBytes = 64 * 1024;
// How often further targets are looked for when the best ones have no room.
constexpr int maxTargetRounds = 2;
constexpr Duration bothFailedRetryAfter = milliseconds(300);

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

// Whether a response is worse than waiting for the other attempt: an error of the target, or one of
// the statuses by which it turns requests away.
bool isFailureStatus(int status)
{
    return status >= 500 || status == 408 || status == 429;
}

std::string_view winnerName(HedgeEnd end)
{
    if (end == HedgeEnd::FirstWon)
        return "first";
    return end == HedgeEnd::SecondWon ? "second" : "none";
}

} // namespace

Forwarder::Request *Forwarder::findRequest(RequestId id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second.get();
}

void Forwarder::armHedge(Request &request, const TargetState &target)
{
    if (!m_hedges.isEnabled() || !request.isIdempotent() || !request.takenFor.empty())
        return;
    request.hedge.expectedRun = expectedRun(request, target);
    if (request.isSecondAttempt() || request.hedge.isUsed
        || request.incoming.body.size() > maxHedgedBodyBytes || m_peerForwarding.isActive())
        return;
    const auto delay
            = m_hedges.delays().delay(request.route->name, request.hedge.expectedRun, m_loop.now());
    if (!delay)
        return;
    request.hedge.delay = *delay;
    request.hedge.timer
            = std::make_unique<Timer>(m_loop, [this, &request] { handleHedgeTimer(request); });
    request.hedge.timer->startOnce(*delay);
}

void Forwarder::handleHedgeTimer(Request &first)
{
    const bool hasResponseBegun = first.response.head.status != 0;
    if (!first.isInFlight || !first.peer.empty() || hasResponseBegun || m_peerForwarding.isActive())
        return;
    if (const auto denial = startHedge(first))
        m_metrics.countHedgeDenial(hedgeDenialName(*denial));
}

std::optional<HedgeDenial> Forwarder::startHedge(Request &first)
{
    const Time now = m_loop.now();
    HedgeRequest facts{ first.service, first.attemptCount, first.maxAttempts,
                        !m_crashQuarantine.mayRun(first.fingerprint, now), 0 };
    for (const auto &[id, target] : m_targets.all()) {
        if (target->registration.service == first.service)
            facts.waitingHere += target->concurrencyLimiter.waitingCount();
    }
    if (const auto denial = m_hedges.denial(facts, now))
        return denial;
    TargetState *target = chooseHedgeTarget(first);
    if (target == nullptr)
        return HedgeDenial::NoTarget;
    if (!m_retryBudgets[first.service].tryWithdrawSpare())
        return HedgeDenial::RetryBudget;
    m_hedges.takeShare(first.service);
    sendSecondAttempt(first, *target);
    return std::nullopt;
}

TargetState *Forwarder::chooseHedgeTarget(const Request &first)
{
    const Time now = m_loop.now();
    Request search;
    search.incoming.head = first.incoming.head;
    search.route = first.route;
    search.service = first.service;
    search.placementHash = first.placementHash;
    search.allowedRegions = first.allowedRegions;
    search.triedTargets = first.triedTargets;
    for (int round = 0; round < maxTargetRounds; ++round) {
        const std::vector<TargetState *> targets = eligibleCandidates(search, now);
        std::vector<HedgeCandidate> candidates;
        for (const TargetState *target : targets) {
            const ConcurrencyLimiter &limiter = target->concurrencyLimiter;
            const bool hasRoom = limiter.hasCapacity() && limiter.waitingCount() == 0
                                 && !target->load.isQueueing(now);
            candidates.push_back(
                    { hasRoom, m_targets.isCold(*target, now), expectedRun(first, *target) });
            search.triedTargets.push_back(target->registration.id);
        }
        if (const auto chosen
            = basildeck::chooseHedgeTarget(candidates, endOfService(first.deadline) - now))
            return targets[*chosen];
    }
    return nullptr;
}

void Forwarder::sendSecondAttempt(Request &first, TargetState &target)
{
    auto newRequest = std::make_unique<Request>();
    Request &second = *newRequest;
    second.id = m_nextId++;
    second.incoming = { first.incoming.head, first.incoming.body, first.incoming.connectedAt,
                        first.incoming.receivedAt, makeHedgeSink(first.id) };
    second.callerRequestId = first.callerRequestId;
    second.routing = first.routing;
    second.route = first.route;
    second.organisation = first.organisation;
    second.service = first.service;
    second.allowedRegions = first.allowedRegions;
    second.placementHash = first.placementHash;
    second.homeTarget = first.homeTarget;
    second.fingerprint = first.fingerprint;
    second.priority = first.priority;
    second.submittedAt = first.submittedAt;
    second.softDeadline = first.softDeadline;
    second.deadline = first.deadline;
    second.triedTargets = first.triedTargets;
    second.attemptCount = first.attemptCount;
    second.maxAttempts = first.attemptCount + 1; // it is not retried
    second.hedge.first = first.id;
    m_requests.emplace(second.id, std::move(newRequest));
    first.hedge.second = second.id;
    first.hedge.isUsed = true;
    ++first.attemptCount;
    // In front, because the last one is the target of the first attempt.
    first.triedTargets.insert(first.triedTargets.begin(), target.registration.id);
    m_metrics.countHedge(first.route->name);
    target.notice.limit.takePermit(m_loop.now());
    // Where the target's coordinator declines, the second attempt ends, as it has no time to wait.
    if (!requestPermit(second, target, Duration::zero()))
        sendToTarget(second, target);
}

ResponseSink Forwarder::makeHedgeSink(RequestId firstId)
{
    ResponseSink sink;
    sink.head = [this, firstId](const std::string &head) {
        if (Request *first = findRequest(firstId))
            first->incoming.sink.head(head);
    };
    sink.body = [this, firstId](std::string_view bytes) {
        if (Request *first = findRequest(firstId))
            first->incoming.sink.body(bytes);
    };
    sink.finish = [this, firstId](bool closesConnection) {
        if (Request *first = findRequest(firstId)) {
            first->incoming.sink.finish(closesConnection);
            finish(*first);
        }
    };
    sink.abort = [this, firstId](bool isDelimitedByClose) {
        if (Request *first = findRequest(firstId)) {
            first->incoming.sink.abort(isDelimitedByClose);
            finish(*first);
        }
    };
    sink.isCongested = [this, firstId] {
        const Request *first = findRequest(firstId);
        return first != nullptr && first->incoming.sink.isCongested();
    };
    sink.isNext = [this, firstId] {
        const Request *first = findRequest(firstId);
        return first != nullptr && first->incoming.sink.isNext();
    };
    return sink;
}

bool Forwarder::mayWin(const Request &request) const
{
    if (!request.isSecondAttempt())
        return true;
    const Request *first = findRequest(request.hedge.first);
    return first == nullptr || !first->isInFlight || !isFailureStatus(request.response.head.status);
}

bool Forwarder::claimResponse(Request &request)
{
    if (!request.isSecondAttempt()) {
        request.hedge.timer.reset();
        cancelHedge(request, HedgeEnd::FirstWon);
        return true;
    }
    Request *first = findRequest(request.hedge.first);
    if (first == nullptr || first->hedge.isSecondWinner)
        return first != nullptr;
    if (!mayWin(request)) {
        request.mayHaveRun = true;
        endSecondAttempt(request);
        return false;
    }
    logHedge(*first, request, HedgeEnd::SecondWon, cancelRun(*first));
    m_metrics.countHedgeWon(first->route->name);
    first->hedge.isSecondWinner = true;
    // It is over for the caller when this response ends, even if that is cut off.
    first->hedge.failure.reset();
    first->response = {};
    first->response.isStreaming = true;
    return true;
}

bool Forwarder::leaveToSecondAttempt(Request &request, RetryReason reason, ErrorKind kind)
{
    if (request.hedge.second == 0)
        return false;
    request.hedge.failure = { reason, kind };
    return true;
}

bool Forwarder::endSecondAttempt(Request &request)
{
    if (!request.isSecondAttempt())
        return false;
    const bool wasSent = request.sentAt != Time();
    const Duration ran = wasSent ? m_loop.now() - request.sentAt : Duration::zero();
    finish(request);
    Request *first = findRequest(request.hedge.first);
    if (first == nullptr || first->hedge.second != request.id)
        return true;
    first->hedge.second = 0;
    first->mayHaveRun = first->mayHaveRun || request.mayHaveRun;
    m_metrics.addHedgeWaste(request.route->name, ran);
    logHedge(*first, request, HedgeEnd::SecondFailed, ran);
    if (!first->hedge.failure)
        return true;
    const FailedFirstAttempt failure = *std::exchange(first->hedge.failure, std::nullopt);
    if (acquireRetry(*first, failure.reason))
        dispatch(*first);
    else
        refuse(*first, failure.kind,
               first->mayHaveRun ? Duration::zero() : retryAfter(*first, bothFailedRetryAfter));
    return true;
}

void Forwarder::cancelHedge(Request &first, HedgeEnd end)
{
    Request *second = findRequest(std::exchange(first.hedge.second, 0));
    if (second == nullptr)
        return;
    first.mayHaveRun = first.mayHaveRun || second->isInFlight;
    const Duration wasted = cancelRun(*second);
    if (!first.hedge.isSecondWinner)
        logHedge(first, *second, end, wasted);
    finish(*second);
}

Duration Forwarder::cancelRun(Request &request)
{
    if (!request.isInFlight)
        return Duration::zero();
    const Time now = m_loop.now();
    const Duration ran = now - request.sentAt;
    const std::string &kind = request.route->name;
    const bool wasConnected = request.connection && request.connection->isConnected();
    // Its response was in use, and takes as long as the caller reads.
    const bool wasStreaming = request.response.isStreaming;
    endAttempt(request, true);
    if (!wasStreaming)
        m_metrics.addHedgeWaste(kind, ran);
    TargetState *target = m_targets.find(request.targetId);
    if (target == nullptr)
        return ran;
    const auto delay = m_hedges.delays().delay(kind, request.hedge.expectedRun, now);
    const bool isUnusual = !wasStreaming && delay && ran >= *delay;
    if (wasConnected && !wasStreaming) {
        target->concurrencyLimiter.cancelled(kind, ran, now);
        m_runTimeEstimator.recordCancelled(kind, target->region, ran);
        m_hedges.delays().recordCancelled(kind, ran, request.hedge.expectedRun, now);
    } else {
        target->concurrencyLimiter.ended();
    }
    if (isUnusual && m_targets.partitionDetector().mayBlameTarget(request.sentAt)
        && target->outlierDetector.recordCancelledRun(now))
        BASILDECK_INFO(logComponent) << "target ejected target=" << target->registration.id
                                     << " cancelled_in_row=" << OutlierDetector::cancelledThreshold;
    // Deferred, because both dispatch other requests, whose ends may end this one.
    m_loop.defer(
            [this, id = target->registration.id, isTargetSlow = isSlow(request, *target, ran)] {
                TargetState *target = m_targets.find(id);
                if (target == nullptr)
                    return;
                if (isTargetSlow)
                    reportTarget(*target, TargetTrouble::Slow);
                sendQueued(*target);
            });
    return ran;
}

void Forwarder::recordHedgeSample(const Request &request, Duration run, Time now)
{
    TargetState *target = m_targets.find(request.targetId);
    if (!m_hedges.isEnabled() || !request.peer.empty() || target == nullptr)
        return;
    const MessageHead &head = request.response.head;
    if (head.fields.find(m_names.serverLoad) != nullptr)
        m_hedges.recordAnswer(request.service, target->load.isQueueing(now));
    // A streamed response takes as long as the caller reads, and errors come early.
    if (!request.response.isStreaming && !isFailureStatus(head.status))
        m_hedges.delays().record(request.route->name, run, request.hedge.expectedRun, now);
}

void Forwarder::logHedge(const Request &first, const Request &second, HedgeEnd end, Duration wasted)
{
    BASILDECK_INFO(logComponent) << "hedged request=" << first.callerRequestId
                                 << " route=" << first.route->name << " first=" << first.targetId
                                 << " second=" << second.targetId
                                 << " reason=slow delay_ms=" << toMilliseconds(first.hedge.delay)
                                 << " expected_ms=" << toMilliseconds(first.hedge.expectedRun)
                                 << " won=" << winnerName(end) << " end=" << hedgeEndName(end)
                                 << " wasted_ms=" << toMilliseconds(wasted);
}

} // namespace basildeck
