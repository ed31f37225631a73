#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace basildeck {

// The UDP socket and the TCP sockets of one VM's peer address.
//
// TCP carries one exchange per connection: a frame with the request, then a frame with the answer,
// each after its length in four bytes, most significant first.
class PeerSockets
{
public:
    using ExchangeId = std::uint64_t;

    static constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;
    static constexpr Duration exchangeTimeout = seconds(5);

    struct Events
    {
        std::function<void(std::string_view bytes)> onDatagram;
        // Returns the answer to a request frame.
        std::function<std::string(std::string_view request)> onRequest;
        // The answer of an exchange that this VM started; empty if it failed.
        std::function<void(ExchangeId id, std::string_view answer)> onAnswer;
    };

    static std::unique_ptr<PeerSockets> make(const Address &address, Events events);
    ~PeerSockets();
    PeerSockets(const PeerSockets &) = delete;
    PeerSockets &operator=(const PeerSockets &) = delete;

    // Sends a datagram. A datagram that cannot be sent is lost, as on the network.
    void sendDatagram(const Address &to, std::string_view bytes);
    // Starts an exchange. Its event follows later.
    ExchangeId startExchange(const Address &to, std::string_view request);

    // Waits for events and handles them.
    void serve(milliseconds wait);
    // Ends a wait. May be called by any thread.
    void wake();

    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    struct Connection
    {
        int descriptor = -1;
        ExchangeId exchange = 0; // 0: accepted
        std::string in;
        std::string out;
        std::size_t sent = 0;
        Time expires;
        bool answered = false;
    };

    explicit PeerSockets(Events events)
        : m_events(std::move(events))
    {}
    void readDatagrams();
    void acceptConnections();
    bool readConnection(Connection &connection);
    bool writeConnection(Connection &connection);
    bool handleFrame(Connection &connection);
    void closeConnection(int descriptor);
    void dropExpired(Time now);

    Events m_events;
    int m_udp = -1;
    int m_tcp = -1;
    int m_wake = -1;
    std::map<int, Connection> m_connections; // by descriptor
    ExchangeId m_nextExchange = 1;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace basildeck
