#pragma once

#include "basildeck/Time.h"

#include <algorithm>

namespace basildeck {

// Ejects a target while its runs keep failing.
class OutlierDetector
{
public:
    // Consecutive failures after which a target is ejected.
    static constexpr int ejectionThreshold = 3;
    static constexpr Duration baseEjectionTime = milliseconds(1000);
    static constexpr Duration maxEjectionTime = seconds(8);

    // Records that the target could not be reached or ended a run without a valid response. Returns
    // true if this ejects the target.
    bool recordFailure(Time now)
    {
        ++m_consecutiveFailures;
        if (m_consecutiveFailures < ejectionThreshold || isEjected(now))
            return false;
        m_ejectedUntil = now + m_nextEjectionTime;
        m_nextEjectionTime = std::min(maxEjectionTime, m_nextEjectionTime * 2);
        return true;
    }

    void recordSuccess()
    {
        m_consecutiveFailures = 0;
        m_nextEjectionTime = baseEjectionTime;
    }

    // Ejects the target because a run of this or another VM found it unusable.
    void ejectFor(Duration duration, Time now)
    {
        m_ejectedUntil = std::max(m_ejectedUntil, now + duration);
    }

    bool isEjected(Time now) const { return now < m_ejectedUntil; }

private:
    int m_consecutiveFailures = 0;
    Duration m_nextEjectionTime = baseEjectionTime;
    Time m_ejectedUntil{};
};

} // namespace basildeck
