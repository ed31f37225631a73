#pragma once

#include "edge/TcpStream.h"

#include <cstdint>
#include <map>
#include <memory>

namespace basildeck::soak {

// How a proxy treats the connections through it.
enum class ProxyMode {
    Forward,
    Delay,        // forwards bytes after a delay
    DropToServer, // drops bytes to the server, also those of new connections
    DropAll,      // drops the bytes of both directions
    ResetOnce,    // resets the open connections and forwards new ones
    Refuse,       // resets open and new connections
};

// A TCP proxy on loopback that injects network faults into the connections to one server.
class FaultProxy
{
public:
    static std::unique_ptr<FaultProxy> make(EventLoop &loop, const Address &listenAddress,
                                            const Address &serverAddress);
    ~FaultProxy();

    void setMode(ProxyMode mode);

private:
    struct ProxiedConnection
    {
        std::unique_ptr<TcpStream> client;
        std::unique_ptr<TcpStream> server;
        bool hasLostBytes = false; // forwards nothing more, because the byte stream has a gap
    };

    FaultProxy(EventLoop &loop, const Address &serverAddress)
        : m_loop(loop)
        , m_serverAddress(serverAddress)
    {}
    void accept(int descriptor);
    void forward(std::uint64_t connectionId, bool toServer, std::string_view bytes);
    void writeTo(std::uint64_t connectionId, bool toServer, const std::string &bytes);
    void closeConnection(std::uint64_t connectionId, bool reset);
    void resetAll();

    EventLoop &m_loop;
    Address m_serverAddress;
    ProxyMode m_mode = ProxyMode::Forward;
    std::unique_ptr<TcpListener> m_listener;
    std::map<std::uint64_t, ProxiedConnection> m_connections;
    std::uint64_t m_nextConnectionId = 1;
};

// Calls a function once after a delay.
void callLater(EventLoop &loop, Duration delay, std::function<void()> function);
// Cancels the pending calls of callLater. Must be called before their event loop is destroyed.
void cancelCalls();

} // namespace basildeck::soak
