#include "decide/placement/TargetChoice.h"

#include <algorithm>

namespace basildeck {

namespace {

// Bounds of the retry delay of refused requests. A caller that retries before the lower bound finds
// the same queue.
constexpr Duration minRetryAfter = milliseconds(100);
constexpr Duration maxRetryAfter = seconds(2);
// Retry delays are spread over this fraction of their length.
constexpr double retryAfterSpread = 0.5;
// A late request may wait for this fraction of its run time. Longer waits of late requests took
// slots from requests that could still meet their objective.
constexpr double maxLateWait = 0.5;

// Which candidates are considered, and whether the request may be late.
struct ChoicePass
{
    bool isLate = false;
    bool isElsewhere = false;
};

// Returns the candidate that completes earliest, of those that complete within the limit.
std::optional<std::size_t> findEarliest(const std::vector<CandidateLoad> &candidates,
                                        const ChoicePass &pass, Duration limit)
{
    std::optional<std::size_t> earliest;
    Duration best = limit;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const CandidateLoad &candidate = candidates[i];
        const Duration wait
                = pass.isLate ? std::max(candidate.wait, candidate.lateWait) : candidate.wait;
        const Duration completion = wait + candidate.run;
        const bool waitsTooLong
                = pass.isLate && toSeconds(wait) > maxLateWait * toSeconds(candidate.run);
        if (candidate.isElsewhere != pass.isElsewhere || waitsTooLong || completion > best
            || (earliest && completion == best))
            continue;
        earliest = i;
        best = completion;
    }
    return earliest;
}

} // namespace

TargetDecision chooseCandidate(const std::vector<CandidateLoad> &candidates,
                               Duration untilObjective, Duration untilDeadline)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].wait + candidates[i].run <= untilObjective)
            return { i, Duration::zero(), untilObjective - candidates[i].run };
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

TargetDecision chooseByCompletion(const std::vector<CandidateLoad> &candidates,
                                  Duration untilObjective, Duration untilDeadline)
{
    const bool isElsewhereOnly
            = std::all_of(candidates.begin(), candidates.end(),
                          [](const CandidateLoad &candidate) { return candidate.isElsewhere; });
    for (const ChoicePass &pass : { ChoicePass{ false, false }, ChoicePass{ false, true },
                                    ChoicePass{ true, isElsewhereOnly } }) {
        const Duration limit
                = pass.isLate ? untilDeadline : std::min(untilObjective, untilDeadline);
        const auto chosen = findEarliest(candidates, pass, limit);
        if (chosen)
            return { chosen, Duration::zero(), limit - candidates[*chosen].run, pass.isLate };
    }
    Duration shortestWait = maxRetryAfter;
    for (const CandidateLoad &candidate : candidates)
        shortestWait = std::min(shortestWait, candidate.wait);
    return { std::nullopt, std::clamp(shortestWait, minRetryAfter, maxRetryAfter) };
}

Duration spreadRetryAfter(Duration retryAfter, std::uint64_t hash)
{
    const double position = static_cast<double>(hash >> 11) * 0x1.0p-53;
    return std::chrono::duration_cast<Duration>(retryAfter * (1 + retryAfterSpread * position));
}

} // namespace basildeck
