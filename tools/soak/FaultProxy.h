#pragma once

#include "edge/TcpStream.h"
#include "soak/SoakBlackHole.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

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

// What a client sees of its connections while the link is cut.
enum class CutMode {
    Hang,  // nothing arrives on them, and new ones are not established
    Reset, // they are reset, and new ones are refused
    Refuse // they live on, but new ones are refused
};

// A TCP proxy on loopback that injects network faults into the connections to one server.
class FaultProxy
{
public:
    static std::unique_ptr<FaultProxy> make(EventLoop &loop, const Address &listenAddress,
                                            const Address &serverAddress);
    ~FaultProxy();

    void setMode(ProxyMode mode);
    void cut(CutMode mode);
    // Ends a cut and passes on what was held back. A connection on which bytes of the client were
    // held back for longer than a kernel sends them again was reset. False if the address is in
    // use.
    bool endCut();

private:
    struct HeldBytes
    {
        bool toServer = false;
        std::string bytes;
    };
    struct ProxiedConnection
    {
        std::unique_ptr<TcpStream> client;
        std::unique_ptr<TcpStream> server;
        bool hasLostBytes = false; // forwards nothing more, because the byte stream has a gap
        bool isHeld = false;       // bytes and the end of the stream are held back
        std::vector<HeldBytes> heldBytes;
        bool closesOnRelease = false;
    };

    FaultProxy(EventLoop &loop, const Address &listenAddress, const Address &serverAddress)
        : m_loop(loop)
        , m_listenAddress(listenAddress)
        , m_serverAddress(serverAddress)
    {}
    bool listen();
    void accept(int descriptor);
    void forward(std::uint64_t connectionId, bool toServer, std::string_view bytes);
    void writeTo(std::uint64_t connectionId, bool toServer, const std::string &bytes);
    void closeConnection(std::uint64_t connectionId, bool reset);
    void hold(std::uint64_t connectionId, bool toServer, std::string_view bytes);
    void resetAll();

    EventLoop &m_loop;
    Address m_listenAddress;
    Address m_serverAddress;
    ProxyMode m_mode = ProxyMode::Forward;
    std::unique_ptr<TcpListener> m_listener;    // null while the link is cut
    std::unique_ptr<SoakBlackHole> m_blackHole; // while connections hang
    std::map<std::uint64_t, ProxiedConnection> m_connections;
    std::uint64_t m_nextConnectionId = 1;
};

// Calls a function once after a delay.
void callLater(EventLoop &loop, Duration delay, std::function<void()> function);
// Cancels the pending calls of callLater. Must be called before their event loop is destroyed.
void cancelCalls();

} // namespace basildeck::soak
