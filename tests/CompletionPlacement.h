#pragma once

#include "decide/ConcurrencyLimiter.h"
#include "decide/placement/PlacedRunTimes.h"
#include "decide/placement/Placement.h"
#include "decide/placement/TargetChoice.h"
#include "decide/placement/TargetLoad.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace basildeck::test {

// What Forwarder knows and does at one VM to place requests by expected completion.
class CompletionPlacement
{
public:
    static constexpr int latePriorityOffset = 1'000'000;

    struct Candidate
    {
        std::string id;
        std::string region;
        ObjectPlace place = ObjectPlace::NoObject;
        bool isOtherGroup = false;
    };

    static std::vector<Candidate>
    candidates(const Placement::Candidates &groups, const std::string &home,
               const std::function<bool(std::string_view)> &isUsable,
               const std::function<std::string(std::string_view)> &regionOf)
    {
        std::vector<Candidate> result;
        for (const auto *group : { &groups.preferred, &groups.alternate }) {
            const bool isOther = group == &groups.alternate;
            std::size_t wanted = isOther ? 1 : (home.empty() ? 4 : 2);
            for (const std::string_view id : *group) {
                if (wanted == 0 || !isUsable(id))
                    continue;
                --wanted;
                const ObjectPlace place = home.empty() ? ObjectPlace::NoObject
                                                       : (id == home ? ObjectPlace::Placed
                                                                     : ObjectPlace::Elsewhere);
                result.push_back({ std::string(id), regionOf(id), place, isOther });
            }
        }
        return result;
    }

    CandidateLoad load(const std::string &kind, const Candidate &candidate,
                       const ConcurrencyLimiter &limiter, int priority, Time now) const
    {
        const auto typical = [&](ObjectPlace place) {
            return m_runTimes.typicalRun(kind, place, candidate.region, now);
        };
        Duration run = typical(candidate.place);
        const auto known = m_loads.find(candidate.id);
        if (known != m_loads.end())
            run = std::chrono::duration_cast<Duration>(run * known->second.factor(now));
        CandidateLoad load{ limiter.expectedWait(priority), run };
        load.lateWait = limiter.expectedWait(priority + latePriorityOffset);
        load.isElsewhere = candidate.place == ObjectPlace::Elsewhere
                           || (candidate.place == ObjectPlace::NoObject && candidate.isOtherGroup);
        return load;
    }

    Duration slowRun(const std::string &kind, const std::string &id, const std::string &region,
                     Time now) const
    {
        const Duration usual = m_runTimes.slowRun(kind, region, now);
        const auto known = m_loads.find(id);
        if (known == m_loads.end() || usual == Duration::max())
            return usual;
        return std::chrono::duration_cast<Duration>(usual
                                                    * std::max(1.0, known->second.factor(now)));
    }

    void record(const std::string &kind, const Candidate &candidate, const LoadReport &report,
                Duration run, Time now)
    {
        TargetLoad &load = m_loads[candidate.id];
        load.record(report, now);
        const Duration usual
                = std::chrono::duration_cast<Duration>(run / TargetLoad::factorOf(report));
        const Duration typical
                = m_runTimes.typicalRun(kind, candidate.place, candidate.region, now);
        if (typical > Duration::zero())
            load.recordRun(toSeconds(usual) / toSeconds(typical), now);
        m_runTimes.record(kind, candidate.place, candidate.region, usual, now);
    }

private:
    PlacedRunTimes m_runTimes;
    std::map<std::string, TargetLoad> m_loads; // by target
};

} // namespace basildeck::test
