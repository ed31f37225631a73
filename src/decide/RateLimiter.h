#pragma once

#include "basildeck/Time.h"
#include "decide/TokenBucketShare.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace basildeck {

// Admits the requests of one organisation within its rate. A request that finds no token waits a
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

    // The longest time that a request waits for a token.
    static constexpr Duration maxWait = milliseconds(500);
    static constexpr std::size_t maxWaiting = 512;

    RateLimiter(TokenBucketLimit limit, std::uint64_t nonceSeed, Time processStart)
        : m_share(limit, nonceSeed, processStart)
    {}

    // Decides on a new request, or queues it.
    Verdict admit(RequestId id, Time now, Time deadline);
    // Decides on waiting requests, oldest first.
    std::vector<Decision> poll(Time now);
    // Removes a waiting request whose caller has disconnected.
    void cancel(RequestId id);

    // Whether the organisation exceeds its rate, so that its requests wait for tokens.
    bool isOverRate() const { return !m_waiting.empty(); }
    double waiting() const { return static_cast<double>(m_waiting.size()); }
    TokenBucketShare &share() { return m_share; }

private:
    struct Waiter
    {
        RequestId id;
        Time until;    // refused at this time
        Time deadline; // of the caller
    };

    TokenBucketShare m_share;
    std::deque<Waiter> m_waiting;
};

} // namespace basildeck
