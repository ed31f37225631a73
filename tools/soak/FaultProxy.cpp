#include "soak/FaultProxy.h"

#include <utility>

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
    std::unique_ptr<FaultProxy> proxy(new FaultProxy(loop, listenAddress, serverAddress));
    return proxy->listen() ? std::move(proxy) : nullptr;
}

bool FaultProxy::listen()
{
    auto listener = TcpListener::make(m_loop, m_listenAddress, [this](int fd) { accept(fd); });
    if (!listener)
        return false;
    m_listener = std::move(listener.value());
    return true;
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
    if (connection.isHeld)
        hold(connectionId, toServer, bytes);
    else if (m_mode == ProxyMode::Delay)
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
    if (found->second.isHeld && !reset) {
        found->second.closesOnRelease = true;
        return;
    }
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

void FaultProxy::hold(std::uint64_t connectionId, bool toServer, std::string_view bytes)
{
    m_connections.at(connectionId).heldBytes.push_back({ toServer, std::string(bytes) });
    if (!toServer)
        return;
    callLater(m_loop, TcpStream::unresponsiveTimeout, [this, connectionId] {
        const auto found = m_connections.find(connectionId);
        if (found != m_connections.end() && found->second.isHeld)
            closeConnection(connectionId, true);
    });
}

void FaultProxy::cut(CutMode mode)
{
    m_listener.reset();
    if (mode == CutMode::Reset)
        resetAll();
    if (mode != CutMode::Hang)
        return;
    m_blackHole = SoakBlackHole::make(m_listenAddress);
    for (auto &[id, connection] : m_connections)
        connection.isHeld = true;
}

bool FaultProxy::endCut()
{
    m_blackHole.reset();
    std::vector<std::uint64_t> closedIds;
    for (auto &[id, connection] : m_connections) {
        if (!std::exchange(connection.isHeld, false))
            continue;
        for (const HeldBytes &held : std::exchange(connection.heldBytes, {}))
            writeTo(id, held.toServer, held.bytes);
        if (connection.closesOnRelease)
            closedIds.push_back(id);
    }
    for (const std::uint64_t id : closedIds)
        closeConnection(id, false);
    return listen();
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
