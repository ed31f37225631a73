#include "decide/RateLimiter.h"

#include <algorithm>

namespace basildeck {

RateLimiter::Verdict RateLimiter::admit(RequestId id, Time now, Time deadline)
{
    m_share.recordDemand(1, now);
    if (m_waiting.empty() && m_share.tryAcquire(1, now))
        return Verdict::Admitted;
    if (m_waiting.size() >= maxWaiting)
        return Verdict::Refused;
    m_waiting.push_back({ id, std::min(deadline, now + maxWait), deadline });
    return Verdict::Waiting;
}

// Available tokens are given also to requests whose wait is over, so that a late poll refuses no
// request that could have been admitted.
std::vector<RateLimiter::Decision> RateLimiter::poll(Time now)
{
    std::vector<Decision> decisions;
    std::erase_if(m_waiting, [&](const Waiter &waiter) {
        if (waiter.deadline > now && m_share.tryAcquire(1, now)) {
            decisions.push_back({ waiter.id, Verdict::Admitted });
            return true;
        }
        if (waiter.until > now)
            return false;
        decisions.push_back({ waiter.id, Verdict::Refused });
        return true;
    });
    return decisions;
}

void RateLimiter::cancel(RequestId id)
{
    std::erase_if(m_waiting, [&](const Waiter &waiter) { return waiter.id == id; });
}

} // namespace basildeck
