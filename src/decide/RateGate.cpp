#include "decide/RateGate.h"

#include <algorithm>

namespace basildeck {

RateGate::Verdict RateGate::admit(RequestId id, Time now, Time deadline)
{
    m_share.noteDemand(1, now);
    if (m_waiting.empty() && m_share.take(1, now))
        return Verdict::Admitted;
    if (m_waiting.size() >= maxWaiting)
        return Verdict::Refused;
    m_waiting.push_back({ id, std::min(deadline, now + maxWait) });
    return Verdict::Waiting;
}

std::vector<RateGate::Decision> RateGate::poll(Time now)
{
    std::vector<Decision> decisions;
    while (!m_waiting.empty()) {
        const Waiter &first = m_waiting.front();
        if (first.until <= now)
            decisions.push_back({ first.id, Verdict::Refused });
        else if (m_share.take(1, now))
            decisions.push_back({ first.id, Verdict::Admitted });
        else
            break;
        m_waiting.pop_front();
    }
    // Deadlines differ, so that requests behind the first one may be over before it.
    std::erase_if(m_waiting, [&](const Waiter &waiter) {
        if (waiter.until > now)
            return false;
        decisions.push_back({ waiter.id, Verdict::Refused });
        return true;
    });
    return decisions;
}

void RateGate::forget(RequestId id)
{
    std::erase_if(m_waiting, [&](const Waiter &waiter) { return waiter.id == id; });
}

} // namespace basildeck
