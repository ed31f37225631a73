#include "decide/placement/TargetChoice.h"

#include <algorithm>

namespace basildeck {

namespace {

// Bounds of the retry delay of refused requests. A caller that retries before the lower bound finds
// the same queue.
constexpr Duration minRetryAfter = milliseconds(100);
constexpr Duration maxRetryAfter = seconds(2);

} // namespace

TargetDecision chooseCandidate(const std::vector<CandidateLoad> &candidates,
                               Duration untilObjective, Duration untilDeadline)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].wait + candidates[i].run <= untilObjective)
            return { i, Duration::zero() };
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].wait == Duration::zero() && candidates[i].run <= untilDeadline)
            return { i, Duration::zero() };
    }
    Duration shortestWait = maxRetryAfter;
    for (const CandidateLoad &candidate : candidates)
        shortestWait = std::min(shortestWait, candidate.wait);
    return { std::nullopt, std::clamp(shortestWait, minRetryAfter, maxRetryAfter) };
}

} // namespace basildeck
