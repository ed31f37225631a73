// Callers that use kept channels for HEAD and GET requests, one after the other, while their tenant
// sends several times its rate, so that a part of the requests is refused.

#include "Rig.h"

namespace {

constexpr int targetCount = 6;
constexpr int channelCount = 8;
constexpr double usualPerSecond = 10; // requests of the tenant at all machines
constexpr double tenantRate = 20;
constexpr double factor = 7.5; // of hot_tenant
constexpr double duration = 12;

struct Counts
{
    std::atomic<int> answered{ 0 };
    std::atomic<int> refused{ 0 };
    std::atomic<int> noAnswer{ 0 }; // bytes that are no answer in the protocol
    std::atomic<int> foreign{ 0 };  // an answer to another request
    std::atomic<int> ended{ 0 };    // channels that ended without an answer
};

Counts g_counts;

// Sends a HEAD and a GET request in turn, each after the answer to the one before it.
void runChannel(const rig::Node &node, int number, double period, double until)
{
    using namespace rig;
    while (now() < until) {
        Channel channel(connectTo(node.front()));
        for (int i = 0; channel.isOpen() && now() < until; ++i) {
            const double next = now() + period;
            const bool isHead = i % 2 == 0;
            const std::string id = newRequestId();
            const std::string method = isHead ? "HEAD" : "GET";
            channel.write(method + " /level/7 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                          + "\r\nDeadline-Ms: 1200\r\nApi-Key: key-of-alpha\r\n\r\n");
            const auto answer = channel.read(now() + 1.5, isHead);
            if (!answer) {
                ++g_counts.ended;
                break;
            }
            const bool isAnswer = answer->start.rfind("HTTP/1.1 ", 0) == 0;
            if (!isAnswer) {
                ++g_counts.noAnswer;
                NOTE("channel %d: where the answer to %s %s is due, the client gets: %s", number,
                     method.c_str(), id.c_str(), answer->start.c_str());
                break;
            }
            if (answer->field("Request-Id") != id) {
                ++g_counts.foreign;
                NOTE("channel %d: %s %s gets the answer to %s", number, method.c_str(), id.c_str(),
                     answer->field("Request-Id").c_str());
                break;
            }
            ++(answer->status() == 200 ? g_counts.answered : g_counts.refused);
            if (answer->status() != 200 && g_counts.refused < 20)
                NOTE("channel %d: %s %s is answered %d, Content-Length: %s", number, method.c_str(),
                     id.c_str(), answer->status(), answer->field("Content-Length").c_str());
            sleepFor(next - now());
        }
        sleepFor(0.05);
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
                  { { { "name", "r-level" },
                      { "host", "desk.example" },
                      { "path_prefix", "/level/" },
                      { "type", "safe" },
                      { "timeout", "1200ms" },
                      { "aim", "300ms" },
                      { "priority", 2 },
                      { "service", "desk" },
                      { "attempts", 2 },
                      { "public", false },
                      { "affinity", false },
                      { "allowed_regions", json::array() } } } },
                { "services",
                  { { { "name", "desk" },
                      { "health_path", "/healthz" },
                      { "max_connections", 390 },
                      { "cold_start", "0ms" },
                      { "cold_per_s", 11.0 } } } },
                { "tenants",
                  { { { "name", "alpha" },
                      { "api_keys", { "key-of-alpha" } },
                      { "priority", 1 },
                      { "rate_per_s", tenantRate },
                      { "burst", tenantRate },
                      { "allowed_regions", json::array() } } } },
                { "limits",
                  { { "max_header_bytes", 16384 },
                    { "max_body_bytes", 67108864 },
                    { "header_timeout", "3000ms" },
                    { "idle_timeout", "15000ms" } } } });
    std::atomic<int> runs{ 0 };
    std::vector<std::unique_ptr<Target>> targets;
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<Target>(
                store, "desk", "a-1", 4, [&runs](Target &, const Message &request) {
                    sleepFor(0.02);
                    ++runs;
                    const std::string whole = makeResponse(
                            request, 200, makeBody(request.field("Request-Id"), 1500));
                    return request.word(0) == "HEAD" ? whole.substr(0, whole.find("\r\n\r\n") + 4)
                                                     : whole;
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
    const double perSecond = usualPerSecond * (options.isTroubled ? factor : 1);
    NOTE("the tenant sends %.0f requests a second, HEAD and GET in turn, on %d kept channels; its "
         "rate is %.0f",
         perSecond, channelCount, tenantRate);
    const double until = now() + duration;
    std::vector<std::thread> channels;
    for (int i = 0; i < channelCount; ++i)
        channels.emplace_back(
                [&, i] { runChannel(*nodes[i % 2], i, channelCount / perSecond, until); });
    for (std::thread &channel : channels)
        channel.join();
    NOTE("answered %d, refused %d, run at targets %d; bytes that are no answer %d times, foreign "
         "answers %d, channels ended without an answer %d",
         g_counts.answered.load(), g_counts.refused.load(), runs.load(), g_counts.noAnswer.load(),
         g_counts.foreign.load(), g_counts.ended.load());
    if (g_counts.answered == 0 || (options.isTroubled && g_counts.refused == 0))
        finish(exitNotRun);
    finish(g_counts.noAnswer + g_counts.foreign > 0 ? exitBroken : exitHeld);
}
