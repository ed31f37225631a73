#include "edge/ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace basildeck {

ConnectionPool::ConnectionPool(EventLoop &loop, Address address)
    : m_loop(loop)
    , m_address(std::move(address))
{}

ConnectionPool::~ConnectionPool()
{
    for (IdleConnection &idle : m_idle) {
        idle.connection->close();
        m_loop.deleteLater(std::move(idle.connection));
    }
}

ConnectionPool::Lease ConnectionPool::acquire(Time now)
{
    while (!m_idle.empty()) {
        IdleConnection idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (idle.connection->isReusable() && now < idle.expiresAt)
            return { std::move(idle.connection), false };
        idle.connection->close();
        m_loop.deleteLater(std::move(idle.connection));
    }
    return { HttpClientConnection::make(m_loop, m_address), true };
}

void ConnectionPool::release(std::unique_ptr<HttpClientConnection> connection, Time now)
{
    const Duration announcedTimeout = connection->idleTimeout();
    const Duration timeout = announcedTimeout == Duration::zero()
                                     ? defaultIdleTimeout
                                     : announcedTimeout - idleTimeoutMargin;
    if (!connection->isReusable() || timeout <= Duration::zero()
        || m_idle.size() >= maxIdleConnections) {
        connection->close();
        m_loop.deleteLater(std::move(connection));
        return;
    }
    m_idle.push_back({ std::move(connection), now + timeout });
}

void ConnectionPool::closeExpired(Time now)
{
    std::erase_if(m_idle, [&](IdleConnection &idle) {
        if (idle.connection->isReusable() && now < idle.expiresAt)
            return false;
        idle.connection->close();
        m_loop.deleteLater(std::move(idle.connection));
        return true;
    });
}

} // namespace basildeck
