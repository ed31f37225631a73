#include "OverloadSimulation.h"

#include "OverloadFleet.h"
#include "core/Hash.h"
#include "decide/TargetReport.h"

#include <algorithm>
#include <memory>

namespace basildeck::test {

namespace {

class Simulation
{
public:
    Simulation(const LoadPattern &pattern, PlacementPolicy policy)
        : m_pattern(pattern)
        , m_policy(policy)
        , m_random(pattern.seed)
    {
        makeTargets();
        makeVms();
        for (const LoadKind &kind : m_pattern.kinds)
            scheduleArrival(kind);
        const Duration third = m_pattern.simulatedTime / 3;
        at(m_start + third, [this] { setSlowdown(m_pattern.slowdownFactor); });
        at(m_start + 2 * third, [this] { setSlowdown(1); });
        if (m_pattern.unevenShare > 0)
            changeUnevenTargets();
    }

    LoadResult play()
    {
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto action = event->second;
            m_events.erase(event);
            action();
        }
        m_result.maxRegionShift = maxRegionShift(m_sentByWindow);
        return m_result;
    }

private:
    void at(Time when, std::function<void()> action) { m_events.emplace(when, std::move(action)); }

    void makeTargets()
    {
        for (const auto &[region, count] : m_pattern.targetsByRegion) {
            for (int i = 0; i < count; ++i) {
                SimulatedTarget target;
                target.id = region + "-target-" + std::to_string(i);
                target.region = region;
                m_targets.emplace(target.id, target);
            }
        }
    }

    void makeVms()
    {
        std::vector<PlacementTarget> placementTargets;
        for (const auto &[id, target] : m_targets)
            placementTargets.push_back({ id, target.region, m_pattern.slots });
        for (const auto &[region, count] : m_pattern.vmsByRegion) {
            for (int i = 0; i < count; ++i) {
                SimulatedVm vm;
                vm.region = region;
                vm.placement.setTargets(placementTargets);
                for (const auto &[id, target] : m_targets)
                    vm.limiters[id] = std::make_unique<ConcurrencyLimiter>(m_pattern.slots);
                m_vms.push_back(std::move(vm));
            }
        }
    }

    void setSlowdown(double slowdown)
    {
        auto count = static_cast<std::size_t>(m_pattern.slowTargetShare
                                              * static_cast<double>(m_targets.size()));
        for (auto &[id, target] : m_targets) {
            if (count == 0)
                return;
            --count;
            target.slowdown = slowdown;
        }
    }

    void changeUnevenTargets()
    {
        for (auto &[id, target] : m_targets)
            target.uneven = std::bernoulli_distribution(m_pattern.unevenShare)(m_random)
                                    ? m_pattern.unevenFactor
                                    : 1;
        if (m_now < m_start + m_pattern.simulatedTime)
            at(m_now + m_pattern.unevenPeriod, [this] { changeUnevenTargets(); });
    }

    void scheduleArrival(const LoadKind &kind)
    {
        const std::chrono::duration<double> gap(
                std::exponential_distribution<double>(kind.perSecond)(m_random));
        const Time when = m_now + std::chrono::duration_cast<Duration>(gap);
        if (when > m_start + m_pattern.simulatedTime)
            return;
        at(when, [this, &kind] {
            SimulatedRequest request;
            request.id = ++m_lastId;
            request.kind = &kind;
            request.vm = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
            request.hasObject = kind.objects > 0;
            const std::string number
                    = request.hasObject ? std::to_string(
                              std::uniform_int_distribution<int>(0, kind.objects - 1)(m_random))
                                        : std::to_string(request.id);
            request.object = stableHash(kind.name, number);
            request.arrivedAt = m_now;
            request.isCounted = m_now >= m_start + m_pattern.warmUp;
            if (request.isCounted) {
                ++m_result.asked[kind.name];
                m_result.totalValue += kind.value;
            }
            dispatch(request);
            scheduleArrival(kind);
        });
    }

    void dispatch(const SimulatedRequest &request)
    {
        switch (m_policy) {
        case PlacementPolicy::UnderTest:
            dispatchByPlacement(request);
            break;
        case PlacementPolicy::LeastLoaded:
            dispatchLeastLoaded(request);
            break;
        case PlacementPolicy::ByCompletion:
            dispatchByCompletion(request);
            break;
        }
    }

    void dispatchByCompletion(SimulatedRequest request)
    {
        SimulatedVm &vm = m_vms[request.vm];
        const Placement::Candidates groups
                = vm.placement.candidates(request.object, vm.region, {}, 6);
        const auto isUsable = [&](std::string_view id) {
            return !vm.detectors[std::string(id)].isEjected(m_now);
        };
        const auto regionOf
                = [&](std::string_view id) { return m_targets.find(id)->second.region; };
        request.home = request.hasObject ? std::string(groups.preferred.front()) : std::string();
        const auto candidates = vm.completion.candidates(groups, request.home, isUsable, regionOf);
        std::vector<CandidateLoad> loads;
        for (const CompletionPlacement::Candidate &candidate : candidates)
            loads.push_back(vm.completion.load(request.kind->name, candidate,
                                               *vm.limiters.at(candidate.id),
                                               request.kind->priority, m_now));
        decide(request, candidates,
               chooseByCompletion(loads, untilObjective(request), untilDeadline(request)));
    }

    void decide(const SimulatedRequest &request,
                const std::vector<CompletionPlacement::Candidate> &candidates,
                const TargetDecision &decision)
    {
        if (!decision.candidate) {
            countRefused(request);
            return;
        }
        const int late = decision.isLate ? CompletionPlacement::latePriorityOffset : 0;
        sendOrQueue(request, candidates[*decision.candidate].id, late, decision.maxWait);
    }

    void sendOrQueue(const SimulatedRequest &request, const std::string &id, int late,
                     Duration maxWait)
    {
        SimulatedVm &vm = m_vms[request.vm];
        ConcurrencyLimiter &limiter = *vm.limiters.at(id);
        if (limiter.hasCapacity()) {
            send(request, id);
            return;
        }
        vm.waiting[request.id] = request;
        limiter.push({ request.id, request.kind->priority + late });
        if (m_pattern.hasQueueTimers)
            at(m_now + maxWait, [this, request, id] {
                SimulatedVm &vm = m_vms[request.vm];
                if (!vm.limiters.at(id)->cancel(request.id))
                    return;
                vm.waiting.erase(request.id);
                dispatch(request);
            });
    }

    Duration untilObjective(const SimulatedRequest &request) const
    {
        return request.arrivedAt + request.kind->objective - m_now;
    }

    Duration untilDeadline(const SimulatedRequest &request) const
    {
        return request.arrivedAt + request.kind->timeout - m_now;
    }

    void countRefused(const SimulatedRequest &request)
    {
        if (request.isCounted)
            ++m_result.refused[request.kind->name];
    }

    void dispatchLeastLoaded(const SimulatedRequest &request)
    {
        SimulatedVm &vm = m_vms[request.vm];
        const auto best = std::min_element(
                vm.limiters.begin(), vm.limiters.end(), [&](const auto &a, const auto &b) {
                    return std::pair(a.second->inFlight(),
                                     stableHash(a.first, std::to_string(request.id)))
                           < std::pair(b.second->inFlight(),
                                       stableHash(b.first, std::to_string(request.id)));
                });
        send(request, best->first);
    }

    void dispatchByPlacement(const SimulatedRequest &request)
    {
        SimulatedVm &vm = m_vms[request.vm];
        const Placement::Candidates candidates
                = vm.placement.candidates(request.object, vm.region, {}, 3);
        std::vector<std::string> ids;
        std::vector<bool> isDisplaced;
        std::vector<CandidateLoad> loads;
        for (const auto *group : { &candidates.preferred, &candidates.alternate }) {
            const auto usable
                    = std::find_if(group->begin(), group->end(), [&](std::string_view target) {
                          return !vm.detectors[std::string(target)].isEjected(m_now);
                      });
            if (usable == group->end())
                continue;
            ids.emplace_back(*usable);
            isDisplaced.push_back(usable != group->begin());
            const ConcurrencyLimiter &limiter = *vm.limiters.at(ids.back());
            const Duration typical
                    = vm.estimator.typicalRun(request.kind->name, m_targets.at(ids.back()).region);
            loads.push_back({ limiter.expectedWait(request.kind->priority),
                              limiter.expectedRun(request.kind->name, typical, m_now) });
        }
        if (ids.size() == 2 && isAlternateFirst(isDisplaced.front(), isDisplaced.back())) {
            std::swap(ids.front(), ids.back());
            std::swap(loads.front(), loads.back());
        }
        const TargetDecision decision
                = chooseCandidate(loads, untilObjective(request), untilDeadline(request));
        if (!decision.candidate)
            countRefused(request);
        else
            sendOrQueue(request, ids[*decision.candidate], 0, decision.maxWait);
    }

    Duration networkDelay(const SimulatedVm &vm, const SimulatedTarget &target) const
    {
        return vm.region == target.region ? Duration(milliseconds(1)) : m_pattern.interRegionDelay;
    }

    void send(SimulatedRequest request, const std::string &id)
    {
        SimulatedVm &vm = m_vms[request.vm];
        SimulatedTarget &target = m_targets.at(id);
        request.sentAt = m_now;
        watchRun(request, id);
        ++m_sentByWindow[vm.region][(m_now - m_start) / m_pattern.shiftWindow][target.region];
        vm.limiters.at(id)->started();
        at(m_now + networkDelay(vm, target),
           [this, request, &target] { onArrivalAtTarget(request, target); });
    }

    Duration slowRun(const SimulatedVm &vm, const std::string &kind, const std::string &id) const
    {
        const std::string &region = m_targets.at(id).region;
        return m_policy == PlacementPolicy::ByCompletion
                       ? vm.completion.slowRun(kind, id, region, m_now)
                       : vm.estimator.slowRun(kind, region);
    }

    // Finds a run that takes too long while it is going on.
    void watchRun(const SimulatedRequest &request, const std::string &id)
    {
        if (!m_pattern.sharesReports)
            return;
        SimulatedVm &vm = m_vms[request.vm];
        const Duration slow = slowRun(vm, request.kind->name, id);
        if (slow == Duration::max())
            return;
        vm.running.insert(request.id);
        at(m_now + slow + m_pattern.reportDelay, [this, request, id] {
            if (m_vms[request.vm].running.contains(request.id))
                reportSlow(request.vm, id);
        });
    }

    void reportSlow(std::size_t from, const std::string &id)
    {
        if (!m_pattern.sharesReports || m_vms.size() < minVmsReportingTargets
            || m_vms[from].detectors[id].isEjected(m_now))
            return;
        const Duration length = ejectionTime(TargetTrouble::Slow);
        m_vms[from].detectors[id].ejectFor(length, m_now);
        at(m_now + m_pattern.reportDelay, [this, id, length] {
            for (SimulatedVm &vm : m_vms)
                vm.detectors[id].ejectFor(length, m_now);
        });
    }

    void onArrivalAtTarget(const SimulatedRequest &request, SimulatedTarget &target)
    {
        if (target.running < m_pattern.slots) {
            run(request, target);
            return;
        }
        if (static_cast<int>(target.waiting.size()) < m_pattern.targetQueueLimit) {
            target.waiting.push_back(request);
            return;
        }
        at(m_now + networkDelay(m_vms[request.vm], target), [this, request, &target] {
            countRefused(request);
            m_result.rejected += request.isCounted ? 1 : 0;
            m_vms[request.vm].limiters.at(target.id)->shed();
            serveQueue(m_vms[request.vm], target.id);
        });
    }

    void run(const SimulatedRequest &request, SimulatedTarget &target)
    {
        ++target.running;
        const auto known = std::find(target.warm.begin(), target.warm.end(), request.object);
        const double part = known == target.warm.end() ? 1 : m_pattern.warmFactor;
        if (known != target.warm.end())
            target.warm.erase(known);
        target.warm.push_front(request.object);
        if (target.warm.size() > static_cast<std::size_t>(m_pattern.warmObjectLimit))
            target.warm.pop_back();
        if (request.isCounted) {
            ++m_result.runs;
            m_result.coldRuns += part == 1 ? 1 : 0;
        }
        const double spread = std::normal_distribution<double>(1, 0.15)(m_random);
        const std::chrono::duration<double> took = request.kind->work * part * target.slowdown
                                                   * target.uneven * std::clamp(spread, 0.5, 3.0);
        if (request.isCounted)
            m_result.slotTime[target.id] += took.count();
        at(m_now + std::chrono::duration_cast<Duration>(took), [this, request, &target] {
            --target.running;
            if (!target.waiting.empty()) {
                const SimulatedRequest next = target.waiting.front();
                target.waiting.pop_front();
                run(next, target);
            }
            LoadReport load{ target.running, static_cast<int>(target.waiting.size()),
                             m_pattern.slots };
            if (m_pattern.unevenShare > 0)
                load.speedPercent = static_cast<int>(100 * target.uneven);
            at(m_now + networkDelay(m_vms[request.vm], target),
               [this, request, &target, load] { onResponse(request, target.id, load); });
        });
    }

    void onResponse(const SimulatedRequest &request, const std::string &id, const LoadReport &load)
    {
        SimulatedVm &vm = m_vms[request.vm];
        vm.running.erase(request.id);
        vm.limiters.at(id)->answered(request.kind->name, m_now - request.sentAt, load, m_now);
        const std::string &region = m_targets.at(id).region;
        if (m_now - request.sentAt > slowRun(vm, request.kind->name, id))
            reportSlow(request.vm, id);
        vm.estimator.record(request.kind->name, region, m_now - request.sentAt);
        vm.completion.record(request.kind->name, { id, region, placeOf(request, id) }, load,
                             m_now - request.sentAt, m_now);
        if (!request.isCounted) {
            serveQueue(vm, id);
            return;
        }
        if (m_now - request.arrivedAt <= request.kind->objective) {
            ++m_result.inObjective[request.kind->name];
            m_result.valueInObjective += request.kind->value;
        } else {
            ++m_result.late[request.kind->name];
        }
        serveQueue(vm, id);
    }

    static ObjectPlace placeOf(const SimulatedRequest &request, const std::string &id)
    {
        if (!request.hasObject)
            return ObjectPlace::NoObject;
        return request.home == id ? ObjectPlace::Placed : ObjectPlace::Elsewhere;
    }

    void serveQueue(SimulatedVm &vm, const std::string &id)
    {
        while (const auto next = vm.limiters.at(id)->pop()) {
            const SimulatedRequest request = vm.waiting.at(next->id);
            vm.waiting.erase(next->id);
            send(request, id);
        }
    }

    const LoadPattern &m_pattern;
    PlacementPolicy m_policy;
    std::mt19937_64 m_random;
    const Time m_start{};
    Time m_now{};
    std::multimap<Time, std::function<void()>> m_events;
    std::map<std::string, SimulatedTarget, std::less<>> m_targets;
    std::vector<SimulatedVm> m_vms;
    LoadResult m_result;
    SentByWindow m_sentByWindow;
    std::uint64_t m_lastId = 0;
};

} // namespace

LoadResult simulateLoad(const LoadPattern &pattern, PlacementPolicy policy)
{
    return Simulation(pattern, policy).play();
}

} // namespace basildeck::test
