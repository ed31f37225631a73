#include "decide/TargetChoice.h"

#include <algorithm>

namespace basildeck {

namespace {

// Bounds of the time after which a refused caller is told to come back. Below the first it would
// meet the same queue.
constexpr Duration shortestRetryAfter = milliseconds(100);
constexpr Duration longestRetryAfter = seconds(2);

} // namespace

TargetDecision chooseCandidate(const std::vector<CandidateLoad> &homes, Duration untilObjective,
                               Duration untilDeadline)
{
    for (std::size_t i = 0; i < homes.size(); ++i) {
        if (homes[i].wait + homes[i].run <= untilObjective)
            return { i, Duration::zero() };
    }
    for (std::size_t i = 0; i < homes.size(); ++i) {
        if (homes[i].wait == Duration::zero() && homes[i].run <= untilDeadline)
            return { i, Duration::zero() };
    }
    Duration shortestWait = longestRetryAfter;
    for (const CandidateLoad &home : homes)
        shortestWait = std::min(shortestWait, home.wait);
    return { std::nullopt, std::clamp(shortestWait, shortestRetryAfter, longestRetryAfter) };
}

} // namespace basildeck
