#include "decide/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basildeck {

namespace {

void updateAverage(double &value, double sample)
{
    value = value == 0 ? sample : value + ConcurrencyLimiter::smoothingFactor * (sample - value);
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(int slots)
    : m_slots(std::max(1, slots))
    , m_limit(std::max(1.0, m_slots / 2.0))
{}

bool ConcurrencyLimiter::hasCapacity() const
{
    return m_inFlight < static_cast<int>(m_limit);
}

Duration ConcurrencyLimiter::expectedWait(int priority) const
{
    const auto ahead
            = std::count_if(m_waiting.begin(), m_waiting.end(),
                            [&](const WaitingRequest &w) { return w.priority <= priority; });
    if (ahead == 0 && hasCapacity())
        return Duration::zero();
    const double runSeconds = m_runSeconds > 0 ? m_runSeconds : toSeconds(initialRunEstimate);
    return fromSeconds(runSeconds * static_cast<double>(ahead + 1) / static_cast<int>(m_limit));
}

Duration ConcurrencyLimiter::expectedRun(const std::string &kind, Duration typicalRun,
                                         Time now) const
{
    const auto found = m_runTimesByKind.find(kind);
    if (found == m_runTimesByKind.end())
        return typicalRun > Duration::zero() ? typicalRun : fromSeconds(m_runSeconds);
    const RunTime &own = found->second;
    if (typicalRun == Duration::zero())
        return fromSeconds(own.seconds);
    const double weight = std::exp(-toSeconds(now - own.updatedAt) / toSeconds(runMemory));
    return fromSeconds(weight * own.seconds + (1 - weight) * toSeconds(typicalRun));
}

void ConcurrencyLimiter::push(const WaitingRequest &waiting)
{
    const auto behind
            = std::find_if(m_waiting.begin(), m_waiting.end(),
                           [&](const WaitingRequest &w) { return w.priority > waiting.priority; });
    m_waiting.insert(behind, waiting);
}

std::optional<ConcurrencyLimiter::WaitingRequest> ConcurrencyLimiter::pop()
{
    if (m_waiting.empty() || !hasCapacity())
        return std::nullopt;
    const WaitingRequest next = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    return next;
}

bool ConcurrencyLimiter::cancel(RequestId id)
{
    return std::erase_if(m_waiting, [&](const WaitingRequest &w) { return w.id == id; }) > 0;
}

std::vector<ConcurrencyLimiter::WaitingRequest> ConcurrencyLimiter::takeAllWaiting()
{
    return std::exchange(m_waiting, {});
}

void ConcurrencyLimiter::answered(const std::string &kind, Duration took,
                                  const std::optional<LoadReport> &load, Time now)
{
    --m_inFlight;
    updateAverage(m_runSeconds, toSeconds(took));
    RunTime &ofKind = m_runTimesByKind[kind];
    updateAverage(ofKind.seconds, toSeconds(took));
    ofKind.updatedAt = now;
    if (load && load->waiting > 0)
        m_limit = std::max(1.0, m_limit * queueingDecreaseFactor);
    else
        m_limit = std::min(static_cast<double>(m_slots), m_limit + additiveIncrease);
}

void ConcurrencyLimiter::shed()
{
    --m_inFlight;
    m_limit = std::max(1.0, m_limit * shedDecreaseFactor);
}

void ConcurrencyLimiter::cancelled(const std::string &kind, Duration ranFor, Time now)
{
    --m_inFlight;
    const auto found = m_runTimesByKind.find(kind);
    if (found == m_runTimesByKind.end() || toSeconds(ranFor) <= found->second.seconds)
        return;
    updateAverage(found->second.seconds, toSeconds(ranFor));
    found->second.updatedAt = now;
}

void ConcurrencyLimiter::setSlots(int slots)
{
    m_slots = std::max(1, slots);
    m_limit = std::min(m_limit, static_cast<double>(m_slots));
}

} // namespace basildeck
