// A client sends a request whose body, by its Content-Length, holds the text of another request.

#include "Rig.h"

namespace {

constexpr int targetCount = 4;
constexpr int attempts = 5;

std::mutex g_mutex;
std::map<std::string, std::string> g_runs; // request lines by request id

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
                    NOTE("target %s runs %s, request %s, body of %zu bytes", target.id().c_str(),
                         request.start.c_str(), request.field("Request-Id").c_str(),
                         request.body.size());
                    {
                        const std::lock_guard lock(g_mutex);
                        g_runs[request.field("Request-Id")] = request.start;
                    }
                    sleepFor(0.02);
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
    const std::string start = options.isTroubled ? "CONNECT desk.example:80" : "POST /transfer/1";
    int smuggled = 0;
    int sound = 0;
    for (int i = 0; i < attempts; ++i) {
        Channel channel(connectTo(nodes[i % 2]->front()));
        const std::string id = newRequestId();
        const std::string innerId = "inner-" + std::to_string(i);
        const std::string body = "POST /transfer/inner HTTP/1.1\r\nHost: desk.example\r\n"
                                 "Request-Id: "
                                 + innerId + "\r\nDeadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n";
        channel.write(start + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                      + "\r\nDeadline-Ms: 1500\r\nContent-Length: " + std::to_string(body.size())
                      + "\r\n\r\n" + body);
        NOTE("sent one request, %s, request %s, with a body of %zu bytes", start.c_str(),
             id.c_str(), body.size());
        int answers = 0;
        while (const auto answer = channel.read(now() + 0.5)) {
            ++answers;
            NOTE("answer %d on its channel: %s, request %s", answers, answer->start.c_str(),
                 answer->field("Request-Id").c_str());
        }
        const std::lock_guard lock(g_mutex);
        smuggled += g_runs.contains(innerId) ? 1 : 0;
        sound += answers > 0 ? 1 : 0;
    }
    NOTE("requests that a target ran out of the body of another: %d of %d", smuggled, attempts);
    if (sound == 0)
        finish(exitNotRun);
    finish(smuggled > 0 ? exitBroken : exitHeld);
}
