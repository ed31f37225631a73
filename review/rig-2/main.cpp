#include "Rig.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <random>

// Each case exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

using namespace review;

namespace {

constexpr const char *key = "xd9dnn2ctnfzs989anu6";
constexpr const char *tenant = "huka270";
constexpr const char *service = "huvo11a";
constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

json route(const std::string &name, const std::string &prefix, const std::string &type,
           int timeoutMs, int attempts)
{
    return { { "name", name },
             { "host", "ficu95.example" },
             { "path_prefix", prefix },
             { "type", type },
             { "timeout", std::to_string(timeoutMs) + "ms" },
             { "aim", std::to_string(timeoutMs / 4) + "ms" },
             { "priority", 1 },
             { "service", service },
             { "attempts", attempts },
             { "public", false },
             { "affinity", false },
             { "allowed_regions", json::array() } };
}

json desiredState(double rate, double burst)
{
    return { { "version", "00000007" },
             { "routes",
               { route("r-read", "/read/", "safe", 20000, 2),
                 route("r-order", "/order/", "unsafe", 3000, 2) } },
             { "services",
               { { { "name", service },
                   { "health_path", "/healthz" },
                   { "max_connections", 390 },
                   { "protocol", "h1" },
                   { "tls", false },
                   { "cold_start", "3s" },
                   { "cold_per_s", 11.0 } } } },
             { "limits",
               { { "max_header_bytes", 16384 },
                 { "max_body_bytes", 67108864 },
                 { "header_timeout", "3000ms" },
                 { "idle_timeout", "15000ms" } } },
             { "tenants",
               { { { "name", tenant },
                   { "api_keys", { key } },
                   { "priority", 1 },
                   { "rate_per_s", rate },
                   { "burst", burst },
                   { "allowed_regions", json::array() } } } },
             { "base_version", "00000005" } };
}

int verdict(Record &record, bool isBroken, const std::string &text)
{
    record.line((isBroken ? "BROKEN " : "held ") + text);
    std::printf("%s %s\n", isBroken ? "broken:" : "held:", text.c_str());
    return isBroken ? broken : held;
}

int couldNotRun(Record &record, const std::string &text)
{
    record.line("could not run: " + text);
    std::printf("could not run: %s\n", text.c_str());
    return notRun;
}

using Targets = std::vector<std::unique_ptr<Target>>;

std::vector<Run> allRuns(const Targets &targets)
{
    std::vector<Run> runs;
    for (const auto &target : targets) {
        for (Run &run : target->runs())
            runs.push_back(std::move(run));
    }
    return runs;
}

// QUOTA: a tenant that has asked for little sends many times its usual.
int quota(Rig &rig)
{
    constexpr double rate = 1;
    constexpr double burst = 1;
    constexpr double window = 5;
    constexpr double bound = (rate * window + burst) * 1.1 + 20;
    constexpr double usualPerSecond = 1;
    constexpr double hotFactor = 8;
    constexpr double hotSeconds = 6.5;
    constexpr int machines = 12;
    rig.store().put("config", "main", desiredState(rate, burst));
    Targets targets;
    for (int i = 0; i < 16; ++i)
        targets.push_back(std::make_unique<Target>(
                rig.store(), rig.record(), "i-" + newId().substr(0, 8),
                rig.targetOptions(service, i % 2 == 0 ? "khomas-a" : "khomas-b", i + 1)));
    std::vector<VmPlace> places;
    for (int i = 0; i < machines; ++i)
        places.push_back({ i % 2 == 0 ? "khomas-a" : "khomas-b" });
    rig.startVms(places);
    std::mutex mutex;
    std::map<std::string, double> sentAt;
    std::vector<std::thread> clients;
    std::size_t next = 0;
    const auto send = [&] {
        const std::string id = newId();
        const Address front = rig.vms()[next++ % rig.vms().size()]->front();
        {
            const std::lock_guard lock(mutex);
            sentAt[id] = now();
        }
        rig.record().line("client sends " + id + " to " + front.text());
        clients.emplace_back([&rig, id, front] {
            const Answer answer = ask(front, "GET", "/read/level", id, key, 1200);
            rig.record().line("client has " + answer.text() + " for " + id);
        });
    };
    for (const double quietUntil = now() + 50; now() < quietUntil; sleepFor(10 / usualPerSecond))
        send();
    if (!isQuiet())
        rig.record().line("the tenant sends " + seconds(hotFactor) + " times its usual");
    const double perSecond = usualPerSecond * (isQuiet() ? 1 : hotFactor);
    const double hotAt = now();
    for (double at = hotAt; at < hotAt + hotSeconds; at += 1 / perSecond) {
        sleepUntil(at);
        send();
    }
    for (std::thread &client : clients)
        client.join();
    const std::vector<Run> runs = allRuns(targets);
    std::size_t most = 0;
    double mostFrom = 0;
    for (const auto &[id, from] : sentAt) {
        const auto count = static_cast<std::size_t>(
                std::count_if(runs.begin(), runs.end(), [&](const Run &run) {
                    return sentAt.at(run.request) >= from && run.arrivedAt <= from + window;
                }));
        if (count > most) {
            most = count;
            mostFrom = from;
        }
    }
    return verdict(rig.record(), static_cast<double>(most) > bound,
                   std::to_string(most) + " requests of the tenant ran in the 5 s from "
                           + seconds(mostFrom) + ", allowed are " + seconds(bound));
}

// BUDGET: a request that crashes each target that runs it comes again while there is little
// traffic.
int poison(Rig &rig)
{
    constexpr int targetCount = 24;
    constexpr int retries = 14;
    constexpr double retryInterval = 1.5;
    constexpr double backAfter = 5;
    constexpr double otherInterval = 2;
    constexpr double stableWindow = 4;
    constexpr std::size_t allowed = 3;
    rig.store().put("config", "main", desiredState(0, 0));
    const std::string path = "/order/crash";
    std::mutex mutex;
    Targets targets;
    std::vector<double> crashes;
    std::vector<double> reached;
    std::atomic<bool> ends = false;
    const auto addTarget = [&](int number) {
        auto target = std::make_unique<Target>(
                rig.store(), rig.record(), "i-" + newId().substr(0, 8),
                rig.targetOptions(service, number % 2 == 0 ? "khomas-a" : "khomas-b", number));
        target->onRun = [&](const Message &request) {
            if (request.target != path)
                return true;
            const std::lock_guard lock(mutex);
            reached.push_back(now());
            if (isQuiet())
                return true;
            crashes.push_back(now());
            return false;
        };
        return target;
    };
    for (int i = 0; i < targetCount; ++i)
        targets.push_back(addTarget(i + 1));
    rig.startVms({ { "khomas-a" }, { "khomas-b" }, { "khomas-a" } });
    sleepFor(stableWindow + 1); // the machines are in touch
    std::thread platform([&] {
        // A target that crashed is back after some seconds, with a new id; its old entry is removed
        // after three check-in intervals.
        struct Crashed
        {
            int number;
            double at;
        };
        std::map<std::string, double> seen;
        while (!ends) {
            for (int i = 0; i < targetCount; ++i) {
                auto &target = targets[static_cast<std::size_t>(i)];
                if (!target->isCrashed())
                    continue;
                const double at = seen.try_emplace(target->id(), now()).first->second;
                if (now() < at + backAfter)
                    continue;
                rig.store().remove("servers", target->id());
                const std::string id = target->id();
                target.reset();
                target = addTarget(i + 1);
                rig.record().line("target " + id + " is back as " + target->id());
            }
            sleepFor(0.05);
        }
    });
    std::thread others([&] {
        std::size_t next = 0;
        while (!ends) {
            const std::string id = newId();
            const Answer answer = ask(rig.vms()[next++ % rig.vms().size()]->front(), "GET",
                                      "/read/" + id, id, key, 2000);
            rig.record().line("another client has " + answer.text() + " for " + id);
            sleepFor(otherInterval);
        }
    });
    std::vector<double> sent;
    for (int i = 0; i < retries; ++i) {
        const std::string id = newId();
        const auto &vm = rig.vms()[static_cast<std::size_t>(i) % rig.vms().size()];
        rig.record().line("client sends " + id + " POST " + path + " to " + vm->name());
        const double begin = now();
        const Answer answer = ask(vm->front(), "POST", path, id, key, 1500, "the same body");
        rig.record().line("client has " + answer.text() + " for " + id);
        sleepUntil(begin + retryInterval);
    }
    ends = true;
    others.join();
    platform.join();
    const std::lock_guard lock(mutex);
    if (isQuiet())
        return verdict(rig.record(), false,
                       "no target crashed, " + std::to_string(reached.size()) + " runs");
    if (crashes.size() < 3)
        return verdict(rig.record(), false,
                       "only " + std::to_string(crashes.size()) + " targets crashed");
    const double from = crashes[2] + stableWindow;
    const auto late = static_cast<std::size_t>(
            std::count_if(reached.begin(), reached.end(), [&](double at) { return at > from; }));
    return verdict(rig.record(), late > allowed,
                   std::to_string(crashes.size()) + " targets crashed; " + std::to_string(late)
                           + " retries reached targets later than 4 s after the third crash, "
                             "allowed are 3");
}

// DRAIN: a report that a target sent before it began to leave is stored late.
int drain(Rig &rig)
{
    constexpr double requestsPerSecond = 100;
    constexpr double lateBy = 5.9;      // the store may carry out a lost call up to 6 s later
    constexpr double drainsAfter = 4.3; // the store was without impairment for stable_window
    constexpr double drainSeconds = 2.5;
    constexpr double exitsAfter = 3.4; // the target serves on for drain and a little longer
    constexpr double endAfter = 11;
    rig.store().put("config", "main", desiredState(0, 0));
    Targets targets;
    for (int i = 0; i < 6; ++i)
        targets.push_back(std::make_unique<Target>(
                rig.store(), rig.record(), "i-" + newId().substr(0, 8),
                rig.targetOptions(service, i % 2 == 0 ? "khomas-a" : "khomas-b", i + 1)));
    rig.startVms({ { "khomas-a" }, { "khomas-b" }, { "khomas-a" } });
    sleepFor(5); // the machines are in touch
    const double start = now();
    std::mutex mutex;
    int unanswered = 0;
    std::vector<std::thread> clients;
    std::thread sender([&] {
        std::size_t next = 0;
        for (double at = start; at < start + endAfter; at += 1 / requestsPerSecond) {
            sleepUntil(at);
            const Address front = rig.vms()[next++ % rig.vms().size()]->front();
            clients.emplace_back([&, front] {
                const std::string id = newId();
                const Answer answer = ask(front, "POST", "/order/" + id, id, key, 3000, "order");
                rig.record().line("client has " + answer.text() + " for " + id);
                const std::lock_guard lock(mutex);
                unanswered += answer.isWhole ? 0 : 1;
            });
        }
    });
    Target &leaving = *targets.front();
    sleepUntil(start + 1);
    const double lostAt = now();
    // Two calls of the target: the first gets no answer, and is carried out later.
    const json earlier = leaving.report();
    rig.record().line("the answer to a report of " + leaving.id() + " is lost, " + earlier.dump());
    sleepUntil(lostAt + drainsAfter);
    leaving.setDraining();
    const double acknowledgedAt = now();
    rig.record().line("the store has acknowledged that " + leaving.id() + " is draining");
    if (!isQuiet()) {
        sleepUntil(lostAt + lateBy);
        rig.store().put("servers", leaving.id(), earlier);
        rig.record().line("the store carries out the earlier report of " + leaving.id());
    }
    sleepUntil(acknowledgedAt + exitsAfter);
    rig.store().remove("servers", leaving.id());
    leaving.crash();
    rig.record().line("target " + leaving.id() + " has left");
    sender.join();
    for (std::thread &client : clients)
        client.join();
    int late = 0;
    double last = 0;
    for (const Run &run : leaving.runs()) {
        late += run.arrivedAt > acknowledgedAt + drainSeconds ? 1 : 0;
        last = std::max(last, run.arrivedAt - acknowledgedAt);
    }
    return verdict(rig.record(), late > 0,
                   std::to_string(late)
                           + " requests reached the target later than 2.5 s after the store "
                             "acknowledged that it is draining, the last after "
                           + seconds(last) + " s; orders without an answer of a target: "
                           + std::to_string(unanswered));
}

// LOST: clients with several requests on a channel read in bursts, with pauses of 3 s.
int lost(Rig &rig)
{
    constexpr int clientCount = 3;
    constexpr int requestsPerClient = 5;
    constexpr std::size_t answerBytes = 600'000;
    constexpr int receiveBuffer = 128 * 1024;
    constexpr std::size_t burstBytes = 600'000;
    constexpr double pause = 3;
    constexpr int deadlineMs = 20000;
    constexpr int allowed = 3;
    rig.store().put("config", "main", desiredState(0, 0));
    Targets targets;
    for (int i = 0; i < 6; ++i) {
        Target::Options options
                = rig.targetOptions(service, i % 2 == 0 ? "khomas-a" : "khomas-b", i + 1);
        options.answerBytes = answerBytes;
        targets.push_back(std::make_unique<Target>(rig.store(), rig.record(),
                                                   "i-" + newId().substr(0, 8), options));
    }
    rig.startVms({ { "khomas-a" }, { "khomas-b" }, { "khomas-a" } });
    sleepFor(5); // the machines are in touch
    std::atomic<int> lostCount = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            const auto &vm = rig.vms()[static_cast<std::size_t>(i) % rig.vms().size()];
            const auto channel = Channel::connect(vm->front(), 1, receiveBuffer);
            if (!channel)
                return;
            std::vector<std::string> ids;
            std::string requests;
            for (int k = 0; k < requestsPerClient; ++k) {
                ids.push_back(newId());
                requests += requestHead("GET", "/read/" + ids.back(), ids.back(), key, deadlineMs);
                rig.record().line("client sends " + ids.back() + " to " + vm->name());
            }
            channel->write(requests);
            std::string input;
            std::vector<char> buffer(32 * 1024);
            const double until = now() + deadlineMs / 1000.0;
            std::size_t burst = 0;
            while (now() < until) {
                const std::size_t count = channel->read(buffer.data(), buffer.size(), 1);
                if (count == 0 && !channel->isTimedOut())
                    break;
                input.append(buffer.data(), count);
                burst += count;
                if (!isQuiet() && burst >= burstBytes) {
                    burst = 0;
                    sleepFor(pause);
                }
                if (input.size() > answerBytes * requestsPerClient)
                    break;
            }
            rig.record().line("client " + std::to_string(i) + " has read "
                              + std::to_string(input.size()) + " bytes"
                              + (channel->isReset() ? ", its channel was reset"
                                 : now() < until    ? ""
                                                    : ", its time is over"));
            for (const std::string &id : ids) {
                const std::size_t at = input.find("3e1b." + id);
                const std::string body = Target::answerBody(id, answerBytes);
                const bool isWhole
                        = at != std::string::npos && input.find(body, at) != std::string::npos;
                rig.record().line("client has "
                                  + std::string(isWhole                   ? "a whole"
                                                : at != std::string::npos ? "a part of the"
                                                                          : "no")
                                  + " answer to " + id);
                if (at == std::string::npos && now() < until)
                    ++lostCount;
            }
        });
    }
    for (std::thread &client : clients)
        client.join();
    return verdict(rig.record(), lostCount > allowed,
                   std::to_string(lostCount) + " of "
                           + std::to_string(clientCount * requestsPerClient)
                           + " requests on kept channels have no byte of an answer, because the "
                             "machine closed the channel; allowed are 3");
}

// GONE: clients leave before their time budget while large uploads arrive slowly.
int gone(Rig &rig)
{
    constexpr int uploads = 3;
    constexpr std::size_t uploadBytes = 27 * 1024 * 1024;
    constexpr int requests = 20;
    constexpr double workSeconds = 2.5;
    constexpr double leaveAfter = 0.6;
    constexpr double slack = 0.5;
    constexpr double share = 0.25;
    rig.store().put("config", "main", desiredState(0, 0));
    Targets targets;
    for (int i = 0; i < 6; ++i) {
        Target::Options options
                = rig.targetOptions(service, i % 2 == 0 ? "khomas-a" : "khomas-b", i + 1);
        options.workSeconds = workSeconds;
        targets.push_back(std::make_unique<Target>(rig.store(), rig.record(),
                                                   "i-" + newId().substr(0, 8), options));
    }
    rig.startVms({ { "khomas-a", 160 } });
    sleepFor(5); // the machine is in touch
    const Address front = rig.vms().front()->front();
    std::atomic<bool> ends = false;
    std::vector<std::thread> uploaders;
    for (int i = 0; i < uploads; ++i) {
        uploaders.emplace_back([&] {
            const auto channel = Channel::connect(front);
            const std::string id = newId();
            rig.record().line("client uploads " + std::to_string(uploadBytes) + " bytes, " + id);
            if (!channel
                || !channel->write(
                        requestHead("POST", "/order/" + id, id, key, 60000,
                                    "Content-Length: " + std::to_string(uploadBytes) + "\r\n")))
                return;
            const std::string part(100'000, 'x');
            while (!ends && channel->write(part))
                sleepFor(0.1);
        });
    }
    sleepFor(1);
    std::mutex mutex;
    std::map<std::string, double> leftAt;
    std::vector<std::thread> clients;
    for (int i = 0; i < requests; ++i) {
        clients.emplace_back([&] {
            const std::string id = newId();
            const auto channel = Channel::connect(front);
            if (!channel || !channel->write(requestHead("GET", "/read/" + id, id, key, 10000)))
                return;
            if (isQuiet())
                channel->readMessage(true, 10);
            else
                sleepFor(leaveAfter);
            const std::lock_guard lock(mutex);
            leftAt[id] = now();
            rig.record().line("client of " + id + " leaves");
        });
        sleepFor(0.4);
    }
    for (std::thread &client : clients)
        client.join();
    sleepFor(workSeconds + 1);
    ends = true;
    for (std::thread &uploader : uploaders)
        uploader.join();
    int counted = 0;
    int atWork = 0;
    for (const Run &run : allRuns(targets)) {
        const auto left = leftAt.find(run.request);
        if (left == leftAt.end() || run.arrivedAt > left->second
            || run.arrivedAt + workSeconds < left->second + slack)
            continue;
        ++counted;
        atWork += run.endedAt > left->second + slack ? 1 : 0;
    }
    if (!isQuiet() && counted == 0)
        return couldNotRun(rig.record(), "no request was at work when its client left");
    return verdict(rig.record(), atWork > counted * share,
                   "targets were still at work half a second later on " + std::to_string(atWork)
                           + " of " + std::to_string(counted)
                           + " requests whose clients had left; allowed is a quarter");
}

struct Reading
{
    std::size_t answerBytes;
    int receiveBuffer; // 0: the usual one
    double pause;      // before each answer is read
    int clientsPerMachine;
    double duration;
};

struct Counts
{
    std::atomic<int> whole = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> wrong = 0;
    std::atomic<int> unanswered = 0;
};

// Sends requests on a channel and reads their answers, until one is missing or wrong.
void readAnswers(Rig &rig, const std::string &client, const Address &front, const Reading &reading,
                 Counts &counts)
{
    constexpr int requestsPerChannel = 4;
    constexpr int deadlineMs = 8000;
    const auto channel = Channel::connect(front, 1, reading.receiveBuffer);
    if (!channel) {
        sleepFor(0.1);
        return;
    }
    std::vector<std::string> ids;
    std::string requests;
    for (int i = 0; i < requestsPerChannel; ++i) {
        ids.push_back(newId());
        requests += requestHead("GET", "/read/" + ids.back(), ids.back(), key, deadlineMs);
    }
    channel->write(requests);
    for (const std::string &id : ids) {
        sleepFor(reading.pause);
        const auto message = channel->readMessage(true, deadlineMs / 1000.0 + 1);
        if (!message || !message->isComplete) {
            ++counts.unanswered;
            return;
        }
        const Answer answer = judge(*message, id);
        const bool isFailure = message->status / 100 == 5 || message->status == 429;
        if (answer.isWhole || isFailure) {
            ++(answer.isWhole ? counts.whole : counts.refused);
            continue;
        }
        ++counts.wrong;
        const bool hasSecondHead = message->body.find("HTTP/1.1 ") != std::string::npos;
        rig.record().line(client + " has a complete answer " + std::to_string(message->status)
                          + " to " + id + ", signature \"" + message->field("Response-Seal")
                          + "\", body of " + std::to_string(message->body.size())
                          + " bytes that are not the target's"
                          + (hasSecondHead ? ", with the head of another answer in it" : ""));
        return;
    }
}

void play(Rig &rig, Targets &targets, const Reading &reading, Counts &counts)
{
    for (const auto &target : targets)
        target->setAnswerBytes(reading.answerBytes);
    const double until = now() + reading.duration;
    std::vector<std::thread> clients;
    for (std::size_t i = 0;
         i < rig.vms().size() * static_cast<std::size_t>(reading.clientsPerMachine); ++i) {
        const Address front = rig.vms()[i % rig.vms().size()]->front();
        clients.emplace_back([&, front, client = "client " + std::to_string(i)] {
            while (now() < until)
                readAnswers(rig, client, front, reading, counts);
        });
    }
    for (std::thread &client : clients)
        client.join();
}

// MIXED: targets break off some of their answers while clients send several requests on a channel.
int mixed(Rig &rig)
{
    constexpr int targetCount = 4;
    constexpr double faultyShare = 0.6;    // of the targets
    constexpr double breakOffShare = 0.02; // of the answers of a faulty target
    const Reading promptly{ 200'000, 0, 0, 12, 40 };
    const Reading atLeisure{ 2'500'000, 64 * 1024, 0.8, 6, 45 };
    rig.store().put("config", "main", desiredState(0, 0));
    std::mutex mutex;
    std::mt19937 random{ std::random_device{}() };
    std::uniform_real_distribution<double> chance(0, 1);
    Targets targets;
    for (int i = 0; i < targetCount; ++i) {
        Target::Options options
                = rig.targetOptions(service, i % 2 == 0 ? "khomas-a" : "khomas-b", i + 1);
        options.workSeconds = 0.25;
        targets.push_back(std::make_unique<Target>(rig.store(), rig.record(),
                                                   "i-" + newId().substr(0, 8), options));
        if (!isQuiet() && i < std::lround(faultyShare * targetCount))
            targets.back()->breaksOff = [&](const Message &) {
                const std::lock_guard lock(mutex);
                return chance(random) < breakOffShare;
            };
    }
    rig.startVms({ { "khomas-a" }, { "khomas-b" } });
    sleepFor(5); // the machines are in touch
    Counts counts;
    rig.record().line("clients read answers of 200 kB at once");
    play(rig, targets, promptly, counts);
    rig.record().line("clients read answers of 2.5 MB with pauses of 0.8 s");
    play(rig, targets, atLeisure, counts);
    int ended = 0;
    for (const auto &vm : rig.vms()) {
        if (!vm->hasEnded())
            continue;
        ++ended;
        rig.record().line("the process of " + vm->name() + " has ended by itself");
    }
    return verdict(rig.record(), counts.wrong > 0 || ended > 0,
                   std::to_string(counts.wrong) + " complete answers that are wrong, "
                           + std::to_string(ended) + " of " + std::to_string(rig.vms().size())
                           + " processes ended by themselves; " + std::to_string(counts.whole)
                           + " whole answers, " + std::to_string(counts.refused) + " failures, "
                           + std::to_string(counts.unanswered) + " channels cut");
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount != 3) {
        std::fprintf(stderr, "usage: rig CASE RECORD\n");
        return notRun;
    }
    const std::map<std::string, int (*)(Rig &)> cases
            = { { "quota", quota }, { "poison", poison }, { "drain", drain },
                { "lost", lost },   { "gone", gone },     { "mixed", mixed } };
    const auto found = cases.find(arguments[1]);
    if (found == cases.end())
        return notRun;
    Rig rig(arguments[2]);
    return found->second(rig);
}
