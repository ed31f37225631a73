// The part of Forwarder that judges targets by their runs, and follows what they say in responses.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
// A target that refuses connections within this time after a connection was lost has crashed.
constexpr Duration crashDetectionWindow = seconds(3);

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

} // namespace

bool Forwarder::ejectReported(const TargetReport &report)
{
    TargetState *target = m_targets.find(report.target);
    const Time now = m_loop.now();
    if (target == nullptr || target->outlierDetector.isEjected(now))
        return false;
    target->outlierDetector.ejectFor(ejectionTime(report.trouble), now);
    if (!m_targets.isEligible(*target, now))
        redispatchQueued(*target);
    return true;
}

void Forwarder::reportTarget(const TargetState &target, TargetTrouble trouble)
{
    const TargetReport report{ target.registration.id, trouble };
    if (m_fleetVmCount < minVmsReportingTargets || m_targets.partitionDetector().isSuspected()
        || !ejectReported(report))
        return;
    BASILDECK_INFO(logComponent) << "target ejected target=" << report.target
                                 << " reason=" << targetTroubleName(trouble);
    if (m_onTargetTrouble)
        m_onTargetTrouble(report);
}

void Forwarder::findSlowTargets()
{
    const Time now = m_loop.now();
    // Reporting a target dispatches the requests in its queue.
    std::vector<const TargetState *> slow;
    for (const auto &[id, request] : m_requests) {
        const TargetState *target
                = request->isInFlight ? m_targets.find(request->targetId) : nullptr;
        if (target != nullptr && isSlow(*request, *target, now - request->sentAt))
            slow.push_back(target);
    }
    for (const TargetState *target : slow)
        reportTarget(*target, TargetTrouble::Slow);
}

bool Forwarder::isSlow(const Request &request, const TargetState &target, Duration run) const
{
    const Time now = m_loop.now();
    // A large response takes its time on the way, and a cold target is slow at first.
    if (request.response.isStreaming || request.isReadingPaused || m_targets.isCold(target, now))
        return false;
    const std::string &kind = request.route->name;
    if (!isPlacedByCompletion(request))
        return run > m_runTimeEstimator.slowRun(kind, target.region);
    // A machine of varying speed is not faulty while it reports that it is slow, and a run of an
    // object that is not warm takes several times the median of all runs.
    const double factor = std::max(1.0, target.load.factor(now));
    return toSeconds(run) / factor > toSeconds(m_placedRunTimes.slowRun(kind, target.region, now));
}

void Forwarder::readNotice(const std::string &targetId, const MessageHead &head, bool isIdentified)
{
    TargetState *target = m_targets.find(targetId);
    if (target == nullptr)
        return;
    if (const auto duration = requestedHoldOff(head))
        m_targets.holdOff(*target, *duration, m_loop.now());
    readLeavingNotice(targetId, head);
    if (isIdentified)
        readLimitNotice(targetId, head);
}

void Forwarder::readPeersNotice(const std::string &targetId, const MessageHead &head)
{
    readLeavingNotice(targetId, head);
    readLimitNotice(targetId, head);
}

void Forwarder::readLeavingNotice(const std::string &targetId, const MessageHead &head)
{
    TargetState *target = saysLeaving(head, m_names) ? m_targets.find(targetId) : nullptr;
    if (target != nullptr)
        m_targets.noteLeaving(*target);
}

void Forwarder::readLimitNotice(const std::string &targetId, const MessageHead &head)
{
    const auto notice = limitNotice(head, m_names);
    TargetState *target = notice ? m_targets.find(targetId) : nullptr;
    if (target != nullptr)
        m_targets.noteLimit(*target, *notice, m_loop.now());
}

void Forwarder::recordTargetFailure(TargetState &target, Time sentAt)
{
    if (!m_targets.partitionDetector().mayBlameTarget(sentAt))
        return;
    if (target.outlierDetector.recordFailure(m_loop.now()))
        BASILDECK_INFO(logComponent) << "target ejected target=" << target.registration.id
                                     << " failures_in_row=" << OutlierDetector::ejectionThreshold;
}

void Forwarder::recordContact(const Request &request, bool isConnect)
{
    if (!request.peer.empty())
        return;
    TargetPartitionDetector &detector = m_targets.partitionDetector();
    if (isConnect)
        detector.recordConnected(request.targetId, m_loop.now());
    else
        detector.recordBytes(request.targetId, m_loop.now());
}

void Forwarder::recordContactFailure(const Request &request, const TargetState &target,
                                     ExchangeFailure failure)
{
    const Time now = m_loop.now();
    TargetPartitionDetector &detector = m_targets.partitionDetector();
    // A refusal takes a round trip.
    const bool isTimeout = now - request.sentAt >= connectTimeout / 2;
    if (failure == ExchangeFailure::NotConnected)
        detector.recordConnectFailure(
                target.place(), isTimeout ? ConnectFailure::TimedOut : ConnectFailure::Refused,
                now);
    else if (failure == ExchangeFailure::Lost)
        detector.recordConnectionLost(target.place(), now);
}

void Forwarder::reportHeldCrashes()
{
    const Time now = m_loop.now();
    for (const auto &[id, target] : m_targets.all()) {
        if (std::exchange(target->isCrashReportHeld, false))
            reportCrashSuspects(*target, now);
    }
}

void Forwarder::reportCrashSuspects(TargetState &target, Time now)
{
    if (m_targets.partitionDetector().isSuspected()) {
        target.isCrashReportHeld = true;
        return;
    }
    for (const LostRun &run : std::exchange(target.lostRuns, {})) {
        if (now - run.at > crashDetectionWindow)
            continue;
        const CrashReport report{ run.fingerprint, target.registration.id,
                                  static_cast<std::uint32_t>(toMilliseconds(run.ranFor)) };
        recordCrash(report);
        if (m_onCrash)
            m_onCrash(report);
    }
}

} // namespace basildeck
