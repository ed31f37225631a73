#include "soak/FaultProxy.h"

namespace basildeck::soak {

namespace {

constexpr Duration forwardingDelay = milliseconds(120);

std::map<std::uint64_t, std::unique_ptr<Timer>> &pendingCalls()
{
    static std::map<std::uint64_t, std::unique_ptr<Timer>> calls;
    return calls;
}

} // namespace

void callLater(EventLoop &loop, Duration delay, std::function<void()> function)
{
    static std::uint64_t nextNumber = 0;
    const std::uint64_t number = nextNumber++;
    auto timer = std::make_unique<Timer>(loop, [&loop, number, function = std::move(function)] {
        const auto call = pendingCalls().find(number);
        loop.deleteLater(std::move(call->second));
        pendingCalls().erase(call);
        function();
    });
    timer->startOnce(delay);
    pendingCalls()[number] = std::move(timer);
}

void cancelCalls()
{
    pendingCalls().clear();
}

std::unique_ptr<FaultProxy> FaultProxy::make(EventLoop &loop, const Address &listenAddress,
                                             const Address &serverAddress)
{
    std::unique_ptr<FaultProxy> proxy(new FaultProxy(loop, serverAddress));
    auto listener = TcpListener::make(loop, listenAddress,
                                      [raw = proxy.get()](int fd) { raw->accept(fd); });
    if (!listener)
        return nullptr;
    proxy->m_listener = std::move(listener.value());
    return proxy;
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::accept(int descriptor)
{
    auto client = std::make_unique<TcpStream>(m_loop, descriptor, false);
    auto server
            = m_mode == ProxyMode::Refuse ? nullptr : TcpStream::connect(m_loop, m_serverAddress);
    if (!server) {
        client->reset();
        return;
    }
    const std::uint64_t connectionId = m_nextConnectionId++;
    client->setCallbacks(
            { {},
              [this, connectionId](std::string_view bytes) { forward(connectionId, true, bytes); },
              [this, connectionId](CloseReason reason) {
                  closeConnection(connectionId, reason == CloseReason::ConnectionError);
              },
              {} });
    server->setCallbacks(
            { {},
              [this, connectionId](std::string_view bytes) { forward(connectionId, false, bytes); },
              [this, connectionId](CloseReason reason) {
                  closeConnection(connectionId, reason == CloseReason::ConnectionError);
              },
              {} });
    m_connections[connectionId] = { std::move(client), std::move(server), false };
}

void FaultProxy::forward(std::uint64_t connectionId, bool toServer, std::string_view bytes)
{
    ProxiedConnection &connection = m_connections.at(connectionId);
    const bool isLost
            = m_mode == ProxyMode::DropAll || (m_mode == ProxyMode::DropToServer && toServer);
    connection.hasLostBytes = connection.hasLostBytes || isLost;
    if (connection.hasLostBytes)
        return;
    if (m_mode == ProxyMode::Delay)
        callLater(m_loop, forwardingDelay,
                  [this, connectionId, toServer, text = std::string(bytes)] {
                      writeTo(connectionId, toServer, text);
                  });
    else
        writeTo(connectionId, toServer, std::string(bytes));
}

void FaultProxy::writeTo(std::uint64_t connectionId, bool toServer, const std::string &bytes)
{
    const auto found = m_connections.find(connectionId);
    if (found != m_connections.end())
        (toServer ? found->second.server : found->second.client)->write(bytes);
}

void FaultProxy::closeConnection(std::uint64_t connectionId, bool reset)
{
    const auto found = m_connections.find(connectionId);
    if (found == m_connections.end())
        return;
    ProxiedConnection connection = std::move(found->second);
    m_connections.erase(found);
    for (auto *side : { &connection.client, &connection.server }) {
        if (reset)
            (*side)->reset();
        else
            (*side)->close();
        m_loop.deleteLater(std::move(*side));
    }
}

void FaultProxy::resetAll()
{
    while (!m_connections.empty())
        closeConnection(m_connections.begin()->first, true);
}

void FaultProxy::setMode(ProxyMode mode)
{
    m_mode = mode == ProxyMode::ResetOnce ? ProxyMode::Forward : mode;
    if (mode == ProxyMode::ResetOnce || mode == ProxyMode::Refuse)
        resetAll();
}

} // namespace basildeck::soak
