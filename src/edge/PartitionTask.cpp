#include "edge/PartitionTask.h"

#include "core/Log.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "partition";

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

ReachableTargetCounts countTargets(const std::vector<const TargetState *> &targets)
{
    std::set<std::string_view> services;
    std::set<std::string_view> zones;
    for (const TargetState *target : targets) {
        services.insert(target->registration.service);
        zones.insert(target->registration.zone);
    }
    return { targets.size(), services.size(), zones.size() };
}

} // namespace

PartitionTask::PartitionTask(EventLoop &loop, const EdgeSettings &settings, TargetTable &targets,
                             Forwarder &forwarder, const PeerTable &peers,
                             std::function<void()> announce)
    : m_loop(loop)
    , m_targets(targets)
    , m_forwarder(forwarder)
    , m_peers(peers)
    , m_announce(std::move(announce))
    , m_prober(loop, targets, settings.vmName, [this] { evaluate(); })
    , m_timer(loop, [this] { evaluate(); })
{}

TargetContact PartitionTask::contact() const
{
    return m_targets.partitionDetector().contact(m_loop.now());
}

void PartitionTask::tick()
{
    const Time now = m_loop.now();
    const std::vector<const Heartbeat *> reachable = m_peers.reachable(now);
    m_isPeerPartitioned
            = std::any_of(reachable.begin(), reachable.end(), [](const Heartbeat *peer) {
                  return !peer->leaving && peer->targetContact == TargetContact::Lost;
              });
    m_targets.partitionDetector().setTargets(countTargets(m_targets.probeCandidates(now)));
    evaluate();
    if (m_repeatAnnouncementAt && now >= *m_repeatAnnouncementAt) {
        m_repeatAnnouncementAt.reset();
        m_announce();
    }
}

void PartitionTask::evaluate()
{
    const Time now = m_loop.now();
    TargetPartitionDetector &detector = m_targets.partitionDetector();
    detector.evaluate(now);
    if (detector.isSuspected() || now - m_suspectedAt < peerUpdateTime)
        updatePeers(now);
    if (detector.isSuspected())
        m_suspectedAt = now;
    updatePartitioned(now);
    const bool wasSuspected = std::exchange(m_wasSuspected, detector.isSuspected());
    if (wasSuspected && !detector.isSuspected())
        m_forwarder.reportHeldCrashes();
    announceChange(now);
    const bool isInDoubt
            = detector.isSuspected()
              || (m_isPeerPartitioned && detector.contact(now) == TargetContact::Unknown);
    m_prober.setActive(isInDoubt);
    if (isInDoubt)
        m_timer.startOnce(evaluationPeriod);
}

void PartitionTask::updatePeers(Time now)
{
    if (now - m_peersUpdatedAt < evaluationPeriod)
        return;
    m_peersUpdatedAt = now;
    std::vector<ForwardingPeer> peers = forwardingPeers(m_peers.reachable(now));
    m_targets.partitionDetector().setPeersReachTargets(!peers.empty());
    m_forwarder.setForwardingPeers(std::move(peers));
}

void PartitionTask::updatePartitioned(Time now)
{
    const TargetPartitionDetector &detector = m_targets.partitionDetector();
    const bool isUnreachable = detector.isUnreachable();
    const bool wasUnreachable = std::exchange(m_wasUnreachable, isUnreachable);
    if (isUnreachable && !wasUnreachable) {
        m_unreachableSince = now;
        m_probesBefore = m_prober.probeCount();
    }
    const bool isPartitioned = detector.isPartitioned();
    if (isUnreachable && (!wasUnreachable || isPartitioned != m_isPartitioned))
        BASILDECK_WARNING(logComponent)
                << (isPartitioned ? "partitioned from the targets"
                                  : "no target is reached, by other VMs neither")
                << " how=" << partitionSignName(detector.sign())
                << " failed_targets=" << detector.failedTargetCount()
                << " silence_ms=" << toMilliseconds(detector.silence(now));
    if (!isUnreachable && wasUnreachable) {
        m_targets.clearFailures();
        BASILDECK_WARNING(logComponent)
                << "targets reached again after_ms=" << toMilliseconds(now - m_unreachableSince)
                << " probes=" << m_prober.probeCount() - m_probesBefore;
    }
    m_isPartitioned = isPartitioned;
    m_forwarder.setPartitionedFromTargets(isPartitioned);
}

void PartitionTask::announceChange(Time now)
{
    const TargetContact current = contact();
    const bool isLostChanged
            = (current == TargetContact::Lost) != (m_announcedContact == TargetContact::Lost);
    // Another VM may be waiting for one that can help.
    const bool canHelp = m_isPeerPartitioned && current == TargetContact::Reached
                         && m_announcedContact == TargetContact::Unknown;
    m_announcedContact = current;
    if (!isLostChanged && !canHelp)
        return;
    m_repeatAnnouncementAt = now + repeatedAnnouncementDelay;
    m_announce();
}

std::string PartitionTask::metricsText() const
{
    const TargetPartitionDetector &detector = m_targets.partitionDetector();
    const auto line = [](const char *name, std::uint64_t value) {
        return std::string(name) + " " + std::to_string(value) + "\n";
    };
    return line("basildeck_partitioned_from_targets", m_isPartitioned ? 1 : 0)
           + line("basildeck_targets_unreachable", detector.isUnreachable() ? 1 : 0)
           + line("basildeck_targets_unreachable_total", detector.partitionCount())
           + line("basildeck_target_probes_total", m_prober.probeCount());
}

} // namespace basildeck
