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

// Sends and receives datagrams and request/response exchanges at the peer address of one VM.
//
// Each TCP connection carries one exchange: a frame with the request, then a frame with the
// response. A frame is a 4-byte big-endian length followed by that many bytes.
class PeerSockets
{
public:
    using ExchangeId = std::uint64_t;

    static constexpr std::size_t maxFrameBytes = 16 * 1024 * 1024;
    static constexpr Duration exchangeTimeout = seconds(5);

    struct Callbacks
    {
        std::function<void(std::string_view bytes)> onDatagram;
        // Returns the response to a request.
        std::function<std::string(std::string_view request)> onRequest;
        // Receives the response to an exchange that this VM started; empty if the exchange failed.
        std::function<void(ExchangeId id, std::string_view response)> onResponse;
    };

    // Returns null if the sockets cannot be bound to the address.
    static std::unique_ptr<PeerSockets> make(const Address &address, Callbacks callbacks);
    ~PeerSockets();
    PeerSockets(const PeerSockets &) = delete;
    PeerSockets &operator=(const PeerSockets &) = delete;

    // Best effort: a datagram that cannot be sent is dropped, as the network may drop it.
    void sendDatagram(const Address &to, std::string_view bytes);
    // Starts an exchange. Callbacks::onResponse is called when it ends.
    ExchangeId startExchange(const Address &to, std::string_view request);

    // Waits up to the timeout for events and handles those that are ready.
    void processEvents(milliseconds timeout);
    // Makes processEvents() return early. May be called from any thread.
    void wake();

    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }

private:
    struct Connection
    {
        int descriptor = -1;
        ExchangeId exchangeId = 0; // 0: accepted from a peer, or already completed
        std::string in;
        std::string out;
        std::size_t sent = 0; // bytes of out
        Time deadline;
        bool frameHandled = false;
    };

    explicit PeerSockets(Callbacks callbacks)
        : m_callbacks(std::move(callbacks))
    {}
    void readDatagrams();
    void acceptConnections();
    bool readConnection(Connection &connection);
    bool writeConnection(Connection &connection);
    bool processFrame(Connection &connection);
    void closeConnection(int descriptor);
    void closeExpired(Time now);

    Callbacks m_callbacks;
    int m_udp = -1;
    int m_tcp = -1;
    int m_wake = -1;
    std::map<int, Connection> m_connections; // by descriptor
    ExchangeId m_nextExchange = 1;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
};

} // namespace basildeck
