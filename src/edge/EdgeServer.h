#pragma once

#include "edge/CallerConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace basildeck {

// An HTTP/1.1 server at one address.
class EdgeServer
{
public:
    // How often connections are checked for timeouts.
    static constexpr Duration tickPeriod = milliseconds(500);
    // How often it is checked whether bodies that wait for memory may be read.
    static constexpr Duration memoryCheckPeriod = milliseconds(20);

    static Result<std::unique_ptr<EdgeServer>> make(EventLoop &loop, const Address &address,
                                                    RequestHandler handler, MemoryBudget &memory);
    ~EdgeServer();

    void setLimits(const CallerLimits &limits) { m_context.limits = limits; }
    // Closes each connection after its current responses.
    void closeAfterResponses() { m_context.closeAfterResponse = true; }
    // Accepts no more connections, and closes the open ones: after the responses to their requests,
    // or once no further request can be in transit.
    void stopAccepting();
    std::size_t connectionCount() const { return m_connections.size(); }
    // Output of all connections that the kernel has not taken yet.
    std::size_t unsentBytes() const;

private:
    EdgeServer(EventLoop &loop, RequestHandler handler, MemoryBudget &memory);
    void accept(int descriptor);
    // Returns a copy, because iterating may close and remove connections.
    std::vector<CallerConnection *> openConnections() const;
    void tick();
    // Continues or refuses the bodies that wait for memory.
    void checkMemoryWaits();

    CallerContext m_context;
    std::unique_ptr<TcpListener> m_listener;
    std::map<std::uint64_t, std::unique_ptr<CallerConnection>> m_connections;
    std::uint64_t m_nextConnectionId = 1;
    Timer m_timer;
    Timer m_memoryTimer; // active while bodies wait for memory
};

} // namespace basildeck
