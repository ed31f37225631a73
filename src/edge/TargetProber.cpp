#include "edge/TargetProber.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace basildeck {

namespace {

std::string serviceKey(const TargetState &target)
{
    return "service " + target.registration.service;
}

std::string zoneKey(const TargetState &target)
{
    return "zone " + target.registration.zone;
}

} // namespace

TargetProber::TargetProber(EventLoop &loop, TargetTable &targets, std::string seed,
                           std::function<void()> onResult)
    : m_loop(loop)
    , m_targets(targets)
    , m_seed(std::move(seed))
    , m_onResult(std::move(onResult))
    , m_timer(loop, [this] { sendNext(); })
{}

TargetProber::~TargetProber() = default;

void TargetProber::setActive(bool active)
{
    if (active == m_isActive)
        return;
    const Time now = m_loop.now();
    m_isActive = active;
    if (!active) {
        m_activeAt = now;
        m_timer.stop();
        m_lastProbes.clear();
        return;
    }
    const bool isRestart = m_activeAt != Time{} && now - m_activeAt < restartTime;
    m_firstProbesLeft = isRestart ? 0 : firstProbes;
    m_timer.startOnce(isRestart ? interval : Duration::zero());
}

std::uint64_t TargetProber::lastProbeOf(const std::string &name) const
{
    const auto found = m_lastProbes.find(name);
    return found == m_lastProbes.end() ? 0 : found->second;
}

const TargetState *TargetProber::chooseTarget(Time now) const
{
    const TargetState *chosen = nullptr;
    std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, std::uint64_t> best;
    for (const TargetState *target : m_targets.probeCandidates(now)) {
        const std::string &id = target->registration.id;
        const std::tuple rank(lastProbeOf(serviceKey(*target)), lastProbeOf(id),
                              lastProbeOf(zoneKey(*target)), stableHash(m_seed, id));
        if (chosen != nullptr && rank >= best)
            continue;
        chosen = target;
        best = rank;
    }
    return chosen;
}

void TargetProber::sendNext()
{
    if (!m_isActive)
        return;
    if (m_firstProbesLeft > 0)
        --m_firstProbesLeft;
    m_timer.startOnce(m_firstProbesLeft > 0 ? firstInterval : interval);
    const TargetState *target = chooseTarget(m_loop.now());
    if (target == nullptr)
        return;
    auto probe = std::make_unique<Probe>();
    const std::uint64_t number = ++m_probeCount;
    probe->number = number;
    probe->target = target->registration.id;
    probe->service = target->registration.service;
    probe->zone = target->registration.zone;
    for (const std::string &key : { serviceKey(*target), zoneKey(*target), probe->target })
        m_lastProbes[key] = number;
    probe->stream = TcpStream::connect(m_loop, target->registration.address);
    if (!probe->stream) {
        m_open.push_back(std::move(probe));
        finish(number, ConnectFailure::Refused);
        return;
    }
    probe->stream->setCallbacks(
            { [this, number] { finish(number, std::nullopt); },
              {},
              [this, number](CloseReason) { finish(number, ConnectFailure::Refused); },
              {} });
    probe->timer = std::make_unique<Timer>(
            m_loop, [this, number] { finish(number, ConnectFailure::TimedOut); });
    probe->timer->startOnce(connectTimeout);
    m_open.push_back(std::move(probe));
}

void TargetProber::finish(std::uint64_t number, std::optional<ConnectFailure> failure)
{
    const auto found = std::find_if(m_open.begin(), m_open.end(),
                                    [&](const auto &probe) { return probe->number == number; });
    if (found == m_open.end())
        return;
    std::unique_ptr<Probe> probe = std::move(*found);
    m_open.erase(found);
    if (probe->stream)
        probe->stream->close();
    if (probe->timer)
        probe->timer->stop();
    TargetPartitionDetector &detector = m_targets.partitionDetector();
    const Time now = m_loop.now();
    if (!failure)
        detector.recordConnected(probe->target, now);
    else
        detector.recordConnectFailure({ probe->target, probe->service, probe->zone }, *failure,
                                      now);
    // Its stream or timer is calling this.
    m_loop.deleteLater(std::move(probe));
    m_onResult();
}

} // namespace basildeck
