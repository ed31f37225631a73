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
    // Replaces the number of retries that may be spent at once.
    void setMaxBalance(double retries) { m_maxSaved = retries; }
    // Adds retries that may be spent before any request has come.
    void deposit(double retries) { m_saved = std::min(m_maxSaved, m_saved + retries); }
    void recordRequest() { m_saved = std::min(m_maxSaved, m_saved + m_perRequest); }
    bool tryWithdraw()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_perRequest = 0;
    double m_maxSaved = maxSaved;
    double m_saved = 0;
};

} // namespace basildeck
