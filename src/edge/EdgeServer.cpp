#include "edge/EdgeServer.h"

#include <utility>
#include <vector>

namespace basildeck {

EdgeServer::EdgeServer(EventLoop &loop, RequestHandler handler, std::size_t maxBodyBytes)
    : m_context{ loop, std::move(handler), {}, false, 0, maxBodyBytes }
    , m_timer(loop, [this] { tick(); })
{
    m_timer.startRepeating(tickPeriod);
}

EdgeServer::~EdgeServer() = default;

Result<std::unique_ptr<EdgeServer>> EdgeServer::make(EventLoop &loop, const Address &at,
                                                     RequestHandler handler,
                                                     std::size_t maxBodyBytes)
{
    std::unique_ptr<EdgeServer> server(new EdgeServer(loop, std::move(handler), maxBodyBytes));
    EdgeServer *raw = server.get();
    BOOST_OUTCOME_TRY(listener, TcpListener::make(loop, at, [raw](int fd) { raw->accept(fd); }));
    server->m_listener = std::move(listener);
    return server;
}

void EdgeServer::accept(int descriptor)
{
    const std::uint64_t number = m_nextConnection++;
    m_connections[number]
            = std::make_unique<CallerConnection>(m_context, descriptor, [this, number] {
                  const auto found = m_connections.find(number);
                  if (found == m_connections.end())
                      return;
                  m_context.loop.deleteLater(std::move(found->second));
                  m_connections.erase(found);
              });
}

void EdgeServer::tick()
{
    const Time now = m_context.loop.now();
    for (CallerConnection *connection : connectionList())
        connection->tick(now);
}

std::vector<CallerConnection *> EdgeServer::connectionList() const
{
    std::vector<CallerConnection *> connections;
    for (const auto &[number, connection] : m_connections)
        connections.push_back(connection.get());
    return connections;
}

void EdgeServer::stopAccepting()
{
    m_listener.reset();
    for (CallerConnection *connection : connectionList())
        connection->stopTaking(m_context.loop.now());
}

} // namespace basildeck
