#pragma once

#include "basildeck/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace basildeck {

// Expected delays of a request at a candidate target.
struct CandidateLoad
{
    Duration wait{ 0 }; // in this VM's queue for the target
    Duration run{ 0 };  // of the run including the network; zero if unknown
};

// The outcome for one request.
struct TargetDecision
{
    // Index of the chosen candidate; empty if the request is refused.
    std::optional<std::size_t> candidate;
    // Time after which a refused request may succeed.
    Duration retryAfter{ 0 };
};

// Whether the alternate candidate is tried first, because the target at which the object is placed
// in the preferred group is ejected. A target elsewhere that handles the object is faster than
// another one of the preferred group, which does not.
constexpr bool isAlternateFirst(bool isPreferredDisplaced, bool isAlternateDisplaced)
{
    return isPreferredDisplaced && !isAlternateDisplaced;
}

// Chooses the first candidate, in order of preference, that can respond within the objective,
// including the wait in its queue. If there is none, a candidate without a queue still serves the
// request late. A request that would have to wait and be late is refused at once, so that another
// one is served within its objective instead.
TargetDecision chooseCandidate(const std::vector<CandidateLoad> &candidates,
                               Duration untilObjective, Duration untilDeadline);

} // namespace basildeck
