// Targets that leave in pairs, without a report that they are draining, shortly after the store has
// cut off the waiting watches.

#include "Rig.h"

namespace {

constexpr int targetCount = 16;
constexpr int callerCount = 24;
constexpr double callerPeriod = 0.06; // between the requests of a caller
constexpr double drain = 2.5;
constexpr double servesOn = 4; // after the removal of its entry: drain and a little longer
constexpr int rounds = 3;
constexpr double removalDelay = 0.6; // from the cut of the watches to the first removal
constexpr double betweenRemovals = 0.03;

std::mutex g_mutex;
std::map<std::string, double> g_removedAt; // by target
std::atomic<int> g_late{ 0 };
std::atomic<int> g_answered{ 0 };
std::atomic<int> g_other{ 0 };
std::atomic<bool> g_isOver{ false };

void runCaller(const rig::Node &node)
{
    using namespace rig;
    while (!g_isOver) {
        Channel channel(connectTo(node.front()));
        while (channel.isOpen() && !g_isOver) {
            const double next = now() + callerPeriod;
            const std::string id = newRequestId();
            channel.write("POST /transfer/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                          + "\r\nDeadline-Ms: 1500\r\nContent-Length: 3\r\n\r\nabc");
            const auto answer = channel.read(now() + 1.5);
            if (!answer)
                break;
            ++(answer->status() == 200 ? g_answered : g_other);
            sleepFor(next - now());
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    using namespace rig;
    const Options options = begin(argc, argv);
    Store store;
    if (!store.start({ options.subnet + "250", 8382 }))
        finish(exitNotRun);
    store.put("config", "main",
              { { "version", "00000001" },
                { "routes",
                  { { { "name", "r-desk" },
                      { "host", "desk.example" },
                      { "path_prefix", "/transfer/" },
                      { "type", "unsafe" },
                      { "timeout", "1500ms" },
                      { "aim", "300ms" },
                      { "priority", 1 },
                      { "service", "desk" },
                      { "attempts", 2 },
                      { "public", true },
                      { "affinity", false },
                      { "allowed_regions", json::array() } } } },
                { "services",
                  { { { "name", "desk" },
                      { "health_path", "/healthz" },
                      { "max_connections", 390 },
                      { "cold_start", "0ms" },
                      { "cold_per_s", 11.0 } } } },
                { "limits",
                  { { "max_header_bytes", 16384 },
                    { "max_body_bytes", 67108864 },
                    { "header_timeout", "3000ms" },
                    { "idle_timeout", "15000ms" } } } });
    std::vector<std::unique_ptr<Target>> targets;
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<Target>(
                store, "desk", "a-1", 4, [](Target &target, const Message &request) {
                    const double at = now();
                    double removedAt = 0;
                    {
                        const std::lock_guard lock(g_mutex);
                        const auto found = g_removedAt.find(target.id());
                        removedAt = found == g_removedAt.end() ? 0 : found->second;
                    }
                    if (removedAt > 0 && at - removedAt > drain) {
                        ++g_late;
                        NOTE("request %s reaches target %s %.0f ms after the store acknowledged "
                             "the "
                             "removal of its entry (bound 2500 ms)",
                             request.field("Request-Id").c_str(), target.id().c_str(),
                             (at - removedAt) * 1000);
                    }
                    sleepFor(0.02);
                    return makeResponse(request, 200, "ok\n");
                }));
        if (!targets.back()->start("i-" + std::to_string(i),
                                   { options.subnet + std::to_string(100 + i), 8080 }))
            finish(exitNotRun);
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 3; ++i) {
        nodes.push_back(std::make_unique<Node>(options, "edge-" + std::to_string(i), "a", "a-1",
                                               options.subnet + std::to_string(1 + i), 260,
                                               store.address(), "zones.a-1=a\n"));
        if (!nodes.back()->start())
            finish(exitNotRun);
    }
    if (!waitUntilReady(nodes, 20))
        finish(exitNotRun);
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back([&, i] { runCaller(*nodes[i % nodes.size()]); });
    sleepFor(10);
    NOTE("%d callers send unsafe requests; %d targets", callerCount, targetCount);
    const auto leave = [&](int number) {
        const std::string id = targets[number]->id();
        {
            const std::lock_guard lock(g_mutex);
            g_removedAt[id] = now();
        }
        store.remove("servers", id);
        NOTE("the entry of target %s is removed, without a report that it is draining", id.c_str());
    };
    for (int round = 0; round < rounds; ++round) {
        if (options.isTroubled) {
            store.cutWatches();
            NOTE("the store cuts off the watches that are waiting");
        }
        sleepFor(removalDelay);
        leave(2 * round);
        sleepFor(betweenRemovals);
        leave(2 * round + 1);
        sleepFor(servesOn);
        targets[2 * round]->crash();
        targets[2 * round + 1]->crash();
        NOTE("both targets end");
        sleepFor(6);
    }
    g_isOver = true;
    for (std::thread &caller : callers)
        caller.join();
    NOTE("answered %d, otherwise %d; requests that reached a target later than drain after the "
         "removal of its entry: %d",
         g_answered.load(), g_other.load(), g_late.load());
    if (g_answered < 1000)
        finish(exitNotRun);
    finish(g_late > 0 ? exitBroken : exitHeld);
}
