#pragma once

#include <algorithm>

namespace basildeck {

// Keeps retries of this VM below a fraction of its fresh requests. As every VM keeps to the
// fraction, so does the fleet, without messages.
class RetryBudget
{
public:
    // Retries that may be spent at once after a calm time.
    static constexpr double maxSaved = 10;

    void setPercent(int percent) { m_perRequest = percent / 100.0; }
    void noteFresh() { m_saved = std::min(maxSaved, m_saved + m_perRequest); }
    bool take()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_perRequest = 0;
    double m_saved = 0;
};

} // namespace basildeck
