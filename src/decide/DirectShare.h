#pragma once

#include "basildeck/Time.h"

namespace basildeck {

// Paces the return to the targets after a partition from them. The share of the requests that are
// sent to targets directly grows evenly, so that the connections to the targets are not all opened
// at once.
class DirectShare
{
public:
    // Time from the end of the partition until all requests are sent directly.
    static constexpr Duration rampTime = seconds(2);

    // The partition has ended.
    void begin(Time now)
    {
        m_since = now;
        m_credit = 0;
        m_isRamping = true;
    }
    bool isComplete(Time now) const { return !m_isRamping || now - m_since >= rampTime; }
    // Returns whether the next request is sent directly.
    bool take(Time now)
    {
        if (isComplete(now))
            return true;
        m_credit += toSeconds(now - m_since) / toSeconds(rampTime);
        if (m_credit < 1)
            return false;
        m_credit -= 1;
        return true;
    }

private:
    Time m_since{};
    double m_credit = 0; // requests that may be sent directly
    bool m_isRamping = false;
};

} // namespace basildeck
