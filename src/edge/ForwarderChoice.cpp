// The part of Forwarder that finds the candidate targets of a request and chooses among them.

#include "edge/Forwarder.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

// Added to the priority of a request that can no longer meet its objective. More than the range of
// configured priorities.
constexpr int latePriorityOffset = 1'000'000;

std::string inMilliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

} // namespace

bool Forwarder::hasObject(const Request &request) const
{
    const std::string *cookies = request.incoming.head.fields.find("cookie");
    return request.route->affinity && cookies != nullptr
           && !cookieValue(*cookies, m_names.affinityCookie).empty();
}

std::vector<TargetState *> Forwarder::eligibleCandidates(Request &request, Time now)
{
    const bool byCompletion = isPlacedByCompletion(request);
    const bool isObject = hasObject(request);
    const std::size_t usablePerGroup
            = !byCompletion ? 1 : (isObject ? objectCandidates : noObjectCandidates);
    const Placement::Candidates groups
            = m_targets.placement(request.service)
                      .candidates(request.placementHash, m_settings.region, request.allowedRegions,
                                  maxCandidatesPerGroup - 1 + usablePerGroup
                                          + m_targets.limitedCount());
    request.homeTarget = isObject && !groups.preferred.empty()
                                 ? std::string(groups.preferred.front())
                                 : std::string();
    std::vector<TargetState *> usable;
    std::vector<bool> isDisplaced; // whether the object is placed at another target of the group
    for (const auto *group : { &groups.preferred, &groups.alternate }) {
        // One candidate of the other group is enough: it is in another region, or in a region whose
        // targets are for other requests.
        const std::size_t wanted = group == &groups.preferred ? usablePerGroup : 1;
        std::size_t found = 0;
        for (const std::string_view id : *group) {
            TargetState *target = m_targets.find(id);
            const bool tried
                    = std::find(request.triedTargets.begin(), request.triedTargets.end(), id)
                      != request.triedTargets.end();
            if (target == nullptr || tried || !m_targets.isEligible(*target, now)
                || !m_targets.isWithinLimit(*target, now))
                continue;
            usable.push_back(target);
            isDisplaced.push_back(id != group->front());
            if (++found == wanted)
                break;
        }
    }
    if (!byCompletion && usable.size() == 2
        && isAlternateFirst(isDisplaced.front(), isDisplaced.back()))
        std::swap(usable.front(), usable.back());
    return usable;
}

ObjectPlace Forwarder::objectPlace(const Request &request, const TargetState &target)
{
    if (request.homeTarget.empty())
        return ObjectPlace::NoObject;
    return request.homeTarget == target.registration.id ? ObjectPlace::Placed
                                                        : ObjectPlace::Elsewhere;
}

Duration Forwarder::expectedRun(const Request &request, const TargetState &target) const
{
    const std::string &kind = request.route->name;
    const Time now = m_loop.now();
    if (isPlacedByCompletion(request)) {
        const Duration typical = m_placedRunTimes.typicalRun(kind, objectPlace(request, target),
                                                             target.region, now);
        if (typical > Duration::zero())
            return std::chrono::duration_cast<Duration>(typical * target.load.factor(now));
    }
    return target.concurrencyLimiter.expectedRun(
            kind, m_runTimeEstimator.typicalRun(kind, target.region), now);
}

std::vector<CandidateLoad>
Forwarder::expectedLoads(const Request &request, const std::vector<TargetState *> &candidates) const
{
    const bool byCompletion = isPlacedByCompletion(request);
    const auto isLocal
            = [&](const TargetState *target) { return target->region == m_settings.region; };
    std::vector<CandidateLoad> loads;
    loads.reserve(candidates.size());
    for (const TargetState *candidate : candidates) {
        const ConcurrencyLimiter &limiter = candidate->concurrencyLimiter;
        CandidateLoad load{ expectedWait(request, *candidate), expectedRun(request, *candidate) };
        if (byCompletion) {
            const ObjectPlace place = objectPlace(request, *candidate);
            load.lateWait = usesPermits(*candidate)
                                    ? load.wait
                                    : limiter.expectedWait(request.priority + latePriorityOffset);
            // Without an object, the order of the groups divides the load by their slots.
            load.isElsewhere = place == ObjectPlace::Elsewhere
                               || (place == ObjectPlace::NoObject
                                   && isLocal(candidate) != isLocal(candidates.front()));
        }
        loads.push_back(load);
    }
    return loads;
}

TargetDecision Forwarder::chooseTarget(Request &request, const std::vector<CandidateLoad> &loads)
{
    const Time now = m_loop.now();
    const Duration untilObjective = endOfService(request.softDeadline) - now;
    const Duration untilDeadline = endOfService(request.deadline) - now;
    if (!isPlacedByCompletion(request)) {
        request.isLate = false;
        return chooseCandidate(loads, untilObjective, untilDeadline);
    }
    TargetDecision decision = chooseByCompletion(loads, untilObjective, untilDeadline);
    request.isLate = decision.isLate;
    if (!decision.candidate) {
        m_placementCounters.countRefused();
        decision.retryAfter = spreadRetryAfter(decision.retryAfter, request.placementHash);
    } else if (decision.isLate) {
        m_placementCounters.countLate();
    }
    return decision;
}

int Forwarder::queuePriority(const Request &request)
{
    return request.isLate ? request.priority + latePriorityOffset : request.priority;
}

bool Forwarder::isTooLate(const Request &request, Time end) const
{
    return isPlacedByCompletion(request) && end > request.deadline;
}

void Forwarder::recordRunTime(const Request &request, TargetState &target, Duration run)
{
    const Time now = m_loop.now();
    const std::string &kind = request.route->name;
    const auto load = reportedLoad(request.response.head, m_names);
    target.concurrencyLimiter.answered(kind, run, load, now);
    m_runTimeEstimator.record(kind, target.region, run);
    if (!load)
        return;
    if (!isPlacedByCompletion(request))
        return;
    const ObjectPlace place = objectPlace(request, target);
    m_placementCounters.countRun(place);
    const Duration typical = m_placedRunTimes.typicalRun(kind, place, target.region, now);
    const Duration usual = std::chrono::duration_cast<Duration>(run / TargetLoad::factorOf(*load));
    if (typical > Duration::zero())
        target.load.recordRun(toSeconds(usual) / toSeconds(typical), now);
    m_placedRunTimes.record(kind, place, target.region, usual, now);
}

std::string Forwarder::describeCandidates(const Request &request,
                                          const std::vector<TargetState *> &candidates,
                                          const std::vector<CandidateLoad> &loads) const
{
    const bool byCompletion = isPlacedByCompletion(request);
    std::string text = "homes=";
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const TargetState &target = *candidates[i];
        const ConcurrencyLimiter &limiter = target.concurrencyLimiter;
        text += (i > 0 ? "," : "") + target.registration.id
                + ":in_flight=" + std::to_string(limiter.inFlight()) + "/"
                + std::to_string(static_cast<int>(limiter.limit()))
                + ":waiting=" + std::to_string(limiter.waitingCount()) + ":wait_ms="
                + inMilliseconds(loads[i].wait) + ":run_ms=" + inMilliseconds(loads[i].run);
        if (byCompletion)
            text += ":object=" + std::string(objectPlaceName(objectPlace(request, target)))
                    + ":late_wait_ms=" + inMilliseconds(loads[i].lateWait) + ":speed="
                    + std::to_string(target.load.speedPercent(m_loop.now()).value_or(0));
    }
    return text;
}

std::string Forwarder::placementFields(const Request &request)
{
    const TargetState *target = m_targets.find(request.targetId);
    if (target == nullptr || !request.peer.empty() || !isPlacedByCompletion(request))
        return {};
    return " object=" + std::string(objectPlaceName(objectPlace(request, *target)))
           + " speed=" + std::to_string(target->load.speedPercent(m_loop.now()).value_or(0))
           + " late=" + (request.isLate ? "1" : "0");
}

} // namespace basildeck
