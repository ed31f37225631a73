#pragma once

#include "edge/TcpStream.h"

#include <cstdint>
#include <map>
#include <memory>

namespace basildeck::soak {

// What a proxy does to the connections through it.
enum class ProxyMode {
    Pass,
    Delay,    // bytes arrive later
    OneWay,   // bytes towards the server are lost, and so are new connections' requests
    Silent,   // nothing arrives on either side
    ResetAll, // open connections are reset once, new ones pass
    Refuse,   // new connections are reset, open ones are too
};

// A TCP proxy on loopback that harms the connections of one link.
class FaultProxy
{
public:
    static std::unique_ptr<FaultProxy> make(EventLoop &loop, const Address &at, const Address &to);
    ~FaultProxy();

    void setMode(ProxyMode mode);

private:
    struct Link
    {
        std::unique_ptr<TcpStream> near;
        std::unique_ptr<TcpStream> far;
        bool tainted = false; // bytes were lost: the connection cannot be used any more
    };

    FaultProxy(EventLoop &loop, const Address &to)
        : m_loop(loop)
        , m_to(to)
    {}
    void accept(int descriptor);
    void pass(std::uint64_t number, bool towardsServer, std::string_view bytes);
    void deliver(std::uint64_t number, bool towardsServer, const std::string &bytes);
    void end(std::uint64_t number, bool reset);
    void endAll();

    EventLoop &m_loop;
    Address m_to;
    ProxyMode m_mode = ProxyMode::Pass;
    std::unique_ptr<TcpListener> m_listener;
    std::map<std::uint64_t, Link> m_links;
    std::uint64_t m_next = 1;
};

// Calls a function once after a delay.
void callLater(EventLoop &loop, Duration delay, std::function<void()> function);

} // namespace basildeck::soak
