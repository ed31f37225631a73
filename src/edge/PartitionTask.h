#pragma once

#include "decide/PeerTable.h"
#include "edge/Forwarder.h"
#include "edge/TargetProber.h"

#include <functional>
#include <optional>
#include <string>

namespace basildeck {

// Finds out whether this VM is partitioned from the targets: feeds the detector with what other VMs
// say, probes targets while there is doubt, and tells the forwarder and the other VMs the outcome.
class PartitionTask
{
public:
    // How often the detector is evaluated while there is doubt.
    static constexpr Duration evaluationPeriod = milliseconds(100);
    // A change is announced again after this time, as datagrams may be lost.
    static constexpr Duration repeatedAnnouncementDelay = seconds(1);
    // Requests may go through peers for some time after a partition, so they are kept up to date.
    static constexpr Duration peerUpdateTime = DirectShare::rampTime + seconds(1);

    // The function announces a change of contact() to the other VMs.
    PartitionTask(EventLoop &loop, const EdgeSettings &settings, TargetTable &targets,
                  Forwarder &forwarder, const PeerTable &peers, std::function<void()> announce);

    // Called periodically.
    void tick();
    TargetContact contact() const;
    bool isPartitioned() const { return m_isPartitioned; }
    std::string metricsText() const;

private:
    void evaluate();
    // Takes over which VMs reach targets. Needed only while this one may not.
    void updatePeers(Time now);
    void updatePartitioned(Time now);
    void announceChange(Time now);

    EventLoop &m_loop;
    TargetTable &m_targets;
    Forwarder &m_forwarder;
    const PeerTable &m_peers;
    std::function<void()> m_announce;
    TargetProber m_prober;
    Timer m_timer;
    // Another VM has lost contact with all targets, so the others make sure of theirs.
    bool m_isPeerPartitioned = false;
    bool m_wasSuspected = false;
    bool m_wasUnreachable = false;
    bool m_isPartitioned = false;
    Time m_unreachableSince{};
    Time m_peersUpdatedAt{};
    Time m_suspectedAt{};
    std::uint64_t m_probesBefore = 0;
    TargetContact m_announcedContact = TargetContact::Unknown;
    std::optional<Time> m_repeatAnnouncementAt;
};

} // namespace basildeck
