#pragma once

#include "edge/CallerConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace basildeck {

// Serves HTTP/1.1 at one address.
class EdgeServer
{
public:
    // How often connections are looked at for time-outs.
    static constexpr Duration tickPeriod = milliseconds(500);

    static Result<std::unique_ptr<EdgeServer>>
    make(EventLoop &loop, const Address &at, RequestHandler handler, std::size_t maxBodyBytes);
    ~EdgeServer();

    void setLimits(const CallerLimits &limits) { m_context.limits = limits; }
    // From now on each answer ends its connection.
    void endConnections() { m_context.closing = true; }
    // Takes no more connections and requests. Connections end with their open requests.
    void stopAccepting();
    std::size_t connections() const { return m_connections.size(); }

private:
    EdgeServer(EventLoop &loop, RequestHandler handler, std::size_t maxBodyBytes);
    void accept(int descriptor);
    // A copy, since what is done to a connection may end it.
    std::vector<CallerConnection *> connectionList() const;
    void tick();

    CallerContext m_context;
    std::unique_ptr<TcpListener> m_listener;
    std::map<std::uint64_t, std::unique_ptr<CallerConnection>> m_connections;
    std::uint64_t m_nextConnection = 1;
    Timer m_timer;
};

} // namespace basildeck
