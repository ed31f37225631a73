// Cases in which long bodies exceed the memory of an entry VM.

#include "Callers.h"

namespace rig {

namespace {

constexpr int baseCallersPerVm = 8;

// Sends short requests, one after the other, until told to stop.
void callSteadily(Deployment &deployment, const Vm &vm, int number,
                  const std::atomic<bool> &isEnding)
{
    Caller caller(deployment.record, deployment.ledger, vm);
    const std::string body(4000, 'b');
    for (int i = 0; !isEnding; ++i) {
        const std::string object = std::to_string(number) + "-" + std::to_string(i);
        if (i % 3 == 0)
            caller.call("POST", "/custody/" + object, 1500, &body);
        else
            caller.call("GET", "/level/" + object, 1200);
    }
}

int judge(Deployment &deployment)
{
    int kills = 0;
    for (const auto &vm : deployment.vms) {
        kills += vm->memoryKills();
        deployment.record.line("vm=" + vm->plan().name
                               + " limit_mb=" + std::to_string(vm->plan().memoryMb)
                               + " peak_mb=" + std::to_string(vm->peakMb())
                               + " killed_for_memory=" + std::to_string(vm->memoryKills()));
    }
    const auto lost = deployment.ledger.lost();
    for (const Outcome &outcome : lost)
        deployment.record.line("LOST " + describe(outcome));
    deployment.record.line("verdict requests=" + std::to_string(deployment.ledger.count())
                           + " killed_for_memory=" + std::to_string(kills)
                           + " lost=" + std::to_string(lost.size()) + " allowed=3");
    return lost.size() > 3 ? exitBroken : exitHeld;
}

} // namespace

int playLongBodies(const Options &options)
{
    constexpr int uploaders = 3;
    constexpr std::size_t longBody = 60UL * 1024 * 1024; // max_body_bytes is 64 MiB
    constexpr std::size_t usualBody = 24000;
    Deployment *self = nullptr;
    Deployment deployment(
            options,
            [&](Target &target, const Message &request) {
                self->ledger.ran(request.field("request-id"), target.plan().id);
                Answer answer;
                const bool isLong = request.target().rfind("/survey/", 0) == 0;
                answer.work = Millis(isLong ? 960 : request.method() == "POST" ? 312 : 240);
                answer.body = std::string(1500, 'x');
                return answer;
            },
            3, 8, 0);
    self = &deployment;
    if (!deployment.start(
                nlohmann::json::array({ route("/level/", "safe", "gauge-desk", 1200, 300),
                                        route("/custody/", "unsafe", "gauge-desk", 1500, 300),
                                        route("/survey/", "unsafe", "gauge-desk", 5000, 2000) })))
        return exitNotRun;
    std::atomic<bool> isEnding = false;
    Threads threads;
    for (const auto &vm : deployment.vms) {
        for (int i = 0; i < baseCallersPerVm; ++i)
            threads.add([&, i] { callSteadily(deployment, *vm, i, isEnding); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    deployment.record.line("uploads begin");
    const std::string body(options.hasTrouble ? longBody : usualBody, 'u');
    Link link(1000); // of the VM, link_mbps
    for (int round = 0; round < 3; ++round) {
        Threads uploads;
        for (int i = 0; i < uploaders; ++i) {
            uploads.add([&, i] {
                // Each begins when the one before has been sent.
                std::this_thread::sleep_for(Millis(550) * i);
                Caller caller(deployment.record, deployment.ledger, *deployment.vms.front());
                caller.call("POST", "/survey/" + std::to_string(i), 5000, &body, &link);
            });
        }
        uploads.join();
        std::this_thread::sleep_for(std::chrono::seconds(6));
    }
    isEnding = true;
    threads.join();
    return judge(deployment);
}

int playPipelinedDownloads(const Options &options)
{
    constexpr int downloads = 6;
    constexpr std::size_t tableBytes = 50UL * 1024 * 1024;
    Link link(1000); // of the VM, link_mbps
    Deployment *self = nullptr;
    Deployment deployment(
            options,
            [&](Target &target, const Message &request) {
                self->ledger.ran(request.field("request-id"), target.plan().id);
                Answer answer;
                const std::string path = request.target();
                if (path.rfind("/history/", 0) == 0) {
                    // The target is slow, four times as usual (srv_slow).
                    answer.work = Millis(960 * 4);
                    answer.body = std::string(5000, 'h');
                } else if (path.rfind("/table/", 0) == 0) {
                    answer.work = Millis(192);
                    answer.body = std::string(tableBytes, 't');
                    answer.link = &link;
                } else {
                    answer.work = Millis(240);
                    answer.body = std::string(1500, 'x');
                }
                return answer;
            },
            3, 8, 8);
    self = &deployment;
    if (!deployment.start(nlohmann::json::array(
                { route("/level/", "safe", "gauge-desk", 1200, 300),
                  route("/custody/", "unsafe", "gauge-desk", 1500, 300),
                  route("/history/", "safe", "gauge-archive", 10000, 800),
                  route("/table/", "download", "gauge-archive", 10000, 4000) })))
        return exitNotRun;
    std::atomic<bool> isEnding = false;
    Threads threads;
    for (const auto &vm : deployment.vms) {
        for (int i = 0; i < baseCallersPerVm; ++i)
            threads.add([&, i] { callSteadily(deployment, *vm, i, isEnding); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    deployment.record.line("downloads begin");
    for (int round = 0; round < 3; ++round) {
        const Vm &vm = *deployment.vms.front();
        const auto channel = Channel::connect(vm.plan().ip, Vm::frontPort);
        std::vector<std::string> requests;
        std::vector<std::string> ids;
        for (int i = 0; i <= downloads; ++i) {
            ids.push_back(requestId());
            const std::string object = std::to_string(round) + "-" + std::to_string(i);
            requests.push_back(requestHead("GET", (i == 0 ? "/history/" : "/table/") + object,
                                           ids.back(), 10000));
        }
        // With the trouble, the further requests are sent before the first has been answered.
        const Time until = Clock::now() + std::chrono::seconds(10);
        int answered = 0;
        const auto sendOne = [&](std::size_t i) {
            deployment.record.line("sent request=" + ids[i] + " vm=" + vm.plan().name
                                   + (i == 0 ? " /history/" : " /table/"));
            return channel && channel->send(requests[i]);
        };
        for (std::size_t i = 0; options.hasTrouble && i < requests.size(); ++i)
            sendOne(i);
        for (std::size_t i = 0; channel && i < requests.size(); ++i) {
            if (!options.hasTrouble && !sendOne(i))
                break;
            const auto answer = channel->read(true, until);
            deployment.record.line("ended request=" + ids[i] + " result="
                                   + (answer ? std::to_string(answer->status()) + " bytes="
                                                       + std::to_string(answer->body.size())
                                             : "no whole answer"));
            if (!answer)
                break;
            ++answered;
        }
        deployment.record.line("answered " + std::to_string(answered) + " of "
                               + std::to_string(requests.size()));
        std::this_thread::sleep_for(std::chrono::seconds(6));
    }
    isEnding = true;
    threads.join();
    return judge(deployment);
}

} // namespace rig
