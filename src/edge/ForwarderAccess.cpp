// The part of Forwarder that asks the coordinators of targets for permits, and grants them where
// this VM is the coordinator.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "access";
// How often expired permits, late requests and missing replies are looked for while there are any.
constexpr Duration pollPeriod = milliseconds(10);

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::string metricLine(const std::string &name, std::uint64_t value)
{
    return "basildeck_" + name + " " + std::to_string(value) + "\n";
}

} // namespace

void Forwarder::setAccessVms(std::vector<std::string> coordinators, std::set<std::string> reachable)
{
    m_coordinatorSelection.setVms(std::move(coordinators));
    const std::uint64_t expired = m_accessCoordinator.counters().expired;
    sendDecisions(m_accessCoordinator.setReachable(std::move(reachable), m_loop.now()));
    if (m_accessCoordinator.counters().expired > expired)
        BASILDECK_INFO(logComponent) << "permits of unreachable VMs ended permits="
                                     << m_accessCoordinator.counters().expired - expired;
}

void Forwarder::setOnAccessMessage(
        std::function<void(const std::string &vm, const AccessMessage &message)> send)
{
    m_onAccessMessage = std::move(send);
}

bool Forwarder::usesPermits(const TargetState &target) const
{
    // Requests do not wait for targets that name a request rate, nor do they take a round trip to
    // another region to ask.
    return target.region == m_settings.region && !target.notice.limit.isLimited()
           && m_targets.reportsSpeed(target.registration.service, m_loop.now());
}

Duration Forwarder::expectedWait(const Request &request, const TargetState &target) const
{
    const Time now = m_loop.now();
    const std::string &id = target.registration.id;
    const std::string &coordinator = m_coordinatorSelection.coordinatorOf(id);
    if (!usesPermits(target) || coordinator.empty() || request.localTarget == id
        || m_accessClient.decidesLocally(coordinator, now))
        return target.concurrencyLimiter.expectedWait(request.priority);
    return m_accessClient.expectedWait(id, target.registration.slots, expectedRun(request, target),
                                       now);
}

bool Forwarder::requestPermit(Request &request, TargetState &target, Duration maxWait)
{
    const Time now = m_loop.now();
    const std::string &id = target.registration.id;
    const std::string &coordinator = m_coordinatorSelection.coordinatorOf(id);
    if (!usesPermits(target) || coordinator.empty())
        return false;
    if (request.localTarget == id || m_accessClient.decidesLocally(coordinator, now)) {
        m_accessClient.countLocalDecision();
        return false;
    }
    const Duration run = expectedRun(request, target);
    const PermitRequest message = m_accessClient.ask(coordinator,
                                                     { request.id, id, queuePriority(request),
                                                       organisationName(request), maxWait, run,
                                                       endOfService(request.deadline) - now },
                                                     now);
    request.targetId = id;
    request.permitNumber = message.number;
    request.isWaitingForPermit = true;
    sendAccessMessage(coordinator, message);
    startAccessTimer();
    return true;
}

bool Forwarder::refuseDeclined(Request &request, std::vector<TargetState *> &candidates)
{
    const auto isDeclining = [&](const TargetState *target) {
        const auto &declining = request.decliningTargets;
        return std::find(declining.begin(), declining.end(), target->registration.id)
               != declining.end();
    };
    if (std::erase_if(candidates, isDeclining) == 0 || !candidates.empty())
        return false;
    refuse(request, ErrorKind::QueueFull, request.declineRetryAfter,
           "declined_by_coordinators=" + std::to_string(request.decliningTargets.size()));
    return true;
}

void Forwarder::releasePermit(Request &request, const std::optional<LoadReport> &load)
{
    const bool wasSent = !std::exchange(request.isWaitingForPermit, false);
    const std::uint64_t number = std::exchange(request.permitNumber, 0);
    if (number == 0)
        return;
    // While a request waits for a permit, its response is that of an earlier attempt.
    const bool isShed = wasSent && request.response.notExecuted && !request.response.isMisdirected;
    const Duration ranFor = load && !isShed ? m_loop.now() - request.sentAt : Duration::zero();
    if (const auto release = m_accessClient.release(number, load, ranFor, isShed))
        sendAccessMessage(release->coordinator, release->message);
}

void Forwarder::recordLoad(Request &request, const std::optional<LoadReport> &load)
{
    TargetState *target = m_targets.find(request.targetId);
    if (load && target != nullptr)
        m_targets.noteLoad(*target, *load, m_loop.now());
    if (request.permitNumber != 0 && target != nullptr)
        target->concurrencyLimiter.limitToInFlight();
    releasePermit(request, load);
}

void Forwarder::redispatchWaitingForPermit(const TargetState &target)
{
    for (const RequestId id : m_accessClient.waitingFor(target.registration.id)) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end() || !found->second->isWaitingForPermit)
            continue;
        releasePermit(*found->second);
        dispatchWithoutPermit(*found->second);
    }
}

void Forwarder::sendAccessMessage(const std::string &vm, const AccessMessage &message)
{
    if (vm == m_settings.vmName)
        m_loop.defer([this, message] { handleAccessMessage(message); });
    else if (m_onAccessMessage)
        m_onAccessMessage(vm, message);
}

void Forwarder::sendDecisions(const PermitDecisions &decisions)
{
    for (const PermitDecision &decision : decisions)
        sendAccessMessage(decision.vm, decision.reply);
}

void Forwarder::handleAccessMessage(const AccessMessage &message)
{
    const Time now = m_loop.now();
    if (const auto *request = std::get_if<PermitRequest>(&message)) {
        const TargetState *target = m_targets.find(request->target);
        const auto slots
                = target == nullptr ? std::nullopt : std::optional(target->registration.slots);
        sendDecisions(m_accessCoordinator.handle(*request, slots, now));
        startAccessTimer();
    } else if (const auto *release = std::get_if<PermitRelease>(&message)) {
        sendDecisions(m_accessCoordinator.handle(*release, now));
    } else if (const auto *reply = std::get_if<PermitReply>(&message)) {
        if (const auto answer = m_accessClient.handle(*reply, now)) {
            noteReply(*answer, *reply);
            handlePermitAnswer(*answer);
        }
    }
}

void Forwarder::noteReply(const AccessClient::Answer &answer, const PermitReply &reply)
{
    const auto found = m_requests.find(answer.request);
    TargetState *target
            = found == m_requests.end() ? nullptr : m_targets.find(found->second->targetId);
    if (target == nullptr || reply.speedPercent == 0)
        return;
    m_targets.noteLoad(
            *target,
            { reply.running, reply.waiting, target->registration.slots, reply.speedPercent },
            m_loop.now());
}

void Forwarder::handlePermitAnswer(const AccessClient::Answer &answer)
{
    const auto found = m_requests.find(answer.request);
    if (found == m_requests.end() || !found->second->isWaitingForPermit)
        return;
    Request &request = *found->second;
    const Time now = m_loop.now();
    TargetState *target = m_targets.find(request.targetId);
    if (!answer.isGranted) {
        request.isWaitingForPermit = false;
        request.permitNumber = 0;
        request.decliningTargets.push_back(request.targetId);
        request.declineRetryAfter = answer.retryAfter;
        BASILDECK_INFO(logComponent) << "permit declined request=" << request.callerRequestId
                                     << " target=" << request.targetId
                                     << " retry_after_ms=" << toMilliseconds(answer.retryAfter);
        dispatchWithoutPermit(request);
        return;
    }
    const auto endsInTime = [&] {
        const Time end = now + expectedRun(request, *target);
        return end <= endOfService(end);
    };
    const bool isUsable = target != nullptr && m_targets.isEligible(*target, now) && endsInTime();
    if (!isUsable) {
        releasePermit(request);
        dispatchWithoutPermit(request);
        return;
    }
    request.isWaitingForPermit = false;
    sendToTarget(request, *target);
}

void Forwarder::dispatchWithoutPermit(Request &request)
{
    // A second attempt goes to the target that was chosen for it, or nowhere.
    if (!endSecondAttempt(request))
        dispatch(request);
}

void Forwarder::startAccessTimer()
{
    if (!std::exchange(m_isAccessTimerActive, true))
        m_accessTimer.startOnce(pollPeriod);
}

void Forwarder::pollAccess()
{
    const Time now = m_loop.now();
    m_isAccessTimerActive = false;
    const std::uint64_t expired = m_accessCoordinator.counters().expired;
    sendDecisions(m_accessCoordinator.tick(now));
    if (m_accessCoordinator.counters().expired > expired)
        BASILDECK_INFO(logComponent)
                << "permits expired permits=" << m_accessCoordinator.counters().expired - expired;
    for (const AccessClient::Unanswered &unanswered : m_accessClient.takeUnanswered(now)) {
        const AccessClient::Release &release = unanswered.release;
        sendAccessMessage(release.coordinator, release.message);
        const auto found = m_requests.find(unanswered.request);
        if (found == m_requests.end() || !found->second->isWaitingForPermit)
            continue;
        Request &request = *found->second;
        request.isWaitingForPermit = false;
        request.permitNumber = 0;
        request.localTarget = request.targetId;
        BASILDECK_INFO(logComponent)
                << "coordinator did not reply request=" << request.callerRequestId
                << " target=" << request.targetId << " coordinator=" << release.coordinator
                << " local=" << m_accessClient.decidesLocally(release.coordinator, now);
        dispatchWithoutPermit(request);
    }
    if (m_accessClient.isWaiting() || m_accessCoordinator.isActive())
        startAccessTimer();
}

std::string Forwarder::accessMetricsText() const
{
    const AccessClient::Counters &own = m_accessClient.counters();
    const AccessCounters &counters = m_accessCoordinator.counters();
    const auto ms = [](Duration duration) {
        return static_cast<std::uint64_t>(toMilliseconds(duration));
    };
    return metricLine("permits_requested_total", own.asked)
           + metricLine("permits_received_total", own.granted)
           + metricLine("permits_refused_total", own.declined)
           + metricLine("permits_unanswered_total", own.unanswered)
           + metricLine("permits_waited_ms_total", ms(own.waited))
           + metricLine("requests_without_permit_total", own.decidedLocally)
           + metricLine("permits_granted_total", counters.granted)
           + metricLine("permits_declined_total", counters.declined)
           + metricLine("permits_displaced_total", counters.displaced)
           + metricLine("permits_expired_total", counters.expired)
           + metricLine("permits_queued_ms_total", ms(counters.queued))
           + metricLine("permits_in_use", m_accessCoordinator.heldCount())
           + metricLine("permits_waiting", m_accessCoordinator.waitingCount())
           + metricLine("requests_at_targets_without_permit",
                        m_accessCoordinator.unpermittedCount());
}

} // namespace basildeck
