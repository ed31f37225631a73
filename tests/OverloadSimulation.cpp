#include "OverloadSimulation.h"

#include "core/Hash.h"
#include "decide/OutlierDetector.h"
#include "decide/TargetReport.h"
#include "decide/placement/RunTimeEstimator.h"
#include "decide/placement/TargetChoice.h"

#include <algorithm>
#include <list>
#include <memory>
#include <set>

namespace basildeck::test {

namespace {

struct SimulatedRequest
{
    std::uint64_t id = 0;
    const LoadKind *kind = nullptr;
    std::uint64_t object = 0;
    std::size_t vm = 0;
    Time arrivedAt;
    Time sentAt;
};

struct SimulatedTarget
{
    std::string id;
    std::string region;
    int running = 0;
    std::deque<SimulatedRequest> waiting;
    std::list<std::uint64_t> warm; // most recent first
    double slowdown = 1;
};

struct SimulatedVm
{
    std::string region;
    Placement placement;
    std::map<std::string, std::unique_ptr<ConcurrencyLimiter>> limiters;
    RunTimeEstimator estimator;
    std::map<std::string, OutlierDetector> detectors;
    std::map<std::uint64_t, SimulatedRequest> waiting;
    std::set<std::uint64_t> running; // requests whose run is watched
};

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
        m_result.maxRegionShift = maxRegionShift();
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
            const int number = std::uniform_int_distribution<int>(0, kind.objects - 1)(m_random);
            request.object = stableHash(kind.name, std::to_string(number));
            request.arrivedAt = m_now;
            ++m_result.asked[kind.name];
            m_result.totalValue += kind.value;
            dispatch(request);
            scheduleArrival(kind);
        });
    }

    void dispatch(const SimulatedRequest &request)
    {
        m_policy == PlacementPolicy::UnderTest ? dispatchByPlacement(request)
                                               : dispatchLeastLoaded(request);
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
                = chooseCandidate(loads, request.kind->objective, request.kind->timeout);
        if (!decision.candidate) {
            ++m_result.refused[request.kind->name];
            return;
        }
        const std::string &id = ids[*decision.candidate];
        ConcurrencyLimiter &limiter = *vm.limiters.at(id);
        if (limiter.hasCapacity()) {
            send(request, id);
            return;
        }
        vm.waiting[request.id] = request;
        limiter.push({ request.id, request.kind->priority });
    }

    // The shares of a region's requests that ran in each region, by window.
    double maxRegionShift() const
    {
        double largest = 0;
        for (const auto &[caller, windows] : m_sentByWindow) {
            const std::map<std::string, int> *before = nullptr;
            for (const auto &[window, counts] : windows) {
                if (before != nullptr)
                    largest = std::max(largest, shareMoved(*before, counts));
                before = &counts;
            }
        }
        return largest;
    }

    static double shareMoved(const std::map<std::string, int> &before,
                             const std::map<std::string, int> &after)
    {
        const auto shareOf
                = [](const std::map<std::string, int> &counts, const std::string &region) {
                      double all = 0;
                      for (const auto &[other, count] : counts)
                          all += count;
                      const auto found = counts.find(region);
                      return found == counts.end() ? 0.0 : found->second / all;
                  };
        double moved = 0;
        for (const auto &[region, count] : after)
            moved += std::max(0.0, shareOf(after, region) - shareOf(before, region));
        return moved;
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

    // Finds a run that takes too long while it is going on.
    void watchRun(const SimulatedRequest &request, const std::string &id)
    {
        if (!m_pattern.sharesReports)
            return;
        SimulatedVm &vm = m_vms[request.vm];
        const Duration slow = vm.estimator.slowRun(request.kind->name, m_targets.at(id).region);
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
            ++m_result.refused[request.kind->name];
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
        const double spread = std::normal_distribution<double>(1, 0.15)(m_random);
        const std::chrono::duration<double> took
                = request.kind->work * part * target.slowdown * std::clamp(spread, 0.5, 3.0);
        at(m_now + std::chrono::duration_cast<Duration>(took), [this, request, &target] {
            --target.running;
            if (!target.waiting.empty()) {
                const SimulatedRequest next = target.waiting.front();
                target.waiting.pop_front();
                run(next, target);
            }
            const LoadReport load{ target.running, static_cast<int>(target.waiting.size()),
                                   m_pattern.slots };
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
        if (m_now - request.sentAt > vm.estimator.slowRun(request.kind->name, region))
            reportSlow(request.vm, id);
        vm.estimator.record(request.kind->name, region, m_now - request.sentAt);
        if (m_now - request.arrivedAt <= request.kind->objective) {
            ++m_result.inObjective[request.kind->name];
            m_result.valueInObjective += request.kind->value;
        } else {
            ++m_result.late[request.kind->name];
        }
        serveQueue(vm, id);
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
    std::map<std::string, SimulatedTarget> m_targets;
    std::vector<SimulatedVm> m_vms;
    LoadResult m_result;
    // Requests by the caller's region, window and region of the target.
    std::map<std::string, std::map<std::int64_t, std::map<std::string, int>>> m_sentByWindow;
    std::uint64_t m_lastId = 0;
};

} // namespace

LoadResult simulateLoad(const LoadPattern &pattern, PlacementPolicy policy)
{
    return Simulation(pattern, policy).play();
}

} // namespace basildeck::test
