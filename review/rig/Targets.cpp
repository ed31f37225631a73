// Cases in which targets are at fault or cold.

#include "Callers.h"

#include <algorithm>

namespace rig {

namespace {

constexpr Millis stableWindow(4000);

// Describes the requests that one caller sent behind each other on a channel.
struct Burst
{
    std::vector<std::string> ids;
    std::vector<bool> isAnswered;
};

} // namespace

// Targets break off some answers. The answers are long and the requests are pipelined.
int playCutPipelined(const Options &options)
{
    constexpr int callersPerVm = 3;
    constexpr int depth = 4;
    constexpr std::size_t bodyBytes = 90UL * 1024;
    // garble: share of the targets, share of their answers, length. Half of the targets have the
    // fault.
    constexpr double garbledShare = 0.05;
    constexpr Millis garbleTime(6000);
    std::atomic<bool> isGarbling = false;
    std::mutex mutex;
    std::set<std::string> cut;
    Deployment *self = nullptr;
    Deployment deployment(
            options,
            [&](Target &target, const Message &request) {
                const std::string id = request.field("request-id");
                self->ledger.ran(id, target.plan().id);
                Answer answer;
                answer.work = Millis(100 + static_cast<int>(std::hash<std::string>()(id) % 200));
                answer.body = std::string(bodyBytes, 'c');
                // Half of the targets do so, those with even numbers.
                const bool isFaulty = (target.plan().id.back() - '0') % 2 == 0;
                const bool isCut
                        = isFaulty && isGarbling
                          && std::hash<std::string>()(id + "cut") % 1000 < garbledShare * 1000;
                if (isCut) {
                    answer.cutAt = bodyBytes - 1000;
                    const std::lock_guard lock(mutex);
                    cut.insert(id);
                }
                return answer;
            },
            3, 0, 10);
    self = &deployment;
    if (!deployment.start(nlohmann::json::array(
                { route("/table/", "download", "gauge-archive", 3000, 1000) })))
        return exitNotRun;
    std::atomic<bool> isEnding = false;
    std::vector<Burst> bursts;
    Threads threads;
    for (const auto &vm : deployment.vms) {
        for (int number = 0; number < callersPerVm; ++number)
            threads.add([&, number] {
                std::unique_ptr<Channel> channel;
                for (int i = 0; !isEnding; ++i) {
                    const std::string object = std::to_string(number) + "-" + std::to_string(i);
                    const auto head = [&](const std::string &id, int j) {
                        return requestHead("GET", "/table/" + object + "-" + std::to_string(j), id,
                                           3000);
                    };
                    if (!channel) {
                        channel = Channel::connect(vm->plan().ip, Vm::frontPort);
                        const std::string id = requestId();
                        // From its answer on, the channel is a kept one.
                        if (!channel || !channel->send(head(id, 0))
                            || !channel->read(true, Clock::now() + Millis(3000))) {
                            channel.reset();
                            std::this_thread::sleep_for(Millis(100));
                            continue;
                        }
                    }
                    Burst burst;
                    std::string bytes;
                    for (int j = 1; j <= depth; ++j) {
                        burst.ids.push_back(requestId());
                        burst.isAnswered.push_back(false);
                        bytes += head(burst.ids.back(), j);
                        deployment.record.line("sent request=" + burst.ids.back() + " vm="
                                               + vm->plan().name + " place=" + std::to_string(j));
                    }
                    channel->send(bytes);
                    const Time until = Clock::now() + Millis(3500);
                    for (int j = 0; j < depth; ++j) {
                        const auto answer = channel->read(true, until);
                        deployment.record.line(
                                "ended request=" + burst.ids[static_cast<std::size_t>(j)]
                                + " result="
                                + (answer ? std::to_string(answer->status())
                                          : std::string("channel-ended-without-whole-answer")));
                        if (!answer) {
                            channel.reset();
                            break;
                        }
                        burst.isAnswered[static_cast<std::size_t>(j)] = true;
                    }
                    const std::lock_guard lock(mutex);
                    bursts.push_back(std::move(burst));
                }
            });
    }
    for (int i = 0; i < 3; ++i) {
        std::this_thread::sleep_for(std::chrono::seconds(4));
        isGarbling = options.hasTrouble;
        deployment.record.line(options.hasTrouble ? "garble begins" : "no garble");
        std::this_thread::sleep_for(garbleTime);
        isGarbling = false;
        deployment.record.line("garble ends");
    }
    isEnding = true;
    threads.join();
    // Counted is only what could still be answered: requests that ran at a target without fault,
    // were sent before the one whose answer was cut off, and got no answer although no byte of the
    // cut answer was due yet.
    std::size_t lost = 0;
    std::size_t behind = 0;
    for (const Burst &burst : bursts) {
        const auto cutAt = std::find_if(burst.ids.begin(), burst.ids.end(),
                                        [&](const auto &id) { return cut.contains(id); });
        for (std::size_t j = 0; j < burst.ids.size(); ++j) {
            if (burst.isAnswered[j] || cut.contains(burst.ids[j]))
                continue;
            const auto runs = deployment.ledger.runsOf(burst.ids[j]);
            const bool isSound = runs.size() == 1 && (runs.front().back() - '0') % 2 == 1;
            const bool isAhead = static_cast<std::ptrdiff_t>(j) < cutAt - burst.ids.begin();
            if (!isSound || cutAt == burst.ids.end())
                continue;
            ++(isAhead ? lost : behind);
            deployment.record.line(std::string(isAhead ? "LOST" : "lost behind the cut answer")
                                   + " request=" + burst.ids[j] + " target=" + runs.front()
                                   + " place=" + std::to_string(j + 1)
                                   + " cut_place=" + std::to_string(cutAt - burst.ids.begin() + 1));
        }
    }
    deployment.record.line("verdict requests=" + std::to_string(bursts.size() * depth)
                           + " cut_answers=" + std::to_string(cut.size())
                           + " lost=" + std::to_string(lost)
                           + " allowed=3 lost_behind_cut=" + std::to_string(behind));
    return lost > 3 ? exitBroken : exitHeld;
}

// A request crashes each target that begins to run it, and is sent again and again.
int playPoison(const Options &options)
{
    constexpr int attempts = 18;
    constexpr Millis interval(4000);
    constexpr Millis downTime(2000);
    std::mutex mutex;
    std::vector<Time> crashes;
    std::vector<Time> arrivals;
    Deployment *self = nullptr;
    Deployment deployment(
            options,
            [&](Target &target, const Message &request) {
                self->ledger.ran(request.field("request-id"), target.plan().id);
                Answer answer;
                answer.work = Millis(312);
                answer.body = std::string(5000, 'p');
                if (request.target() == "/custody/poison") {
                    const std::lock_guard lock(mutex);
                    arrivals.push_back(Clock::now());
                    answer.crashes = options.hasTrouble;
                    if (answer.crashes)
                        crashes.push_back(Clock::now());
                }
                return answer;
            },
            3, 8, 0);
    self = &deployment;
    if (!deployment.start(
                nlohmann::json::array({ route("/level/", "safe", "gauge-desk", 1200, 300),
                                        route("/custody/", "unsafe", "gauge-desk", 1500, 300) })))
        return exitNotRun;
    std::atomic<bool> isEnding = false;
    Threads threads;
    // Targets that crashed are back after some seconds.
    threads.add([&] {
        std::map<Target *, Time> downSince;
        while (!isEnding) {
            for (const auto &target : deployment.targets) {
                if (target->isUp())
                    continue;
                const Time since = downSince.try_emplace(target.get(), Clock::now()).first->second;
                if (Clock::now() - since < downTime)
                    continue;
                downSince.erase(target.get());
                target->start();
                deployment.record.line("target is back target=" + target->plan().id);
            }
            std::this_thread::sleep_for(Millis(20));
        }
    });
    // The usual traffic of a quiet hour.
    for (const auto &vm : deployment.vms) {
        threads.add([&] {
            Caller caller(deployment.record, deployment.ledger, *vm);
            for (int i = 0; !isEnding; ++i) {
                caller.call("GET", "/level/" + std::to_string(i), 1200);
                for (int j = 0; j < 50 && !isEnding; ++j)
                    std::this_thread::sleep_for(Millis(100));
            }
        });
    }
    const std::string body(4000, 'p');
    for (int i = 0; i < attempts; ++i) {
        Caller caller(deployment.record, deployment.ledger,
                      *deployment.vms[static_cast<std::size_t>(i) % deployment.vms.size()]);
        caller.call("POST", "/custody/poison", 1500, &body);
        std::this_thread::sleep_for(interval);
    }
    isEnding = true;
    threads.join();
    std::size_t late = 0;
    if (crashes.size() >= 3)
        late = static_cast<std::size_t>(
                std::count_if(arrivals.begin(), arrivals.end(),
                              [&](Time at) { return at > crashes[2] + stableWindow; }));
    deployment.record.line("verdict crashes=" + std::to_string(crashes.size())
                           + " reached_targets_after_third_crash=" + std::to_string(late)
                           + " allowed=3");
    return late > 3 ? exitBroken : exitHeld;
}

// All entry VMs restart while targets are cold.
int playColdRestart(const Options &options)
{
    constexpr int callersPerVm = 10;
    constexpr double coldPerSecond = 11;
    constexpr double coldOvershoot = 1.5;
    constexpr double coldSlack = 5;
    constexpr double crashFactor = 2.5;
    constexpr Millis coldTime(3000);
    Deployment *self = nullptr;
    Deployment deployment(
            options,
            [&](Target &target, const Message &request) {
                self->ledger.ran(request.field("request-id"), target.plan().id);
                Answer answer;
                answer.work = Millis(target.isCold() ? 120 : 60);
                // It tolerates cold_per_s, and crashes at a rate well above that.
                answer.crashes = target.isCold() && target.coldRate() > crashFactor * coldPerSecond;
                answer.body = std::string(1500, 'x');
                return answer;
            },
            3, 4, 0);
    self = &deployment;
    if (!deployment.start(
                nlohmann::json::array({ route("/level/", "safe", "gauge-desk", 1200, 300) })))
        return exitNotRun;
    std::atomic<bool> isEnding = false;
    Threads threads;
    for (const auto &vm : deployment.vms) {
        for (int i = 0; i < callersPerVm; ++i)
            threads.add([&, i] {
                Caller caller(deployment.record, deployment.ledger, *vm);
                for (int j = 0; !isEnding; ++j) {
                    caller.call("GET", "/level/" + std::to_string(i) + "-" + std::to_string(j),
                                1200);
                    std::this_thread::sleep_for(Millis(30));
                }
            });
    }
    for (int round = 0; round < 3; ++round) {
        std::this_thread::sleep_for(std::chrono::seconds(6));
        // The targets of a zone come back cold.
        std::vector<Target *> zone;
        for (const auto &target : deployment.targets) {
            if (target->plan().zone == "khomas-b")
                zone.push_back(target.get());
        }
        for (Target *target : zone)
            target->crash(); // it may be down since it crashed while cold
        std::this_thread::sleep_for(Millis(4000));
        if (options.hasTrouble) {
            for (const auto &vm : deployment.vms)
                vm->kill();
        }
        std::this_thread::sleep_for(Millis(100));
        for (Target *target : zone)
            target->start(coldTime);
        deployment.record.line("targets are back, cold");
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    isEnding = true;
    threads.join();
    const double bound = coldPerSecond * coldOvershoot + coldSlack;
    std::size_t worst = 0;
    for (const auto &target : deployment.targets) {
        const std::vector<Time> arrivals = target->coldArrivals();
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            std::size_t count = 0;
            for (std::size_t j = i;
                 j < arrivals.size() && arrivals[j] - arrivals[i] < std::chrono::seconds(1); ++j)
                ++count;
            worst = std::max(worst, count);
        }
        deployment.record.line("target=" + target->plan().id
                               + " cold_arrivals=" + std::to_string(arrivals.size()));
    }
    deployment.record.line("verdict most_in_one_second=" + std::to_string(worst)
                           + " bound=" + std::to_string(bound));
    return static_cast<double>(worst) > bound ? exitBroken : exitHeld;
}

} // namespace rig
