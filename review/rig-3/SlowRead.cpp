// A client that stops reading for a few seconds and goes on, while requests that it pipelined are
// passed on to sound targets.

#include "Rig.h"

namespace {

constexpr int targetCount = 6;
constexpr int clientCount = 8;
constexpr std::size_t largeAnswerBytes = 4'000'000;
constexpr std::size_t smallAnswerBytes = 1'500;
constexpr double pauseSeconds = 4;
constexpr double timeBudget = 20;
constexpr int allowedLosses = 3;

struct Outcome
{
    int passedOn = 0; // requests of a kept channel that targets answered
    int lost = 0;     // of these, without an answer because the channel ended
    int cut = 0;      // of these, the answer ended early
};

std::mutex g_mutex;
std::map<std::string, int> g_completedRuns; // by request

// Reads the first answer of a channel, pauses in the middle of a large one, and reads on.
Outcome runClient(const rig::Node &node, int number, double pause)
{
    using namespace rig;
    ConnectOptions options;
    options.receiveBuffer = 64 * 1024;
    options.maxSegment = 1400;
    Channel channel(connectTo(node.front(), options));
    Outcome outcome;
    if (!channel.isOpen())
        return outcome;
    const auto request = [](const std::string &path, const std::string &id) {
        return "GET " + path + " HTTP/1.1\r\nHost: maps.example\r\nRequest-Id: " + id
               + "\r\nDeadline-Ms: 20000\r\n\r\n";
    };
    // The channel is a kept one: it has carried an answer.
    const std::string firstId = newRequestId();
    channel.write(request("/map/small", firstId));
    if (!channel.read(now() + 5))
        return outcome;
    const std::vector<std::string> ids = { newRequestId(), newRequestId(), newRequestId() };
    const std::vector<std::string> paths = { "/map/large", "/map/small", "/map/small" };
    const double sentAt = now();
    for (std::size_t i = 0; i < ids.size(); ++i) {
        channel.write(request(paths[i], ids[i]));
        NOTE("client %d sends request %s for %s", number, ids[i].c_str(), paths[i].c_str());
    }
    while (channel.received() < 200'000 && channel.fill(sentAt + timeBudget)) {
    }
    const double pausedAt = now();
    sleepFor(pause);
    if (pause > 0)
        NOTE("client %d reads on after a pause of %.1f s, %zu bytes so far", number,
             now() - pausedAt, channel.received());
    bool isCut = false;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        const auto answer = isCut ? std::nullopt : channel.read(sentAt + timeBudget);
        const std::size_t size = i == 0 ? largeAnswerBytes : smallAnswerBytes;
        bool hasRun = false;
        {
            const std::lock_guard lock(g_mutex);
            hasRun = g_completedRuns[ids[i]] > 0;
        }
        outcome.passedOn += hasRun ? 1 : 0;
        if (answer) {
            NOTE("client %d: request %s answered %d, %s", number, ids[i].c_str(), answer->status(),
                 answer->body == makeBody(ids[i], size) ? "whole" : "not the target's body");
            continue;
        }
        NOTE("client %d: request %s %s at its target, %s after %.1f s: %s", number, ids[i].c_str(),
             hasRun ? "ran" : "did not run", i == 0 ? "answer cut off" : "no answer",
             now() - sentAt, channel.end().c_str());
        if (i == 0)
            outcome.cut += 1;
        else
            outcome.lost += hasRun ? 1 : 0;
        isCut = true;
    }
    return outcome;
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
                  { { { "name", "r-maps" },
                      { "host", "maps.example" },
                      { "path_prefix", "/map/" },
                      { "type", "safe" },
                      { "timeout", "20s" },
                      { "aim", "5s" },
                      { "priority", 1 },
                      { "service", "maps" },
                      { "attempts", 2 },
                      { "public", true },
                      { "affinity", false },
                      { "allowed_regions", json::array() } } } },
                { "services",
                  { { { "name", "maps" },
                      { "health_path", "/healthz" },
                      { "max_connections", 390 },
                      { "cold_start", "3s" },
                      { "cold_per_s", 11.0 } } } },
                { "limits",
                  { { "max_header_bytes", 16384 },
                    { "max_body_bytes", 67108864 },
                    { "header_timeout", "3000ms" },
                    { "idle_timeout", "15000ms" } } } });
    std::vector<std::unique_ptr<Target>> targets;
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<Target>(
                store, "maps", "a-1", 4, [](Target &target, const Message &request) {
                    const std::string id = request.field("Request-Id");
                    const bool isLarge = request.word(1) == "/map/large";
                    sleepFor(0.02);
                    NOTE("target %s has run request %s", target.id().c_str(), id.c_str());
                    {
                        const std::lock_guard lock(g_mutex);
                        ++g_completedRuns[id];
                    }
                    return makeResponse(
                            request, 200,
                            makeBody(id, isLarge ? largeAnswerBytes : smallAnswerBytes));
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
    NOTE("%d clients, each with a kept channel, pipeline three safe requests; %s", clientCount,
         options.isTroubled ? "they pause for 4 s while they read the first answer"
                            : "they read at once");
    std::vector<Outcome> outcomes(clientCount);
    std::vector<std::thread> clients;
    for (int i = 0; i < clientCount; ++i)
        clients.emplace_back([&, i] {
            outcomes[i] = runClient(*nodes[i % 2], i, options.isTroubled ? pauseSeconds : 0);
        });
    for (std::thread &client : clients)
        client.join();
    Outcome all;
    for (const Outcome &outcome : outcomes) {
        all.passedOn += outcome.passedOn;
        all.lost += outcome.lost;
        all.cut += outcome.cut;
    }
    NOTE("of %d requests that targets ran, %d answers were cut off in the middle and %d requests "
         "ended with the channel, without an answer",
         all.passedOn, all.cut, all.lost);
    if (all.passedOn < clientCount)
        finish(exitNotRun);
    finish(all.lost > allowedLosses ? exitBroken : exitHeld);
}
