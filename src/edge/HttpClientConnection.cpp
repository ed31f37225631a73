#include "edge/HttpClientConnection.h"

#include <array>
#include <charconv>
#include <utility>

namespace basildeck {

namespace {

// Returns the "timeout" parameter of a Keep-Alive header, or zero if there is none.
seconds keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t position = value.find(key);
    if (position == std::string_view::npos)
        return seconds(0);
    const std::string_view digits = value.substr(position + key.size());
    int count = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return seconds(count);
}

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure)
{
    static constexpr std::array<std::string_view, exchangeFailureCount> names
            = { "not-connected",      "lost",           "malformed",
                "invalid-status",     "head-too-large", "framing-too-large",
                "discarded-too-much", "body-too-large" };
    return names.at(static_cast<std::size_t>(failure));
}

bool isInvalidResponse(ExchangeFailure failure)
{
    return failure != ExchangeFailure::NotConnected && failure != ExchangeFailure::Lost;
}

std::unique_ptr<HttpClientConnection> HttpClientConnection::make(EventLoop &loop,
                                                                 const Address &address)
{
    auto stream = TcpStream::connect(loop, address);
    return stream ? std::make_unique<HttpClientConnection>(std::move(stream)) : nullptr;
}

HttpClientConnection::HttpClientConnection(std::unique_ptr<TcpStream> stream)
    : m_stream(std::move(stream))
    , m_parser(HttpParser::MessageType::Response, maxHeadBytes,
               { [this](const MessageHead &head) { handleHead(head); },
                 [this](std::string_view bytes) {
                     if (m_active && !m_discarding)
                         m_exchange.onBody(bytes);
                 },
                 [this] { m_messageComplete = true; } })
{
    m_stream->setCallbacks({ [this] { handleConnected(); },
                             [this](std::string_view bytes) { handleData(bytes); },
                             [this](CloseReason reason) { handleClose(reason); },
                             [this] { handleOutputDrained(); } });
}

void HttpClientConnection::begin(Exchange exchange)
{
    m_exchange = std::move(exchange);
    m_active = true;
    m_messageComplete = false;
    m_hasResponseHead = false;
    m_discardedBytes = 0;
    m_discardedResponses = 0;
    startResponse();
    auto body = std::move(m_exchange.body);
    if (body && body->size() <= TcpStream::maxCopiedBytes)
        m_exchange.request += *std::exchange(body, nullptr); // one packet with the head
    m_stream->writeOwned(std::exchange(m_exchange.request, {}));
    m_stream->writeShared(std::move(body));
    if (m_stream->pendingOutput() == 0)
        handleOutputDrained();
}

void HttpClientConnection::close()
{
    m_active = false;
    m_reusable = false;
    m_stream->close();
}

void HttpClientConnection::setReading(bool reading)
{
    m_stream->setReading(reading);
}

void HttpClientConnection::pauseReadingUntilClosed()
{
    m_stream->pauseReadingUntilClosed();
}

void HttpClientConnection::handleOutputDrained()
{
    if (m_active && m_exchange.onRequestSent)
        m_exchange.onRequestSent();
}

void HttpClientConnection::handleConnected()
{
    m_connected = true;
    if (m_active && m_exchange.onConnected)
        m_exchange.onConnected();
}

void HttpClientConnection::updateKeepAlive(const MessageHead &head)
{
    if (!head.keepAlive || head.isDelimitedByClose)
        m_reusable = false;
    const std::string *keepAlive = head.fields.find("Keep-Alive");
    m_idleTimeout
            = keepAlive == nullptr ? Duration::zero() : Duration(keepAliveTimeout(*keepAlive));
}

void HttpClientConnection::handleHead(const MessageHead &head)
{
    if (head.status / 100 == 1) {
        m_discarding = true;
        return;
    }
    updateKeepAlive(head);
    m_discarding = !m_active || !m_exchange.onHead(head);
    m_hasResponseHead = !m_discarding;
    if (m_discarding)
        m_reusable = false;
}

void HttpClientConnection::startResponse()
{
    m_discarding = false;
    m_parser.reset();
    m_parser.expectNoBody(m_exchange.isHeadRequest);
}

std::optional<ExchangeFailure> HttpClientConnection::inputFailure() const
{
    switch (m_parser.parseError()) {
    case HttpParser::ParseError::Malformed:
        return ExchangeFailure::Malformed;
    case HttpParser::ParseError::InvalidStatus:
        return ExchangeFailure::InvalidStatus;
    case HttpParser::ParseError::HeadTooLarge:
        return ExchangeFailure::HeadTooLarge;
    case HttpParser::ParseError::FramingTooLarge:
        return ExchangeFailure::FramingTooLarge;
    case HttpParser::ParseError::None:
        break;
    }
    if (m_discardedBytes > maxDiscardedBytes || m_discardedResponses > maxDiscardedResponses)
        return ExchangeFailure::DiscardedTooMuch;
    return std::nullopt;
}

void HttpClientConnection::handleData(std::string_view bytes)
{
    if (!m_active) {
        // Unsolicited data: the connection cannot be reused.
        close();
        return;
    }
    while (m_active && !bytes.empty()) {
        const std::size_t consumed = m_parser.feed(bytes);
        bytes.remove_prefix(std::min(consumed, bytes.size()));
        if (!m_active)
            return; // ended by a callback
        if (!m_hasResponseHead)
            m_discardedBytes += consumed;
        if (m_messageComplete && m_discarding)
            ++m_discardedResponses;
        if (const auto failure = inputFailure()) {
            fail(*failure);
            return;
        }
        if (!m_messageComplete)
            continue;
        m_messageComplete = false;
        if (m_discarding) {
            startResponse();
            continue;
        }
        if (!bytes.empty())
            m_reusable = false;
        finish();
        return;
    }
}

void HttpClientConnection::finish()
{
    m_active = false;
    if (!m_reusable)
        m_stream->close();
    // The callback may start the next exchange.
    const Exchange done = std::move(m_exchange);
    done.onComplete();
}

void HttpClientConnection::fail(ExchangeFailure failure)
{
    m_active = false;
    m_reusable = false;
    m_stream->close();
    const Exchange failed = std::move(m_exchange);
    failed.onFailure(failure);
}

void HttpClientConnection::handleClose(CloseReason reason)
{
    m_reusable = false;
    if (!m_active)
        return;
    if (reason == CloseReason::EndOfStream && m_parser.isHeadComplete() && !m_discarding) {
        m_parser.finishInput();
        if (m_messageComplete) {
            finish();
            return;
        }
    }
    fail(m_connected ? ExchangeFailure::Lost : ExchangeFailure::NotConnected);
}

} // namespace basildeck
