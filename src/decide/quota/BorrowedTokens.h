#pragma once

#include "basildeck/Time.h"

namespace basildeck {

// Quota tokens that a VM borrowed for requests that wait for them. Unused ones expire: tokens kept
// at every VM of a large fleet would add up to a burst that the quota does not allow.
class BorrowedTokens
{
public:
    static constexpr Duration lifetime = milliseconds(300);

    void add(double tokens, Time now)
    {
        m_tokens = available(now) + tokens;
        m_expiresAt = now + lifetime;
    }
    double available(Time now) const { return now < m_expiresAt ? m_tokens : 0; }
    bool tryAcquire(Time now)
    {
        if (available(now) < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_tokens = 0;
    Time m_expiresAt{};
};

} // namespace basildeck
