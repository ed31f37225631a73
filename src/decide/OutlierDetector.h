#pragma once

#include "basildeck/Time.h"

#include <algorithm>

namespace basildeck {

// Sets one target aside while its runs keep failing.
class OutlierDetector
{
public:
    // Failures in a row after which a target is set aside.
    static constexpr int ejectionThreshold = 3;
    static constexpr Duration baseEjectionTime = milliseconds(1000);
    static constexpr Duration maxEjectionTime = seconds(8);

    // The target could not be reached, or ended a run without a proper answer. True if it is set
    // aside from now on.
    bool recordFailure(Time now)
    {
        ++m_failuresInRow;
        if (m_failuresInRow < ejectionThreshold || isEjected(now))
            return false;
        m_ejectedUntil = now + m_nextEjection;
        m_nextEjection = std::min(maxEjectionTime, m_nextEjection * 2);
        return true;
    }

    void recordSuccess()
    {
        m_failuresInRow = 0;
        m_nextEjection = baseEjectionTime;
    }

    bool isEjected(Time now) const { return now < m_ejectedUntil; }

private:
    int m_failuresInRow = 0;
    Duration m_nextEjection = baseEjectionTime;
    Time m_ejectedUntil{};
};

} // namespace basildeck
