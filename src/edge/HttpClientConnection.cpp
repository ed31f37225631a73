#include "edge/HttpClientConnection.h"

#include <array>
#include <charconv>

namespace basildeck {

namespace {

// The number behind "timeout=" in a Keep-Alive header; zero if there is none.
seconds keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view key = "timeout=";
    const std::size_t at = value.find(key);
    if (at == std::string_view::npos)
        return seconds(0);
    const std::string_view digits = value.substr(at + key.size());
    int count = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), count);
    return seconds(count);
}

} // namespace

std::string_view exchangeFailureName(ExchangeFailure failure)
{
    static constexpr std::array<std::string_view, 3> names
            = { "not-connected", "lost", "malformed" };
    return names.at(static_cast<std::size_t>(failure));
}

std::unique_ptr<HttpClientConnection> HttpClientConnection::make(EventLoop &loop, const Address &to)
{
    auto stream = TcpStream::connect(loop, to);
    return stream ? std::make_unique<HttpClientConnection>(std::move(stream)) : nullptr;
}

HttpClientConnection::HttpClientConnection(std::unique_ptr<TcpStream> stream)
    : m_stream(std::move(stream))
    , m_parser(HttpParser::MessageType::Response, maxHeadBytes,
               { [this](const MessageHead &head) { takeHead(head); },
                 [this](std::string_view bytes) {
                     if (m_active && !m_discarding)
                         m_exchange.body(bytes);
                 },
                 [this] { m_messageDone = true; } })
{
    m_stream->setCallbacks({ [this] { m_connected = true; },
                             [this](std::string_view bytes) { takeBytes(bytes); },
                             [this](CloseReason how) { takeEnd(how); },
                             {} });
}

void HttpClientConnection::begin(Exchange exchange)
{
    m_exchange = std::move(exchange);
    m_active = true;
    m_messageDone = false;
    m_discarding = false;
    m_parser.reset();
    m_parser.expectNoBody(m_exchange.answersHead);
    m_stream->write(m_exchange.request);
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

void HttpClientConnection::noteConnectionFields(const MessageHead &head)
{
    if (!head.keepAlive || head.isDelimitedByClose)
        m_reusable = false;
    const std::string *keepAlive = head.fields.find("Keep-Alive");
    m_idleTimeout
            = keepAlive == nullptr ? Duration::zero() : Duration(keepAliveTimeout(*keepAlive));
}

void HttpClientConnection::takeHead(const MessageHead &head)
{
    if (head.status / 100 == 1) {
        m_discarding = true;
        return;
    }
    noteConnectionFields(head);
    m_discarding = !m_active || !m_exchange.head(head);
    if (m_discarding)
        m_reusable = false;
}

void HttpClientConnection::takeBytes(std::string_view bytes)
{
    if (!m_active) {
        // Nobody asked for these bytes.
        close();
        return;
    }
    while (m_active && !bytes.empty()) {
        const std::size_t taken = m_parser.feed(bytes);
        bytes.remove_prefix(std::min(taken, bytes.size()));
        if (m_parser.parseError() != HttpParser::ParseError::None) {
            fail(ExchangeFailure::Malformed);
            return;
        }
        if (!m_messageDone)
            continue;
        m_messageDone = false;
        if (m_discarding) {
            m_discarding = false;
            m_parser.reset();
            m_parser.expectNoBody(m_exchange.answersHead);
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
    // The callback may begin the next exchange.
    const Exchange done = std::move(m_exchange);
    done.complete();
}

void HttpClientConnection::fail(ExchangeFailure failure)
{
    m_active = false;
    m_reusable = false;
    m_stream->close();
    const Exchange failed = std::move(m_exchange);
    failed.failed(failure);
}

void HttpClientConnection::takeEnd(CloseReason how)
{
    m_reusable = false;
    if (!m_active)
        return;
    if (how == CloseReason::EndOfStream && m_parser.isHeadComplete() && !m_discarding) {
        m_parser.finishInput();
        if (m_messageDone) {
            finish();
            return;
        }
    }
    fail(m_connected ? ExchangeFailure::Lost : ExchangeFailure::NotConnected);
}

} // namespace basildeck
