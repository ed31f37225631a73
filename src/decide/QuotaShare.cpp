#include "decide/QuotaShare.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace basildeck {

QuotaShare::QuotaShare(Time now)
    : m_updated(now)
{}

void QuotaShare::advance(Time now)
{
    const double elapsed = toSeconds(now - m_updated);
    if (elapsed <= 0)
        return;
    m_updated = now;
    m_slowCount *= std::exp(-elapsed / toSeconds(slowMemory));
    m_fastCount *= std::exp(-elapsed / toSeconds(fastMemory));
    m_tokens = std::min(capacity(), m_tokens + m_limit.rate * m_part * elapsed);
}

void QuotaShare::setLimit(const QuotaLimit &limit, Time now)
{
    advance(now);
    m_limit = limit;
    m_tokens = std::min(m_tokens, capacity());
}

void QuotaShare::setDemand(const QuotaDemand &demand, Time now)
{
    advance(now);
    m_registeredVms = static_cast<double>(std::max<std::size_t>(1, demand.registeredVms));
    const auto heard = static_cast<double>(demand.ofPeers.size() + 1);
    const double reachable = std::min(1.0, heard / m_registeredVms);
    const double base = baseDemand();
    const double own = std::min(m_told, m_toldBefore) + base;
    const double all = std::accumulate(demand.ofPeers.begin(), demand.ofPeers.end(), own,
                                       [&](double sum, double peer) { return sum + peer + base; });
    m_part = all > 0 ? reachable * own / all : 1 / m_registeredVms;
    m_burstPart = (m_part + 1 / m_registeredVms) / 2;
    if (!std::exchange(m_hasStarted, true))
        m_tokens = m_limit.atStart / m_registeredVms;
    m_tokens = std::min(m_tokens, capacity());
}

double QuotaShare::demand(Time now)
{
    advance(now);
    return std::max(m_slowCount / toSeconds(slowMemory), m_fastCount / toSeconds(fastMemory));
}

double QuotaShare::tell(Time now)
{
    m_toldBefore = m_told;
    const double base = baseDemand();
    m_told = std::min(demand(now), mostGrowth * (m_told + base) - base);
    return m_told;
}

double QuotaShare::wanted(Time now)
{
    advance(now);
    if (m_limit.rate <= 0 || m_tokens >= capacity() * keptPart)
        return 0;
    return capacity() * askedPart - m_tokens;
}

double QuotaShare::lend(double most, Time now)
{
    advance(now);
    if (!(most > 0)) // also not a number, of a peer that is not sound
        return 0;
    // Less than a token serves no request here.
    const double spare = m_tokens < 1 ? m_tokens : m_tokens - keptTokens();
    const double lent = std::clamp(spare, 0.0, most);
    m_tokens -= lent;
    return lent;
}

void QuotaShare::borrow(double tokens, Time now)
{
    advance(now);
    if (tokens > 0)
        m_tokens = std::min(capacity(), m_tokens + tokens);
}

void QuotaShare::count(Time now)
{
    advance(now);
    m_slowCount += 1;
    m_fastCount += 1;
}

bool QuotaShare::admit(Time now)
{
    count(now);
    return take(now);
}

bool QuotaShare::take(Time now)
{
    advance(now);
    if (m_limit.rate <= 0)
        return true;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

Duration QuotaShare::timeToNextToken() const
{
    const double rate = m_limit.rate * m_part;
    if (rate <= 0 || m_tokens >= 1)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((1 - m_tokens) / rate));
}

} // namespace basildeck
