#pragma once

#include "basildeck/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace basildeck {

// Expected delays of a request at a candidate target.
struct CandidateLoad
{
    Duration wait{ 0 }; // in this VM's queue for the target
    Duration run{ 0 };  // of the run including the network; zero if unknown
    // The placement assigns other requests to the target: the object of this one is not warm there,
    // or its slots are for requests of other regions.
    bool isElsewhere = false;
    // In the queue, behind all requests that can still meet their objective.
    Duration lateWait{ 0 };
};

// The outcome for one request.
struct TargetDecision
{
    // Index of the chosen candidate; empty if the request is refused.
    std::optional<std::size_t> candidate;
    // Time after which a refused request may succeed.
    Duration retryAfter{ 0 };
    // How long the request may wait for the chosen candidate.
    Duration maxWait{ 0 };
    // The request is not expected to meet its objective, only its deadline.
    bool isLate = false;
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

// Chooses among targets that report their speed, by the earliest expected completion:
// - among the targets where the request is placed, if one of them can respond within the objective;
// - else among the others that can. They cost the slot time of a cold run and a warm object;
// - else where the request is placed, if it can start soon and complete before its deadline. A late
//   request runs elsewhere only if there is no target left where it is placed.
// Refuses all other requests. The first of several equal candidates is chosen.
TargetDecision chooseByCompletion(const std::vector<CandidateLoad> &candidates,
                                  Duration untilObjective, Duration untilDeadline);

// Spreads the retry delays of requests that are refused together, by a hash of each request.
Duration spreadRetryAfter(Duration retryAfter, std::uint64_t hash);

} // namespace basildeck
