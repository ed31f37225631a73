// A request that crashes each target that begins to run it, and comes again at any machine. Little
// other traffic.

#include "Rig.h"

namespace {

constexpr int targetCount = 24;
constexpr double downSeconds = 3;     // a crashed target is back after some seconds
constexpr double entryLifetime = 4.5; // three check-in intervals
constexpr double repeatSeconds = 1.5; // between the caller's attempts
constexpr double duration = 75;
constexpr double stableWindow = 4;
constexpr int allowedRetries = 3; // sent later than that after the third crash
constexpr double otherRequestsPeriod = 0.5;

struct Arrival
{
    double at;
    std::string id;
};

std::mutex g_mutex;
std::vector<Arrival> g_arrivals; // of the request that crashes targets
std::vector<double> g_crashes;
std::atomic<bool> g_isOver{ false };
std::atomic<int> g_othersSent{ 0 };
std::atomic<int> g_othersAnswered{ 0 };

// A place at which a target runs, again and again.
class Place
{
public:
    Place(rig::Store &store, int number, rig::Address address, bool mayCrash)
        : m_store(store)
        , m_number(number)
        , m_address(std::move(address))
        , m_mayCrash(mayCrash)
    {}
    bool start()
    {
        ++m_incarnation;
        m_target = std::make_unique<rig::Target>(
                m_store, "desk", "a-1", 4,
                [this](rig::Target &target, const rig::Message &request) {
                    return run(target, request);
                });
        return m_target->start(
                "i-" + std::to_string(m_number) + "-" + std::to_string(m_incarnation), m_address);
    }
    // Restarts the target if it has crashed, and removes entries of those that are silent.
    void tick()
    {
        const double at = rig::now();
        if (m_hasCrashed.exchange(false)) {
            m_target->crash();
            m_backAt = at + downSeconds;
            m_old.emplace_back(m_target->id(), at + entryLifetime);
            m_ended.push_back(std::move(m_target));
        }
        if (m_backAt > 0 && at >= m_backAt) {
            m_backAt = 0;
            start();
        }
        while (!m_old.empty() && at >= m_old.front().second) {
            m_store.remove("servers", m_old.front().first);
            m_old.pop_front();
        }
    }

private:
    std::string run(rig::Target &target, const rig::Message &request)
    {
        const std::string id = request.field("Request-Id");
        if (request.word(1) != "/transfer/odd") {
            rig::sleepFor(0.05);
            return rig::makeResponse(request, 200, "ok\n");
        }
        const double at = rig::now();
        NOTE("target %s begins to run the odd request %s", target.id().c_str(), id.c_str());
        {
            const std::lock_guard lock(g_mutex);
            g_arrivals.push_back({ at, id });
            if (m_mayCrash)
                g_crashes.push_back(at);
        }
        if (!m_mayCrash)
            return rig::makeResponse(request, 200, "ok\n");
        m_hasCrashed = true;
        while (m_hasCrashed && !g_isOver)
            rig::sleepFor(0.002);
        return {};
    }

    rig::Store &m_store;
    int m_number;
    rig::Address m_address;
    bool m_mayCrash;
    int m_incarnation = 0;
    std::unique_ptr<rig::Target> m_target;
    std::vector<std::unique_ptr<rig::Target>> m_ended;
    std::deque<std::pair<std::string, double>> m_old;
    std::atomic<bool> m_hasCrashed{ false };
    double m_backAt = 0;
};

int ask(const rig::Node &node, const std::string &path, const std::string &id)
{
    rig::Channel channel(rig::connectTo(node.front()));
    const std::string body = "tank 7 to tank 9\n";
    if (!channel.isOpen()
        || !channel.write("POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id
                          + "\r\nDeadline-Ms: 1500\r\nContent-Length: "
                          + std::to_string(body.size()) + "\r\n\r\n" + body))
        return 0;
    const auto answer = channel.read(rig::now() + 1.5);
    return answer ? answer->status() : 0;
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
                      { "affinity", true },
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
    std::vector<std::unique_ptr<Place>> places;
    for (int i = 0; i < targetCount; ++i) {
        places.push_back(std::make_unique<Place>(
                store, i, Address{ options.subnet + std::to_string(100 + i), 8080 },
                options.isTroubled));
        if (!places.back()->start())
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
    sleepFor(5);
    std::thread others([&] {
        for (int i = 0; !g_isOver; ++i) {
            ++g_othersSent;
            if (ask(*nodes[i % 2], "/transfer/" + std::to_string(i), newRequestId()) == 200)
                ++g_othersAnswered;
            sleepFor(otherRequestsPeriod);
        }
    });
    std::thread caller([&] {
        for (int i = 0; !g_isOver; ++i) {
            const std::string id = newRequestId();
            NOTE("the caller sends the odd request %s to %s", id.c_str(),
                 nodes[i / 2 % 2]->name().c_str());
            NOTE("the odd request %s is answered %d", id.c_str(),
                 ask(*nodes[i / 2 % 2], "/transfer/odd", id));
            sleepFor(repeatSeconds);
        }
    });
    const double until = now() + duration;
    while (now() < until) {
        for (const auto &place : places)
            place->tick();
        sleepFor(0.01);
    }
    g_isOver = true;
    caller.join();
    others.join();
    const std::lock_guard lock(g_mutex);
    int late = 0;
    if (g_crashes.size() >= 3) {
        for (const Arrival &arrival : g_arrivals)
            late += arrival.at > g_crashes[2] + stableWindow ? 1 : 0;
    }
    NOTE("the odd request crashed %zu targets; %d retries reached targets later than %.0f s after "
         "the third crash; of %d other requests %d were answered",
         g_crashes.size(), late, stableWindow, g_othersSent.load(), g_othersAnswered.load());
    if (g_arrivals.empty() || g_othersAnswered == 0)
        finish(exitNotRun);
    finish(late > allowedRetries ? exitBroken : exitHeld);
}
