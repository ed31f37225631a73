#include "decide/LinkPacer.h"

#include <algorithm>
#include <cassert>

namespace basildeck {

TokenBucketLimit LinkPacer::limitOf(double bytesPerSecond)
{
    // The burst and the accrual of one second add up to the cap.
    return { bytesPerSecond * (1 - burstFraction), bytesPerSecond * burstFraction };
}

LinkPacer::LinkPacer(double bytesPerSecond, std::uint64_t nonceSeed, Time processStart)
    : m_share(limitOf(bytesPerSecond), nonceSeed, processStart)
{}

void LinkPacer::setCap(double bytesPerSecond, Time now)
{
    m_share.setLimit(limitOf(bytesPerSecond), now);
}

bool LinkPacer::reserveRead(Time now)
{
    if (m_debt > 0) {
        const double paid = std::min(m_debt, m_share.available(now));
        m_share.tryAcquire(paid, now);
        m_debt -= paid;
    }
    if (m_debt > 0 || m_share.available(now) < maxReadBytes * (m_reservedReads + 1))
        return false;
    ++m_reservedReads;
    return true;
}

void LinkPacer::cancelRead()
{
    assert(m_reservedReads > 0);
    --m_reservedReads;
}

void LinkPacer::recordRead(std::size_t bytes, bool reserved, Time now)
{
    if (reserved)
        cancelRead();
    const auto amount = static_cast<double>(bytes);
    m_share.recordDemand(amount, now);
    const double covered = std::min(amount, m_share.available(now));
    m_share.tryAcquire(covered, now);
    m_debt += amount - covered;
}

double LinkPacer::tokensNeeded(int waitingReads) const
{
    return m_debt + maxReadBytes * (m_reservedReads + waitingReads);
}

} // namespace basildeck
