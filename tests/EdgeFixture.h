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

// An edge on its own thread, with raw listeners as targets whose behaviour the test scripts.
class EdgeFixture
{
public:
    // The timeout of the route /prompt/, whose latency objective is much shorter.
    static constexpr int shortObjectiveTimeoutMs = 8000;
    static constexpr const char *key = "alpha-key";
    static constexpr const char *lowQuotaKey = "beta-key"; // of an organisation with little quota

    // The region to which requests on the route /homed/ are bound.
    static constexpr const char *homeRegion = "north";

    explicit EdgeFixture(std::size_t targetCount = 1, int slots = 4, const std::string &vm = "vm-1",
                         const std::string &region = homeRegion, std::size_t memoryBytes = 0,
                         int hedgePercent = 0);
    ~EdgeFixture();
    EdgeFixture(const EdgeFixture &) = delete;
    EdgeFixture &operator=(const EdgeFixture &) = delete;

    // Connects as a caller and sends bytes.
    std::unique_ptr<standin::RawSocket> sendAsCaller(const std::string &bytes);
    standin::RawListener &target(std::size_t index) { return *m_listeners.at(index); }
    // Stops the edge from accepting requests, and waits until that has taken effect.
    void stopAccepting();
    std::size_t openRequests();
    // What the edge holds for callers and targets, and how often it paused reading.
    std::size_t heldMemory();
    std::uint64_t memoryPauses(MemoryUse use);
    // Tells the forwarder that the process received SIGTERM.
    void beginShutdown(const ShutdownSchedule &schedule);
    // Ends the open requests as at the end of a shutdown.
    void endRequests();
    // Where this edge takes requests from other VMs, and itself as their peer.
    ForwardingPeer asPeer() const;
    void setPartitioned(bool isPartitioned);
    void setForwardingPeers(std::vector<ForwardingPeer> peers);
    std::string peerMetrics();
    std::string metrics();
    // Changes the limit on the bodies of callers, and of other VMs.
    void setMaxBodyBytes(std::size_t bytes);
    // The edge knows another configuration from now on, without the route of a prefix.
    void removeRoute(const std::string &prefix);
    // Sets how long ago the store confirmed the configuration. Returns the refusals for a reason
    // that were counted as by an old configuration until then.
    std::uint64_t setConfigAge(std::optional<Duration> age, Duration oldAge, ErrorKind reason);
    // Sets whether another VM grants a loan of one quota token per organisation when the edge
    // requests tokens, in the same loop iteration.
    void setLoansGranted(bool granted);
    // The targets report their speed, and these VMs coordinate the access to them.
    void usePermits(const std::vector<std::string> &coordinators);
    // The value of a metric of the access to targets, and the messages to other VMs.
    int accessMetric(const std::string &name);
    std::vector<AccessMessage> accessMessages();
    void receive(const AccessMessage &message);
    // A request as received by a target.
    struct TargetRequest
    {
        std::unique_ptr<standin::RawSocket> socket;
        standin::RawHead head;
    };
    TargetRequest awaitRequest(std::size_t index = 0);

    // Returns the target at which an object of a route is placed, and an object placed at a target.
    std::size_t targetOf(const std::string &route, const std::string &object) const;
    std::string objectPlacedAt(const std::string &route, std::size_t target) const;

    // Returns a request with a key and an id. Each additional field ends with CRLF.
    static std::string request(const std::string &method, const std::string &path,
                               const std::string &id, const std::string &fields = {},
                               const std::string &body = {});
    // Returns a target's response with a seal.
    static std::string sealedResponse(const std::string &id, const std::string &body,
                                      const std::string &fields = {}, int status = 200);

private:
    FleetConfig makeConfig() const;
    void runCommand();
    std::uint64_t submit(IncomingRequest request);
    // Runs a function on the loop's thread and waits for it.
    void runOnLoop(std::function<void()> command);

    EventLoop m_loop;
    EdgeSettings m_settings;
    WireNames m_names;
    std::unique_ptr<TargetTable> m_targets;
    std::unique_ptr<Forwarder> m_forwarder;
    std::unique_ptr<EdgeServer> m_server;
    std::unique_ptr<EdgeServer> m_peerServer;
    std::vector<std::unique_ptr<standin::RawListener>> m_listeners;
    Address m_address;
    Address m_peerAddress;
    std::unique_ptr<DescriptorWatcher> m_pipeWatch;
    int m_pipe[2] = { -1, -1 };
    std::function<void()> m_command;
    bool m_loansGranted = false;
    std::vector<AccessMessage> m_accessMessages;
    std::promise<void> m_commandDone;
    std::thread m_thread;
};

} // namespace basildeck::test
