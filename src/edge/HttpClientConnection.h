#pragma once

#include "edge/HttpParser.h"
#include "edge/TcpStream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace basildeck {

// Why an exchange ended without a whole answer.
enum class ExchangeFailure {
    NotConnected, // nothing was sent
    Lost,         // the connection ended; the request may have run
    Malformed,    // the bytes are no answer; the request may have run
};

// "not-connected", "lost" or "malformed".
std::string_view exchangeFailureName(ExchangeFailure failure);

// An outgoing HTTP/1.1 connection that carries one exchange at a time.
class HttpClientConnection
{
public:
    // Longest answer head that is read.
    static constexpr std::size_t maxHeadBytes = 64 * 1024;

    struct Exchange
    {
        std::string request; // head and body
        bool answersHead = false;
        // An answer begins. False discards it: it belongs to another request, and the next one on
        // the connection is awaited.
        std::function<bool(const MessageHead &)> head;
        std::function<void(std::string_view)> body;
        // The answer is whole.
        std::function<void()> complete;
        std::function<void(ExchangeFailure)> failed;
    };

    // Starts to connect. Null if no socket can be had.
    static std::unique_ptr<HttpClientConnection> make(EventLoop &loop, const Address &to);
    explicit HttpClientConnection(std::unique_ptr<TcpStream> stream);

    // Starts an exchange on a connection without one.
    void begin(Exchange exchange);
    // Closes the connection without further callbacks.
    void close();
    // Stops and resumes reading the answer.
    void setReading(bool reading);

    // Another exchange may follow.
    bool isReusable() const { return m_reusable && !m_active && m_stream->isOpen(); }
    bool isConnected() const { return m_connected; }
    // Announced in the last answer; zero if nothing was said.
    Duration idleTimeout() const { return m_idleTimeout; }

private:
    void takeBytes(std::string_view bytes);
    void takeHead(const MessageHead &head);
    void takeEnd(CloseReason how);
    void finish();
    void fail(ExchangeFailure failure);
    void noteConnectionFields(const MessageHead &head);

    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    Exchange m_exchange;
    bool m_active = false;
    bool m_connected = false;
    bool m_reusable = true;
    bool m_discarding = false;
    bool m_messageDone = false;
    Duration m_idleTimeout{ 0 };
};

} // namespace basildeck
