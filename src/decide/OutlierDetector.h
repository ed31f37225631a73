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
    // Consecutive runs that were cancelled because they took unusually long, after which a target
    // is ejected. One says less than a failure: a target at which 3 in 100 runs are slow is sound.
    static constexpr int cancelledThreshold = 6;
    static constexpr Duration baseEjectionTime = milliseconds(1000);
    static constexpr Duration maxEjectionTime = seconds(8);

    // Records that the target could not be reached or ended a run without a valid response. Returns
    // true if this ejects the target.
    bool recordFailure(Time now)
    {
        ++m_consecutiveFailures;
        return m_consecutiveFailures >= ejectionThreshold && eject(now);
    }

    // Records that a run of the target was cancelled after it had taken unusually long, because
    // another target answered. Without this, a target that answers nothing would never be ejected.
    // Returns true if this ejects the target.
    bool recordCancelledRun(Time now)
    {
        ++m_consecutiveCancelled;
        return m_consecutiveCancelled >= cancelledThreshold && eject(now);
    }

    void recordSuccess()
    {
        m_consecutiveFailures = 0;
        m_consecutiveCancelled = 0;
        m_nextEjectionTime = baseEjectionTime;
    }

    // Ejects the target because a run of this or another VM found it unusable.
    void ejectFor(Duration duration, Time now)
    {
        m_ejectedUntil = std::max(m_ejectedUntil, now + duration);
    }

    bool isEjected(Time now) const { return now < m_ejectedUntil; }

private:
    // Returns false if the target is ejected already.
    bool eject(Time now)
    {
        if (isEjected(now))
            return false;
        m_ejectedUntil = now + m_nextEjectionTime;
        m_nextEjectionTime = std::min(maxEjectionTime, m_nextEjectionTime * 2);
        return true;
    }

    int m_consecutiveFailures = 0;
    int m_consecutiveCancelled = 0;
    Duration m_nextEjectionTime = baseEjectionTime;
    Time m_ejectedUntil{};
};

} // namespace basildeck
