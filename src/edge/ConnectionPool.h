#pragma once

#include "edge/HttpClientConnection.h"

#include <memory>
#include <vector>

namespace basildeck {

// Idle connections to one target.
class ConnectionPool
{
public:
    // Connections are closed this long before the target would close them.
    static constexpr Duration idleMargin = milliseconds(1500);
    // Idle time after which a connection is closed if the target announced none.
    static constexpr Duration defaultIdle = seconds(4);
    static constexpr std::size_t maxIdle = 16;

    ConnectionPool(EventLoop &loop, Address address);
    ~ConnectionPool();

    struct Lease
    {
        std::unique_ptr<HttpClientConnection> connection; // null if no socket can be had
        bool isNew = false;
    };
    // A connection for one exchange, the one used last if there is any.
    Lease take(Time now);
    // Gives a connection back after its exchange.
    void put(std::unique_ptr<HttpClientConnection> connection, Time now);
    void closeIdle(Time now);

private:
    struct Idle
    {
        std::unique_ptr<HttpClientConnection> connection;
        Time until;
    };

    EventLoop &m_loop;
    Address m_address;
    std::vector<Idle> m_idle;
};

} // namespace basildeck
