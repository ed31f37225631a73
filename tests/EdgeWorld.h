#pragma once

#include "edge/EdgeServer.h"
#include "edge/Forwarder.h"
#include "standin/RawSocket.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace basildeck::test {

// An edge on a thread of its own, in front of raw listeners that a test plays as targets.
class EdgeWorld
{
public:
    // Of the route /prompt/, whose objective is a small part of it.
    static constexpr int promptTimeoutMs = 8000;
    static constexpr const char *key = "alpha-key";
    static constexpr const char *poorKey = "beta-key"; // of an organisation without quota

    explicit EdgeWorld(std::size_t targetCount = 1, int slots = 4);
    ~EdgeWorld();
    EdgeWorld(const EdgeWorld &) = delete;
    EdgeWorld &operator=(const EdgeWorld &) = delete;

    // A connection of a caller.
    std::unique_ptr<standin::RawSocket> call(const std::string &bytes);
    standin::RawListener &target(std::size_t index) { return *m_listeners.at(index); }
    // Has the edge take no more requests, and waits until it does.
    void stopAccepting();
    std::size_t openRequests();
    // Whether another VM lends a token of each organisation that the edge has to ask for, in the
    // same turn of the loop.
    void setLent(bool lent);
    // The request that a target gets next on a new connection.
    struct Arrival
    {
        std::unique_ptr<standin::RawSocket> socket;
        standin::RawHead head;
    };
    Arrival arrival(std::size_t index = 0);

    // Which target is the home of an object on a route, and an object that has its home at one.
    std::size_t homeOf(const std::string &route, const std::string &object) const;
    std::string objectAt(const std::string &route, std::size_t target) const;

    // A request with a key and an id. Extra fields end with CRLF each.
    static std::string request(const std::string &method, const std::string &path,
                               const std::string &id, const std::string &fields = {},
                               const std::string &body = {});
    // A sealed answer of a target.
    static std::string answer(const std::string &id, const std::string &body,
                              const std::string &fields = {}, int status = 200);

private:
    FleetConfig makeConfig() const;
    void takeCommand();
    std::uint64_t submit(IncomingRequest request);
    // Runs a function on the thread of the loop.
    void onLoop(std::function<void()> command);

    EventLoop m_loop;
    EdgeSettings m_settings;
    WireNames m_names;
    std::unique_ptr<TargetTable> m_targets;
    std::unique_ptr<Forwarder> m_forwarder;
    std::unique_ptr<EdgeServer> m_server;
    std::vector<std::unique_ptr<standin::RawListener>> m_listeners;
    Address m_address;
    std::unique_ptr<DescriptorWatcher> m_pipeWatch;
    int m_pipe[2] = { -1, -1 };
    std::function<void()> m_command;
    bool m_isLent = false;
    std::promise<void> m_commandDone;
    std::thread m_thread;
};

} // namespace basildeck::test
