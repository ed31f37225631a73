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
    for (Idle &idle : m_idle) {
        idle.connection->close();
        m_loop.destroyLater(std::move(idle.connection));
    }
}

ConnectionPool::Lease ConnectionPool::take(Time now)
{
    while (!m_idle.empty()) {
        Idle idle = std::move(m_idle.back());
        m_idle.pop_back();
        if (idle.connection->isReusable() && now < idle.until)
            return { std::move(idle.connection), false };
        idle.connection->close();
        m_loop.destroyLater(std::move(idle.connection));
    }
    return { HttpClientConnection::make(m_loop, m_address), true };
}

void ConnectionPool::put(std::unique_ptr<HttpClientConnection> connection, Time now)
{
    const Duration announced = connection->idleTimeout();
    const Duration idle = announced == Duration::zero() ? defaultIdle : announced - idleMargin;
    if (!connection->isReusable() || idle <= Duration::zero() || m_idle.size() >= maxIdle) {
        connection->close();
        m_loop.destroyLater(std::move(connection));
        return;
    }
    m_idle.push_back({ std::move(connection), now + idle });
}

void ConnectionPool::closeIdle(Time now)
{
    std::erase_if(m_idle, [&](Idle &idle) {
        if (idle.connection->isReusable() && now < idle.until)
            return false;
        idle.connection->close();
        m_loop.destroyLater(std::move(idle.connection));
        return true;
    });
}

} // namespace basildeck
