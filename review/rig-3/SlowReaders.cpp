// Clients that pipeline safe requests and read the answers slowly, beside other callers of the same
// machines. A stand-in of the platform ends a process whose memory exceeds limits.memory_mb, and
// starts it again.

#include "Rig.h"

namespace {

constexpr int memoryMb = 260;
constexpr int clientsPerNode = 140;
constexpr std::size_t pipelineDepth = 80; // requests that a client has open on its channel
constexpr std::size_t answerBytes = 48'000;
constexpr int targetCount = 12;
constexpr double runSeconds = 0.01;
constexpr double duration = 45;
constexpr double timeBudget = 20;
constexpr int maxEnds = 3; // of each process, after which the script ends
constexpr int otherCallersPerNode = 8;
constexpr double lookupSeconds = 0.4; // that a lookup of another caller runs
constexpr int allowedLosses = 3;

std::atomic<long> g_sent{ 0 };
std::atomic<long> g_answered{ 0 };
std::atomic<long> g_refused{ 0 };
std::atomic<long> g_cut{ 0 };
std::atomic<long> g_wrong{ 0 };
std::atomic<bool> g_isOver{ false };

std::mutex g_mutex;
std::set<std::string> g_othersRun; // that targets have begun to run
std::atomic<int> g_othersAnswered{ 0 };
std::atomic<int> g_othersLost{
    0
}; // run by a target, and their kept channel ended without an answer

// Sends lookups on a kept channel, each after the answer to the one before it.
void runOtherCaller(const rig::Node &node)
{
    using namespace rig;
    while (!g_isOver) {
        Channel channel(connectTo(node.front()));
        bool isKept = false; // it has carried an answer
        while (channel.isOpen() && !g_isOver) {
            const std::string id = newRequestId();
            channel.write("GET /lookup/1 HTTP/1.1\r\nHost: maps.example\r\nRequest-Id: " + id
                          + "\r\nDeadline-Ms: 6000\r\n\r\n");
            const auto answer = channel.read(now() + 6);
            if (answer) {
                ++g_othersAnswered;
                isKept = true;
                continue;
            }
            const std::lock_guard lock(g_mutex);
            if (isKept && g_othersRun.contains(id)) {
                ++g_othersLost;
                NOTE("lookup %s ran at a target, and its kept channel ended without an answer: %s",
                     id.c_str(), channel.end().c_str());
            }
            break;
        }
        sleepFor(0.2);
    }
}

// Sends up to pipelineDepth requests ahead, and reads the answers at its pace, until the channel
// ends or a request has waited for its time budget.
void runClient(const rig::Node &node, bool isSlow)
{
    while (!g_isOver) {
        rig::ConnectOptions options;
        options.receiveBuffer = 64 * 1024;
        options.maxSegment = 1400;
        rig::Channel channel(rig::connectTo(node.front(), options));
        if (!channel.isOpen()) {
            rig::sleepFor(0.3);
            continue;
        }
        if (isSlow)
            channel.setPace(16 * 1024, 0.08); // 200 KB/s
        std::deque<std::pair<std::string, double>> open;
        while (!g_isOver) {
            while (open.size() < pipelineDepth) {
                const std::string id = rig::newRequestId();
                if (!channel.write("GET /map/" + id
                                   + " HTTP/1.1\r\nHost: maps.example\r\nRequest-Id: " + id
                                   + "\r\nDeadline-Ms: 20000\r\n\r\n"))
                    break;
                ++g_sent;
                open.emplace_back(id, rig::now());
            }
            if (open.empty())
                break;
            const auto answer = channel.read(open.front().second + timeBudget);
            if (!answer) {
                g_cut += static_cast<long>(open.size());
                break;
            }
            const std::string id = open.front().first;
            open.pop_front();
            if (answer->status() != 200)
                ++g_refused;
            else if (answer->field("Request-Id") != id
                     || answer->body != rig::makeBody(id, answerBytes))
                ++g_wrong;
            else
                ++g_answered;
            if (rig::equalsIgnoreCase(answer->field("Connection"), "close"))
                break;
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
                      { "allowed_regions", json::array() } },
                    { { "name", "r-lookups" },
                      { "host", "maps.example" },
                      { "path_prefix", "/lookup/" },
                      { "type", "safe" },
                      { "timeout", "6s" },
                      { "aim", "1s" },
                      { "priority", 0 },
                      { "service", "lookups" },
                      { "attempts", 2 },
                      { "public", true },
                      { "affinity", false },
                      { "allowed_regions", json::array() } } } },
                { "services",
                  { { { "name", "maps" },
                      { "health_path", "/healthz" },
                      { "max_connections", 390 },
                      { "cold_start", "3s" },
                      { "cold_per_s", 11.0 } },
                    { { "name", "lookups" },
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
                store, "maps", "a-1", 4, [](Target &, const Message &request) {
                    sleepFor(runSeconds);
                    return makeResponse(request, 200,
                                        makeBody(request.field("Request-Id"), answerBytes));
                }));
        if (!targets.back()->start("i-" + std::to_string(i),
                                   { options.subnet + std::to_string(100 + i), 8080 }))
            finish(exitNotRun);
    }
    for (int i = 0; i < targetCount; ++i) {
        targets.push_back(std::make_unique<Target>(
                store, "lookups", "a-1", 4, [](Target &, const Message &request) {
                    {
                        const std::lock_guard lock(g_mutex);
                        g_othersRun.insert(request.field("Request-Id"));
                    }
                    sleepFor(lookupSeconds);
                    return makeResponse(request, 200, "ok\n");
                }));
        if (!targets.back()->start("l-" + std::to_string(i),
                                   { options.subnet + std::to_string(150 + i), 8080 }))
            finish(exitNotRun);
    }
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 2; ++i) {
        nodes.push_back(std::make_unique<Node>(options, "edge-" + std::to_string(i), "a", "a-1",
                                               options.subnet + std::to_string(1 + i), memoryMb,
                                               store.address(), "zones.a-1=a\n"));
        if (!nodes.back()->start())
            finish(exitNotRun);
    }
    if (!waitUntilReady(nodes, 20))
        finish(exitNotRun);
    sleepFor(4);
    NOTE("%s: %d clients at each of %zu machines, %zu safe requests open on each channel, answers "
         "of "
         "%zu bytes, read at %s",
         options.isTroubled ? "slow readers" : "no trouble", clientsPerNode, nodes.size(),
         pipelineDepth, answerBytes, options.isTroubled ? "200 KB/s" : "full speed");
    std::vector<std::thread> clients;
    for (const auto &node : nodes) {
        for (int i = 0; i < otherCallersPerNode; ++i)
            clients.emplace_back([&node] { runOtherCaller(*node); });
    }
    sleepFor(2);
    for (const auto &node : nodes) {
        for (int i = 0; i < clientsPerNode; ++i)
            clients.emplace_back([&node, &options] { runClient(*node, options.isTroubled); });
    }
    // The platform: ends a process over its memory limit and starts it again after a short delay.
    std::vector<int> ends(nodes.size());
    std::vector<long> peaks(nodes.size());
    const double start = now();
    double nextLine = start;
    while (now() - start < duration) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            Node &node = *nodes[i];
            const long kb = node.residentKb();
            peaks[i] = std::max(peaks[i], kb);
            if (kb > node.memoryMb() * 1024L) {
                NOTE("%s: %ld KB resident, over the limit of %d MB: killed by the platform",
                     node.name().c_str(), kb, node.memoryMb());
                node.signal(SIGKILL);
                while (!node.hasEnded())
                    sleepFor(0.01);
            } else if (node.hasEnded()) {
                NOTE("%s: ended by itself, status %d", node.name().c_str(), node.endStatus());
            } else {
                continue;
            }
            ++ends[i];
            sleepFor(0.5);
            if (!node.start())
                finish(exitNotRun);
        }
        if (now() >= nextLine) {
            NOTE("resident %ld and %ld KB; sent %ld, answered %ld, refused %ld, cut %ld, wrong %ld",
                 nodes[0]->residentKb(), nodes[1]->residentKb(), g_sent.load(), g_answered.load(),
                 g_refused.load(), g_cut.load(), g_wrong.load());
            nextLine += 2;
        }
        if (ends[0] >= maxEnds && ends[1] >= maxEnds)
            break;
        sleepFor(0.05);
    }
    g_isOver = true;
    NOTE("processes ended %d and %d times; peak resident memory %ld and %ld KB of %d KB", ends[0],
         ends[1], peaks[0], peaks[1], memoryMb * 1024);
    NOTE("requests sent %ld, answered %ld, refused %ld, cut %ld, wrong %ld", g_sent.load(),
         g_answered.load(), g_refused.load(), g_cut.load(), g_wrong.load());
    sleepFor(0.5);
    NOTE("lookups of other callers: answered %d, run at sound targets and ended without an answer "
         "%d",
         g_othersAnswered.load(), g_othersLost.load());
    if (g_answered == 0 || g_othersAnswered == 0)
        finish(exitNotRun);
    finish(g_othersLost > allowedLosses ? exitBroken : exitHeld);
}
