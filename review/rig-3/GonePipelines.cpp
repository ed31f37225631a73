// Clients that pipeline safe requests and leave before the answers.

#include "Rig.h"

namespace {

constexpr int targetCount = 24;
constexpr int clientCount = 6;
constexpr int pipelineDepth = 20;
constexpr int rounds = 3;
constexpr double runSeconds = 3;
constexpr double leaveAfter = 0.8;
constexpr double allowedDelay = 0.5;

struct Run
{
    double startedAt = 0;
    double endedAt = 0; // 0: still at work
};

std::mutex g_mutex;
std::map<std::string, Run> g_runs; // by request

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
                  { { { "name", "r-history" },
                      { "host", "desk.example" },
                      { "path_prefix", "/history/" },
                      { "type", "safe" },
                      { "timeout", "10s" },
                      { "aim", "5s" },
                      { "priority", 2 },
                      { "service", "archive" },
                      { "attempts", 2 },
                      { "public", true },
                      { "affinity", false },
                      { "allowed_regions", json::array() } } } },
                { "services",
                  { { { "name", "archive" },
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
                store, "archive", "a-1", 8, [](Target &, const Message &request) {
                    const std::string id = request.field("Request-Id");
                    const double startedAt = now();
                    {
                        const std::lock_guard lock(g_mutex);
                        g_runs[id].startedAt = startedAt;
                    }
                    // Drops the request when its channel closes.
                    while (now() - startedAt < runSeconds
                           && !Target::currentChannel()->isClosedByPeer())
                        sleepFor(0.01);
                    const std::lock_guard lock(g_mutex);
                    g_runs[id].endedAt = now();
                    return makeResponse(request, 200, "ok\n");
                }));
        if (!targets.back()->start("i-" + std::to_string(i),
                                   { options.subnet + std::to_string(100 + i), 8080 }))
            finish(exitNotRun);
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        nodes.push_back(std::make_unique<Node>(options, "edge-" + std::to_string(i), "a", "a-1",
                                               options.subnet + std::to_string(1 + i), 260,
                                               store.address(), "zones.a-1=a\n"));
        if (!nodes.back()->start())
            finish(exitNotRun);
    }
    if (!waitUntilReady(nodes, 20))
        finish(exitNotRun);
    sleepFor(6);
    int counted = 0; // at work when the client left, and to last longer than the allowed delay
    int wentOn = 0;  // of these, still at work after it
    int late = 0;    // reached a target later than the allowed delay
    int answered = 0;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<Channel>> channels;
        std::vector<std::string> ids;
        for (int client = 0; client < clientCount; ++client) {
            channels.push_back(std::make_unique<Channel>(connectTo(nodes[client % 2]->front())));
            std::string text;
            for (int i = 0; i < pipelineDepth; ++i) {
                ids.push_back(newRequestId());
                text += "GET /history/" + ids.back()
                        + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + ids.back()
                        + "\r\nDeadline-Ms: 10000\r\n\r\n";
            }
            channels.back()->write(text);
        }
        NOTE("%d clients pipeline %d safe requests each", clientCount, pipelineDepth);
        sleepFor(leaveAfter);
        if (!options.isTroubled) {
            for (const auto &channel : channels) {
                for (int i = 0; i < pipelineDepth; ++i)
                    answered += channel->read(now() + 10).has_value() ? 1 : 0;
            }
            continue;
        }
        channels.clear();
        const double leftAt = now();
        NOTE("all clients have closed their channels");
        sleepFor(runSeconds + 3);
        const std::lock_guard lock(g_mutex);
        for (const std::string &id : ids) {
            const auto run = g_runs.find(id);
            if (run == g_runs.end())
                continue;
            const double endedAt = run->second.endedAt > 0 ? run->second.endedAt : now();
            if (run->second.startedAt > leftAt + allowedDelay) {
                ++late;
                NOTE("request %s reached a target %.2f s after its client had left", id.c_str(),
                     run->second.startedAt - leftAt);
            } else if (endedAt > leftAt
                       && run->second.startedAt + runSeconds > leftAt + allowedDelay) {
                ++counted;
                const bool goesOn = endedAt > leftAt + allowedDelay;
                wentOn += goesOn ? 1 : 0;
                NOTE("request %s: its target worked on for %.2f s after its client had left",
                     id.c_str(), endedAt - leftAt);
            }
        }
    }
    NOTE("at work when the clients left: %d; still at work half a second later: %d; reached a "
         "target later than that: %d; answered: %d",
         counted, wentOn, late, answered);
    if (options.isTroubled ? counted == 0 : answered == 0)
        finish(exitNotRun);
    finish(counted > 0 && 4 * wentOn > counted ? exitBroken : exitHeld);
}
