#pragma once

#include "basildeck/Time.h"

#include <algorithm>

namespace basildeck {

// A token bucket for the requests that this VM may send to one cold target. Its rate is an equal
// share of what the target can handle from all VMs together. It starts empty, so that VMs that
// discover the target at the same time do not all send a request at once.
class ColdTargetLimiter
{
public:
    static constexpr double maxTokens = 1;

    ColdTargetLimiter(double ratePerSecond, Time now)
        : m_rate(ratePerSecond)
        , m_updated(now)
    {}

    // Applies from now on; what has accrued so far stays.
    void setRate(double ratePerSecond, Time now)
    {
        accrue(now);
        m_rate = ratePerSecond;
    }

    bool tryAcquire(Time now)
    {
        accrue(now);
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    void accrue(Time now)
    {
        const double elapsed = std::max(0.0, toSeconds(now - m_updated));
        m_tokens = std::min(maxTokens, m_tokens + m_rate * elapsed);
        m_updated = std::max(m_updated, now);
    }

    double m_rate;
    double m_tokens = 0;
    Time m_updated;
};

} // namespace basildeck
