#pragma once

#include "basildeck/Time.h"

#include <algorithm>

namespace basildeck {

// Requests that this VM may send to one cold target, as its equal part of what the target bears
// from all VMs together. Starts without tokens, so that VMs that learn of the target at the same
// moment do not all send at once.
class ColdTargetLimiter
{
public:
    // Tokens that are kept at most.
    static constexpr double maxTokens = 1;

    ColdTargetLimiter(double ratePerSecond, Time now)
        : m_rate(ratePerSecond)
        , m_updated(now)
    {}

    bool tryAcquire(Time now)
    {
        m_tokens = std::min(maxTokens, m_tokens + m_rate * toSeconds(now - m_updated));
        m_updated = now;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    double m_rate;
    double m_tokens = 0;
    Time m_updated;
};

} // namespace basildeck
