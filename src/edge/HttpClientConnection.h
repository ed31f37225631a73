#pragma once

#include "edge/TcpStream.h"
#include "http/HttpParser.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// Why an exchange ended without a complete response.
enum class ExchangeFailure {
    NotConnected, // nothing was sent
    // The request may have been executed in all other cases.
    Lost,             // the connection closed
    Malformed,        // the response is not valid HTTP
    InvalidStatus,    // the status is not one from 100 to 599, or is 101
    HeadTooLarge,     // the head of the response exceeds its limits
    FramingTooLarge,  // chunk extensions or trailer exceed their limits
    DiscardedTooMuch, // too many interim responses, or responses to other requests
    BodyTooLarge,     // a body that cannot be passed on yet is too large to be held
};
constexpr std::size_t exchangeFailureCount
        = static_cast<std::size_t>(ExchangeFailure::BodyTooLarge) + 1;

// Returns "not-connected", "lost", "malformed", "head-too-large", and so on.
std::string_view exchangeFailureName(ExchangeFailure failure);

// Whether the peer sent something that is not an acceptable response.
bool isInvalidResponse(ExchangeFailure failure);

// An outgoing HTTP/1.1 connection that handles one exchange at a time.
class HttpClientConnection
{
public:
    // Maximum size of a response head.
    static constexpr std::size_t maxHeadBytes = 64 * 1024;
    // Maximum size and number of the interim responses, and responses to other requests, that are
    // discarded during an exchange.
    static constexpr std::size_t maxDiscardedBytes = 2 * 1024 * 1024;
    static constexpr int maxDiscardedResponses = 100;

    struct Exchange
    {
        std::string request; // head, or head and body
        bool isHeadRequest = false;
        // Called when a response head has arrived. Returning false discards the response because
        // it belongs to another request; the connection then waits for the next one.
        std::function<bool(const MessageHead &)> onHead;
        std::function<void(std::string_view)> onBody;
        // Called when the response is complete.
        std::function<void()> onComplete;
        std::function<void(ExchangeFailure)> onFailure;
        // Called when the connection on which the exchange waits is established.
        std::function<void()> onConnected = {};
        // Sent after the head. May be null.
        std::shared_ptr<const std::string> body = {};
        // Called when the kernel has taken the whole request.
        std::function<void()> onRequestSent = {};
    };

    // Starts connecting. Returns null if no socket can be created or the connect fails at once.
    static std::unique_ptr<HttpClientConnection> make(EventLoop &loop, const Address &address);
    explicit HttpClientConnection(std::unique_ptr<TcpStream> stream);

    // Starts an exchange. The previous one must have ended.
    void begin(Exchange exchange);
    // Closes the connection without further callbacks.
    void close();
    // Pauses or resumes reading the response.
    void setReading(bool reading);
    // Pauses reading the response until setReading() or until the peer closes the connection.
    void pauseReadingUntilClosed();

    // Whether another exchange may be started.
    bool isReusable() const { return m_reusable && !m_active && m_stream->isOpen(); }
    bool isConnected() const { return m_connected; }
    // The timeout from the Keep-Alive header of the last response; zero if there was none.
    Duration idleTimeout() const { return m_idleTimeout; }

private:
    void handleConnected();
    void handleOutputDrained();
    void handleData(std::string_view bytes);
    void handleHead(const MessageHead &head);
    void handleClose(CloseReason reason);
    void finish();
    void fail(ExchangeFailure failure);
    void updateKeepAlive(const MessageHead &head);
    // Prepares for the next response of the exchange.
    void startResponse();
    // Why the input so far is not acceptable; nothing if it is.
    std::optional<ExchangeFailure> inputFailure() const;

    std::unique_ptr<TcpStream> m_stream;
    HttpParser m_parser;
    Exchange m_exchange;
    bool m_active = false;
    bool m_connected = false;
    bool m_reusable = true;
    bool m_discarding = false;
    bool m_hasResponseHead = false; // of the response that is not discarded
    // During the exchange, before the head of its response is complete.
    std::size_t m_discardedBytes = 0;
    int m_discardedResponses = 0;
    bool m_messageComplete = false;
    Duration m_idleTimeout{ 0 };
};

} // namespace basildeck
