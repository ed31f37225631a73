#include "edge/EdgeServer.h"

#include <utility>
#include <vector>

namespace basildeck {

EdgeServer::EdgeServer(EventLoop &loop, RequestHandler handler, MemoryBudget &memory)
    : m_context{ loop, std::move(handler), {}, memory, false, 0, {} }
    , m_timer(loop, [this] { tick(); })
    , m_memoryTimer(loop, [this] { checkMemoryWaits(); })
{
    m_context.onMemoryWait = [this] { m_memoryTimer.startRepeating(memoryCheckPeriod); };
    m_timer.startRepeating(tickPeriod);
}

EdgeServer::~EdgeServer() = default;

Result<std::unique_ptr<EdgeServer>> EdgeServer::make(EventLoop &loop, const Address &address,
                                                     RequestHandler handler, MemoryBudget &memory)
{
    std::unique_ptr<EdgeServer> server(new EdgeServer(loop, std::move(handler), memory));
    EdgeServer *self = server.get();
    BOOST_OUTCOME_TRY(listener,
                      TcpListener::make(loop, address, [self](int fd) { self->accept(fd); }));
    server->m_listener = std::move(listener);
    return server;
}

void EdgeServer::accept(int descriptor)
{
    const std::uint64_t id = m_nextConnectionId++;
    m_connections[id] = std::make_unique<CallerConnection>(m_context, descriptor, [this, id] {
        const auto found = m_connections.find(id);
        if (found == m_connections.end())
            return;
        m_context.loop.deleteLater(std::move(found->second));
        m_connections.erase(found);
    });
}

void EdgeServer::tick()
{
    const Time now = m_context.loop.now();
    for (CallerConnection *connection : openConnections())
        connection->tick(now);
}

void EdgeServer::checkMemoryWaits()
{
    const Time now = m_context.loop.now();
    for (CallerConnection *connection : openConnections())
        connection->checkMemoryWait(now);
    if (m_context.memoryWaits == 0)
        m_memoryTimer.stop();
}

std::vector<CallerConnection *> EdgeServer::openConnections() const
{
    std::vector<CallerConnection *> connections;
    for (const auto &[id, connection] : m_connections)
        connections.push_back(connection.get());
    return connections;
}

std::size_t EdgeServer::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, connection] : m_connections)
        bytes += connection->unsentBytes();
    return bytes;
}

void EdgeServer::stopAccepting()
{
    m_listener.reset();
    closeAfterResponses();
    for (CallerConnection *connection : openConnections())
        connection->stopAcceptingRequests(m_context.loop.now());
}

} // namespace basildeck
