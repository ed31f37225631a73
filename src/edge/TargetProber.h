#pragma once

#include "edge/TargetTable.h"
#include "edge/TcpStream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Probes targets by connects, and tells the partition detector about the results. A connection is
// closed as soon as it is established. Consecutive probes go to different services and zones.
class TargetProber
{
public:
    // Time between the first probes, by which a suspicion is confirmed or refuted, and between the
    // ones that follow.
    static constexpr Duration firstInterval = milliseconds(50);
    static constexpr Duration interval = milliseconds(250);
    static constexpr std::size_t firstProbes = 4;
    // Probing that starts again within this time does not start with the first probes.
    static constexpr Duration restartTime = seconds(1);
    static constexpr Duration connectTimeout = milliseconds(400);

    // The seed makes the VMs begin with different targets. The function is called after a result.
    TargetProber(EventLoop &loop, TargetTable &targets, std::string seed,
                 std::function<void()> onResult);
    ~TargetProber();

    // Starts or stops probing. Probes that were sent are waited for.
    void setActive(bool active);
    bool isActive() const { return m_isActive; }
    std::uint64_t probeCount() const { return m_probeCount; }

private:
    struct Probe
    {
        std::uint64_t number = 0;
        std::string target;
        std::string service;
        std::string zone;
        std::unique_ptr<TcpStream> stream;
        std::unique_ptr<Timer> timer;
    };

    void sendNext();
    const TargetState *chooseTarget(Time now) const;
    // Without a failure, the target has accepted the connect.
    void finish(std::uint64_t number, std::optional<ConnectFailure> failure);
    // The number of the last probe of a target, service or zone.
    std::uint64_t lastProbeOf(const std::string &name) const;

    EventLoop &m_loop;
    TargetTable &m_targets;
    std::string m_seed;
    std::function<void()> m_onResult;
    Timer m_timer;
    bool m_isActive = false;
    std::size_t m_firstProbesLeft = 0;
    Time m_activeAt{};
    std::uint64_t m_probeCount = 0;
    std::vector<std::unique_ptr<Probe>> m_open;
    std::map<std::string, std::uint64_t> m_lastProbes;
};

} // namespace basildeck
