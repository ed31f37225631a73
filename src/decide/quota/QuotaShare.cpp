#include "decide/quota/QuotaShare.h"

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
    m_slowCount *= std::exp(-elapsed / toSeconds(slowTimeConstant));
    m_fastCount *= std::exp(-elapsed / toSeconds(fastTimeConstant));
    m_tokens = std::min(capacity(), m_tokens + m_limit.rate * m_rateFraction * elapsed);
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
    m_holders = static_cast<double>(std::max<std::size_t>(1, demand.holders));
    const double base = baseDemand();
    const double own = std::min(m_reportedDemand, m_previousReportedDemand) + base;
    const double all = std::accumulate(demand.peerDemands.begin(), demand.peerDemands.end(), own,
                                       [&](double sum, double peer) { return sum + peer + base; });
    m_rateFraction = all > 0 ? demand.reachableFraction * own / all : 1 / m_holders;
    m_burstFraction = (m_rateFraction + 1 / m_holders) / 2;
    if (!std::exchange(m_hasStarted, true))
        m_tokens = m_limit.startupTokens / m_holders;
    m_tokens = std::min(m_tokens, capacity());
}

void QuotaShare::setFixedFraction(double fraction, Time now)
{
    advance(now);
    m_rateFraction = m_burstFraction = fraction;
    m_hasStarted = true;
    m_tokens = fraction > 0 ? std::min(m_tokens, capacity()) : 0;
}

double QuotaShare::demand(Time now)
{
    advance(now);
    return std::max(m_slowCount / toSeconds(slowTimeConstant),
                    m_fastCount / toSeconds(fastTimeConstant));
}

double QuotaShare::reportDemand(Time now)
{
    m_previousReportedDemand = m_reportedDemand;
    const double base = baseDemand();
    m_reportedDemand = std::min(demand(now), maxDemandGrowth * (m_reportedDemand + base) - base);
    return m_reportedDemand;
}

double QuotaShare::tokensToBorrow(Time now)
{
    advance(now);
    if (m_limit.rate <= 0 || m_tokens >= capacity() * lowWatermark)
        return 0;
    return capacity() * refillTarget - m_tokens;
}

double QuotaShare::lend(double maxTokens, Time now)
{
    advance(now);
    if (!(maxTokens > 0)) // also rejects NaN, which a faulty peer may send
        return 0;
    // Less than one token cannot serve a request, so all of it may be lent.
    if (m_tokens >= 1)
        return lendSurplus(maxTokens, now);
    const double lent = std::clamp(m_tokens, 0.0, maxTokens);
    m_tokens -= lent;
    return lent;
}

double QuotaShare::lendSurplus(double maxTokens, Time now)
{
    advance(now);
    if (!(maxTokens > 0)) // also rejects NaN, which a faulty peer may send
        return 0;
    const double lent = std::clamp(m_tokens - lendingReserve(), 0.0, maxTokens);
    m_tokens -= lent;
    return lent;
}

double QuotaShare::lendToBorrower(double maxTokens, Time now)
{
    advance(now);
    if (!(maxTokens > 0)) // also rejects NaN, which a faulty peer may send
        return 0;
    const double requested = std::min(maxTokens, maxTokensPerLoan);
    m_slowCount += requested;
    m_fastCount += requested;
    const double lent = std::floor(std::min(requested, m_tokens));
    m_tokens -= lent;
    return lent;
}

void QuotaShare::borrow(double tokens, Time now)
{
    advance(now);
    if (tokens > 0)
        m_tokens = std::min(capacity(), m_tokens + tokens);
}

void QuotaShare::recordRequest(Time now)
{
    advance(now);
    m_slowCount += 1;
    m_fastCount += 1;
}

bool QuotaShare::admit(Time now)
{
    recordRequest(now);
    return tryAcquire(now);
}

bool QuotaShare::tryAcquire(Time now)
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
    const double rate = m_limit.rate * m_rateFraction;
    if (rate <= 0 || m_tokens >= 1)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>((1 - m_tokens) / rate));
}

} // namespace basildeck
