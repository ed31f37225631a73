#include "OverloadSimulation.h"

#include "core/Hash.h"
#include "decide/TargetChoice.h"

#include <algorithm>
#include <list>
#include <memory>
#include <set>

namespace basildeck::test {

namespace {

struct Job
{
    std::uint64_t id = 0;
    const LoadKind *kind = nullptr;
    std::uint64_t object = 0;
    std::size_t vm = 0;
    Time came;
    Time sent;
};

struct ModelTarget
{
    std::string id;
    std::string region;
    int running = 0;
    std::deque<Job> waiting;
    std::list<std::uint64_t> warm; // most recent first
    double factor = 1;
};

struct ModelVm
{
    std::string region;
    Placement placement;
    std::map<std::string, std::unique_ptr<ConcurrencyLimiter>> gates;
    std::map<std::uint64_t, Job> waiting;
};

class Model
{
public:
    Model(const LoadPattern &pattern, PlacementPolicy policy)
        : m_pattern(pattern)
        , m_policy(policy)
        , m_random(pattern.seed)
    {
        makeTargets();
        makeVms();
        for (const LoadKind &kind : m_pattern.kinds)
            arrive(kind);
        const Duration third = m_pattern.length / 3;
        at(m_start + third, [this] { setSlow(m_pattern.slowFactor); });
        at(m_start + 2 * third, [this] { setSlow(1); });
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
        return m_result;
    }

private:
    void at(Time when, std::function<void()> action) { m_events.emplace(when, std::move(action)); }

    void makeTargets()
    {
        for (const auto &[region, count] : m_pattern.targetsByRegion) {
            for (int i = 0; i < count; ++i) {
                ModelTarget target;
                target.id = region + "-target-" + std::to_string(i);
                target.region = region;
                m_targets.emplace(target.id, target);
            }
        }
    }

    void makeVms()
    {
        std::vector<PlacementTarget> placed;
        for (const auto &[id, target] : m_targets)
            placed.push_back({ id, target.region, m_pattern.slots });
        for (const auto &[region, count] : m_pattern.vmsByRegion) {
            for (int i = 0; i < count; ++i) {
                ModelVm vm;
                vm.region = region;
                vm.placement.setTargets(placed);
                for (const auto &[id, target] : m_targets)
                    vm.gates[id] = std::make_unique<ConcurrencyLimiter>(m_pattern.slots);
                m_vms.push_back(std::move(vm));
            }
        }
    }

    void setSlow(double factor)
    {
        auto count = static_cast<std::size_t>(m_pattern.slowShare
                                              * static_cast<double>(m_targets.size()));
        for (auto &[id, target] : m_targets) {
            if (count == 0)
                return;
            --count;
            target.factor = factor;
        }
    }

    void arrive(const LoadKind &kind)
    {
        const std::chrono::duration<double> gap(
                std::exponential_distribution<double>(kind.perSecond)(m_random));
        const Time when = m_now + std::chrono::duration_cast<Duration>(gap);
        if (when > m_start + m_pattern.length)
            return;
        at(when, [this, &kind] {
            Job job;
            job.id = ++m_lastId;
            job.kind = &kind;
            job.vm = std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random);
            const int number = std::uniform_int_distribution<int>(0, kind.objects - 1)(m_random);
            job.object = stableHash(kind.name, std::to_string(number));
            job.came = m_now;
            ++m_result.asked[kind.name];
            m_result.worthOwed += kind.worth;
            dispatch(job);
            arrive(kind);
        });
    }

    void dispatch(const Job &job)
    {
        m_policy == PlacementPolicy::Product ? dispatchByHome(job) : dispatchLeastLoaded(job);
    }

    void dispatchLeastLoaded(const Job &job)
    {
        ModelVm &vm = m_vms[job.vm];
        const auto best = std::min_element(
                vm.gates.begin(), vm.gates.end(), [&](const auto &a, const auto &b) {
                    return std::pair(a.second->inFlight(),
                                     stableHash(a.first, std::to_string(job.id)))
                           < std::pair(b.second->inFlight(),
                                       stableHash(b.first, std::to_string(job.id)));
                });
        send(job, best->first);
    }

    void dispatchByHome(const Job &job)
    {
        ModelVm &vm = m_vms[job.vm];
        const Placement::Candidates homes = vm.placement.candidates(job.object, vm.region, {}, 1);
        std::vector<std::string> ids;
        std::vector<CandidateLoad> loads;
        for (const auto *group : { &homes.preferred, &homes.alternate }) {
            if (group->empty())
                continue;
            ids.emplace_back(group->front());
            const ConcurrencyLimiter &gate = *vm.gates.at(ids.back());
            loads.push_back(
                    { gate.expectedWait(job.kind->priority), gate.expectedRun(job.kind->name) });
        }
        const TargetDecision decision
                = chooseCandidate(loads, job.kind->objective, job.kind->timeout);
        if (!decision.candidate) {
            ++m_result.refused[job.kind->name];
            return;
        }
        const std::string &id = ids[*decision.candidate];
        ConcurrencyLimiter &gate = *vm.gates.at(id);
        if (gate.hasCapacity()) {
            send(job, id);
            return;
        }
        vm.waiting[job.id] = job;
        gate.push({ job.id, job.kind->priority });
    }

    Duration distance(const ModelVm &vm, const ModelTarget &target) const
    {
        return vm.region == target.region ? Duration(milliseconds(1)) : m_pattern.regionDistance;
    }

    void send(Job job, const std::string &id)
    {
        ModelVm &vm = m_vms[job.vm];
        ModelTarget &target = m_targets.at(id);
        job.sent = m_now;
        vm.gates.at(id)->started();
        at(m_now + distance(vm, target), [this, job, &target] { reach(job, target); });
    }

    void reach(const Job &job, ModelTarget &target)
    {
        if (target.running < m_pattern.slots) {
            run(job, target);
            return;
        }
        if (static_cast<int>(target.waiting.size()) < m_pattern.queueAtTarget) {
            target.waiting.push_back(job);
            return;
        }
        at(m_now + distance(m_vms[job.vm], target), [this, job, &target] {
            ++m_result.refused[job.kind->name];
            m_vms[job.vm].gates.at(target.id)->shed();
            serveQueue(m_vms[job.vm], target.id);
        });
    }

    void run(const Job &job, ModelTarget &target)
    {
        ++target.running;
        const auto known = std::find(target.warm.begin(), target.warm.end(), job.object);
        const double part = known == target.warm.end() ? 1 : m_pattern.warmFactor;
        if (known != target.warm.end())
            target.warm.erase(known);
        target.warm.push_front(job.object);
        if (target.warm.size() > static_cast<std::size_t>(m_pattern.warmObjects))
            target.warm.pop_back();
        const double spread = std::normal_distribution<double>(1, 0.15)(m_random);
        const std::chrono::duration<double> took
                = job.kind->work * part * target.factor * std::clamp(spread, 0.5, 3.0);
        at(m_now + std::chrono::duration_cast<Duration>(took), [this, job, &target] {
            --target.running;
            if (!target.waiting.empty()) {
                const Job next = target.waiting.front();
                target.waiting.pop_front();
                run(next, target);
            }
            const LoadReport load{ target.running, static_cast<int>(target.waiting.size()),
                                   m_pattern.slots };
            at(m_now + distance(m_vms[job.vm], target),
               [this, job, &target, load] { answer(job, target.id, load); });
        });
    }

    void answer(const Job &job, const std::string &id, const LoadReport &load)
    {
        ModelVm &vm = m_vms[job.vm];
        vm.gates.at(id)->answered(job.kind->name, m_now - job.sent, load);
        if (m_now - job.came <= job.kind->objective) {
            ++m_result.inObjective[job.kind->name];
            m_result.worthInObjective += job.kind->worth;
        } else {
            ++m_result.late[job.kind->name];
        }
        serveQueue(vm, id);
    }

    void serveQueue(ModelVm &vm, const std::string &id)
    {
        while (const auto next = vm.gates.at(id)->pop()) {
            const Job job = vm.waiting.at(next->id);
            vm.waiting.erase(next->id);
            send(job, id);
        }
    }

    const LoadPattern &m_pattern;
    PlacementPolicy m_policy;
    std::mt19937_64 m_random;
    const Time m_start{};
    Time m_now{};
    std::multimap<Time, std::function<void()>> m_events;
    std::map<std::string, ModelTarget> m_targets;
    std::vector<ModelVm> m_vms;
    LoadResult m_result;
    std::uint64_t m_lastId = 0;
};

} // namespace

LoadResult simulateLoad(const LoadPattern &pattern, PlacementPolicy policy)
{
    return Model(pattern, policy).play();
}

} // namespace basildeck::test
