#pragma once

#include "basildeck/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace basildeck {

// A home of a request's object that may get it, in the order of preference.
struct CandidateLoad
{
    Duration wait{ 0 }; // in the queue for it at this VM
    Duration run{ 0 };  // expected there and back; zero if nothing is known
};

// Which home a request goes to.
struct TargetDecision
{
    // Index of the home; none: the request is refused.
    std::optional<std::size_t> candidate;
    // When a refused request has a chance.
    Duration retryAfter{ 0 };
};

// Places a request at the first home that answers within the objective, waiting in its queue if
// need be. Where none does, a free home still serves it late. A request that would have to wait and
// be late is refused at once: in its place another one is served within its objective.
TargetDecision chooseCandidate(const std::vector<CandidateLoad> &homes, Duration untilObjective,
                               Duration untilDeadline);

} // namespace basildeck
