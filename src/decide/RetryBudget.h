#pragma once

#include <algorithm>

namespace basildeck {

// Limits this VM's retries to a fraction of its requests, first attempts only. Because every VM
// observes the same fraction, the fleet does too, without any messages.
class RetryBudget
{
public:
    // The default for the number of retries that may be spent in one burst.
    static constexpr double defaultMaxBalance = 10;

    void setPercent(int percent) { m_retriesPerRequest = percent / 100.0; }
    // Sets the number of retries that may be spent in one burst.
    void setMaxBalance(double retries) { m_maxBalance = retries; }
    // Adds retries that may be spent before any request has arrived.
    void deposit(double retries) { m_balance = std::min(m_maxBalance, m_balance + retries); }
    void recordRequest() { m_balance = std::min(m_maxBalance, m_balance + m_retriesPerRequest); }
    bool hasRetry() const { return m_balance >= 1; }
    // Takes one retry. Returns false if there is none.
    bool tryWithdraw()
    {
        if (!hasRetry())
            return false;
        m_balance -= 1;
        return true;
    }
    // Takes one retry for a request that has not failed, if about half of the burst remains for
    // those that have.
    bool tryWithdrawSpare() { return m_balance >= (m_maxBalance + 1) / 2 && tryWithdraw(); }

private:
    double m_retriesPerRequest = 0;
    double m_maxBalance = defaultMaxBalance;
    double m_balance = 0;
};

} // namespace basildeck
