#pragma once

#include "edge/HttpClientConnection.h"

#include <memory>
#include <vector>

namespace basildeck {

// Idle connections to one target.
class ConnectionPool
{
public:
    // Connections are closed this long before the idle timeout that the target announced.
    static constexpr Duration idleTimeoutMargin = milliseconds(1500);
    // Used if the target announced no idle timeout.
    static constexpr Duration defaultIdleTimeout = seconds(4);
    static constexpr std::size_t maxIdleConnections = 16;

    ConnectionPool(EventLoop &loop, Address address);
    ~ConnectionPool();

    struct Lease
    {
        std::unique_ptr<HttpClientConnection> connection; // null if connecting failed
        bool isNew = false;
    };
    // Returns the most recently used idle connection, or a new one.
    Lease acquire(Time now);
    // Returns a connection to the pool after its exchange.
    void release(std::unique_ptr<HttpClientConnection> connection, Time now);
    void closeExpired(Time now);

private:
    struct IdleConnection
    {
        std::unique_ptr<HttpClientConnection> connection;
        Time expiresAt;
    };

    EventLoop &m_loop;
    Address m_address;
    std::vector<IdleConnection> m_idle;
};

} // namespace basildeck
