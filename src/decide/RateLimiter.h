#pragma once

#include "basildeck/Time.h"
#include "decide/TokenBucketShare.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace basildeck {

// Admits requests of one organisation by its budget. A request for which no token is here waits a
// short time for tokens that are being borrowed.
class RateLimiter
{
public:
    using RequestId = std::uint64_t;

    enum class Verdict { Admitted, Waiting, Refused };

    struct Decision
    {
        RequestId id;
        Verdict verdict;
    };

    // How long a request waits for tokens at most.
    static constexpr Duration maxWait = milliseconds(500);
    static constexpr std::size_t maxWaiting = 512;

    RateLimiter(TokenBucketLimit limit, std::uint64_t nonceSeed, Time processStart)
        : m_share(limit, nonceSeed, processStart)
    {}

    // Decides on a new request.
    Verdict admit(RequestId id, Time now, Time deadline);
    // Decides on waiting requests, oldest first.
    std::vector<Decision> poll(Time now);
    // Forgets a waiting request whose caller has left.
    void cancel(RequestId id);

    // The organisation asks for more than its rate: its requests wait for tokens.
    bool isOverRate() const { return !m_waiting.empty(); }
    double waiting() const { return static_cast<double>(m_waiting.size()); }
    TokenBucketShare &share() { return m_share; }

private:
    struct Waiter
    {
        RequestId id;
        Time until;    // refused then
        Time deadline; // of no use to its caller then
    };

    TokenBucketShare m_share;
    std::deque<Waiter> m_waiting;
};

} // namespace basildeck
