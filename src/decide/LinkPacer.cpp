#include "decide/LinkPacer.h"

#include <algorithm>
#include <cassert>

namespace basildeck {

TokenBucketLimit LinkPacer::limitOf(double bytesPerSecond)
{
    // In any second at most the burst and one second's accrual pass, which is the cap.
    return { bytesPerSecond * (1 - burstShare), bytesPerSecond * burstShare };
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
    if (m_debt > 0 || m_share.available(now) < chunkBytes * (m_permitted + 1))
        return false;
    ++m_permitted;
    return true;
}

void LinkPacer::cancelRead()
{
    assert(m_permitted > 0);
    --m_permitted;
}

void LinkPacer::recordRead(std::size_t bytes, bool permitted, Time now)
{
    if (permitted)
        cancelRead();
    const auto amount = static_cast<double>(bytes);
    m_share.recordDemand(amount, now);
    const double covered = std::min(amount, m_share.available(now));
    m_share.tryAcquire(covered, now);
    m_debt += amount - covered;
}

double LinkPacer::missing(int waitingReads) const
{
    return m_debt + chunkBytes * (m_permitted + waitingReads);
}

} // namespace basildeck
