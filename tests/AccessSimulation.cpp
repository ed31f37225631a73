#include "AccessSimulation.h"

#include <algorithm>
#include <deque>
#include <set>

namespace basildeck::test {

namespace {

constexpr int slots = 9;
constexpr std::size_t queuePlaces = 27;
constexpr Duration simulatedTime = seconds(60);
constexpr Duration oneWay = std::chrono::microseconds(3400);
constexpr Duration objective = milliseconds(1800);
constexpr Duration timeout = seconds(8);
constexpr Duration usualRun = milliseconds(720);
constexpr Duration expectedRun = milliseconds(850);
constexpr Duration detectionTime = milliseconds(1500); // of a VM that died
constexpr double lossRate = 0.02;

struct Request
{
    std::uint64_t id = 0;
    std::string target;
    int priority = 0;
    std::string organisation;
    std::size_t vm = 0;
    bool isRetry = false;
    bool hasEnded = false;
    std::uint64_t permit = 0;
    Time startBy;
    Time sentAt;
};

struct Vm
{
    std::string name;
    bool isDead = false;
    bool usesPermits = true;
    std::unique_ptr<AccessClient> client;
    AccessCoordinator coordinator;
    std::map<std::string, ConcurrencyLimiter> limiters;
};

struct Target
{
    int running = 0;
    std::deque<std::uint64_t> waiting;
};

class Simulation
{
public:
    explicit Simulation(const AccessLoad &load)
        : m_load(load)
        , m_random(load.seed)
    {
        for (int i = 0; i < load.targets; ++i)
            m_targets["target-" + std::to_string(i)];
        for (int i = 0; i < load.vms; ++i) {
            Vm vm;
            vm.name = "vm-" + std::to_string(1000 + i);
            vm.client = std::make_unique<AccessClient>(vm.name, 0);
            vm.usesPermits = load.usesPermits
                             && !(load.failure == AccessFailure::EarlierBuild && i % 4 == 0);
            for (const auto &[id, target] : m_targets)
                vm.limiters.emplace(id, ConcurrencyLimiter(slots));
            m_vms.push_back(std::move(vm));
        }
        updateSelection();
        m_result.capacity = load.targets * slots * toSeconds(simulatedTime) / toSeconds(meanRun());
        scheduleArrival();
        at(m_now + milliseconds(10), [this] { tick(); });
        if (load.failure == AccessFailure::CoordinatorDies)
            at(m_start + simulatedTime / 3,
               [this] { kill(indexOf(m_selection.coordinatorOf("target-0"))); });
        // A VM that coordinates nothing dies while it holds permits of many requests.
        if (load.failure == AccessFailure::HolderDies)
            at(m_start + simulatedTime / 3, [this] { killHolder(); });
    }

    AccessResult play()
    {
        while (!m_events.empty()) {
            const auto event = m_events.begin();
            m_now = event->first;
            const auto action = std::move(event->second);
            m_events.erase(event);
            action();
        }
        for (const auto &[id, request] : m_requests)
            m_result.open += request.hasEnded || m_vms[request.vm].isDead ? 0 : 1;
        for (const Vm &vm : m_vms) {
            m_result.permitsLeft += vm.isDead ? 0 : vm.coordinator.heldCount();
            m_result.unanswered += vm.client->counters().unanswered;
        }
        return m_result;
    }

private:
    void at(Time when, std::function<void()> action) { m_events.emplace(when, std::move(action)); }
    bool isLastThird() const { return m_now > m_start + simulatedTime * 2 / 3; }
    double random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    // 3 in 100 runs take seven times as long.
    static Duration meanRun() { return usualRun * 118 / 100; }

    std::size_t indexOf(const std::string &vm) const
    {
        return static_cast<std::size_t>(
                std::find_if(m_vms.begin(), m_vms.end(),
                             [&](const Vm &other) { return other.name == vm; })
                - m_vms.begin());
    }

    void updateSelection()
    {
        std::vector<std::string> coordinators;
        std::set<std::string> reachable;
        for (const Vm &vm : m_vms) {
            if (vm.isDead)
                continue;
            reachable.insert(vm.name);
            if (vm.usesPermits)
                coordinators.push_back(vm.name);
        }
        m_selection.setVms(coordinators);
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            if (!m_vms[i].isDead)
                deliver(i, m_vms[i].coordinator.setReachable(reachable, m_now));
        }
    }

    void kill(std::size_t vm)
    {
        m_vms[vm].isDead = true;
        at(m_now + detectionTime, [this] { updateSelection(); });
    }

    void killHolder()
    {
        std::map<std::size_t, int> held;
        for (const auto &[id, request] : m_requests)
            held[request.vm] += !request.hasEnded && request.permit != 0 ? 1 : 0;
        for (const auto &[id, target] : m_targets)
            held.erase(indexOf(m_selection.coordinatorOf(id)));
        const auto most = std::max_element(held.begin(), held.end(),
                                           [](auto a, auto b) { return a.second < b.second; });
        kill(most->first);
    }

    void scheduleArrival()
    {
        const double rate = m_load.demand * m_load.targets * slots / toSeconds(meanRun());
        const std::chrono::duration<double> gap(
                std::exponential_distribution<double>(rate)(m_random));
        const Time when = m_now + std::chrono::duration_cast<Duration>(gap);
        if (when > m_start + simulatedTime)
            return;
        at(when, [this] {
            Request request;
            request.target = "target-" + std::to_string(m_random() % m_targets.size());
            request.priority = random() < 0.4 ? 0 : 1;
            request.organisation = "organisation-" + std::to_string(m_random() % 20);
            ++m_result.arrived[request.priority];
            submit(request);
            scheduleArrival();
        });
    }

    void submit(Request request)
    {
        do {
            request.vm = m_random() % m_vms.size();
        } while (m_vms[request.vm].isDead);
        request.id = ++m_lastId;
        request.startBy = m_now + objective - expectedRun;
        m_requests[request.id] = request;
        dispatch(m_requests[request.id], false);
    }

    void dispatch(Request &request, bool isLocal)
    {
        Vm &vm = m_vms[request.vm];
        const std::string &coordinator = m_selection.coordinatorOf(request.target);
        if (!isLocal && vm.usesPermits && !vm.client->decidesLocally(coordinator, m_now)) {
            const PermitRequest message = vm.client->ask(
                    coordinator,
                    { request.id, request.target, request.priority, request.organisation,
                      request.startBy - m_now, expectedRun, timeout },
                    m_now);
            request.permit = message.number;
            post(request.vm, coordinator, message);
            return;
        }
        ConcurrencyLimiter &limiter = vm.limiters.at(request.target);
        if (limiter.hasCapacity())
            send(request);
        else if (m_now + limiter.expectedWait(request.priority) <= request.startBy)
            limiter.push({ request.id, request.priority });
        else
            refuse(request, limiter.expectedWait(request.priority));
    }

    // Delivers a message between two VMs.
    void post(std::size_t from, const std::string &to, const AccessMessage &message)
    {
        const std::size_t receiver = indexOf(to);
        const bool isDatagram = from != receiver;
        m_result.datagrams += isDatagram ? 1 : 0;
        if (isDatagram && m_load.failure == AccessFailure::MessagesLost && random() < lossRate)
            return;
        at(m_now + (isDatagram ? oneWay : Duration::zero()), [this, receiver, message] {
            if (!m_vms[receiver].isDead)
                std::visit([&](const auto &content) { handle(receiver, content); }, message);
        });
    }

    void deliver(std::size_t from, const PermitDecisions &decisions)
    {
        for (const PermitDecision &decision : decisions)
            post(from, decision.vm, decision.reply);
    }

    void handle(std::size_t vm, const PermitRequest &message)
    {
        deliver(vm, m_vms[vm].coordinator.handle(message, slots, m_now));
    }

    void handle(std::size_t vm, const PermitRelease &message)
    {
        deliver(vm, m_vms[vm].coordinator.handle(message, m_now));
    }

    void handle(std::size_t vm, const PermitReply &message)
    {
        const auto answer = m_vms[vm].client->handle(message, m_now);
        if (!answer)
            return;
        Request &request = m_requests.at(answer->request);
        if (answer->isGranted) {
            send(request);
        } else {
            request.permit = 0;
            refuse(request, answer->retryAfter);
        }
    }

    void refuse(Request &request, Duration retryAfter)
    {
        request.hasEnded = true;
        if (request.isRetry)
            return;
        Request retry = request;
        retry.isRetry = true;
        retry.hasEnded = false;
        at(m_now + retryAfter + 2 * oneWay, [this, retry] { submit(retry); });
    }

    void send(Request &request)
    {
        request.sentAt = m_now;
        ++m_result.sent;
        m_result.sentInLastThird += isLastThird() ? 1 : 0;
        m_vms[request.vm].limiters.at(request.target).started();
        at(m_now + oneWay, [this, id = request.id] { arrive(id); });
    }

    void arrive(std::uint64_t id)
    {
        Target &target = m_targets.at(m_requests.at(id).target);
        if (target.running < slots) {
            start(target, id);
        } else if (target.waiting.size() < queuePlaces) {
            target.waiting.push_back(id);
        } else {
            ++m_result.rejected;
            m_result.rejectedInLastThird += isLastThird() ? 1 : 0;
            at(m_now + oneWay, [this, id] { finish(id, std::nullopt); });
        }
        m_result.peak
                = std::max(m_result.peak, target.running + static_cast<int>(target.waiting.size()));
    }

    void start(Target &target, std::uint64_t id)
    {
        ++target.running;
        at(m_now + usualRun * (random() < 0.03 ? 7 : 1), [this, &target, id] {
            const LoadReport load{ target.running, static_cast<int>(target.waiting.size()), slots,
                                   100 };
            --target.running;
            if (!target.waiting.empty()) {
                const std::uint64_t next = target.waiting.front();
                target.waiting.pop_front();
                start(target, next);
            }
            at(m_now + oneWay, [this, id, load] { finish(id, load); });
        });
    }

    // A target has answered, or rejected the request if there is no load.
    void finish(std::uint64_t id, const std::optional<LoadReport> &load)
    {
        Request &request = m_requests.at(id);
        Vm &vm = m_vms[request.vm];
        if (vm.isDead)
            return;
        ConcurrencyLimiter &limiter = vm.limiters.at(request.target);
        if (request.permit != 0)
            limiter.limitToInFlight();
        if (load)
            limiter.answered("kind", m_now - request.sentAt, load, m_now);
        else
            limiter.shed();
        const auto release = vm.client->release(
                request.permit, load, load ? m_now - request.sentAt : Duration::zero(), !load);
        if (release)
            post(request.vm, release->coordinator, release->message);
        if (load) {
            request.hasEnded = true;
            ++m_result.served[request.priority];
            m_result.servedInLastThird += isLastThird() && m_now <= m_start + simulatedTime ? 1 : 0;
        } else {
            refuse(request, milliseconds(300));
        }
        while (const auto next = limiter.pop()) {
            Request &waiting = m_requests.at(next->id);
            if (m_now <= waiting.startBy)
                send(waiting);
            else
                refuse(waiting, milliseconds(300));
        }
    }

    void tick()
    {
        bool isActive = m_now < m_start + simulatedTime;
        for (std::size_t i = 0; i < m_vms.size(); ++i) {
            Vm &vm = m_vms[i];
            if (vm.isDead)
                continue;
            isActive = isActive || vm.client->isWaiting() || vm.coordinator.isActive();
            deliver(i, vm.coordinator.tick(m_now));
            for (const auto &unanswered : vm.client->takeUnanswered(m_now)) {
                post(i, unanswered.release.coordinator, unanswered.release.message);
                Request &request = m_requests.at(unanswered.request);
                request.permit = 0;
                dispatch(request, true);
            }
        }
        if (isActive)
            at(m_now + milliseconds(10), [this] { tick(); });
    }

    AccessLoad m_load;
    std::mt19937_64 m_random;
    Time m_start{ seconds(1000) };
    Time m_now{ m_start };
    std::multimap<Time, std::function<void()>> m_events;
    std::vector<Vm> m_vms;
    std::map<std::string, Target> m_targets;
    std::map<std::uint64_t, Request> m_requests;
    CoordinatorSelection m_selection;
    std::uint64_t m_lastId = 0;
    AccessResult m_result;
};

} // namespace

AccessResult playAccessLoad(const AccessLoad &load)
{
    return Simulation(load).play();
}

} // namespace basildeck::test
