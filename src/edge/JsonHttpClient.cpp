#include "edge/JsonHttpClient.h"

#include "core/Gzip.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace basildeck {

std::optional<std::uint64_t> JsonHttpResponse::numberField(std::string_view name) const
{
    const std::string *text = fields.find(name);
    if (text == nullptr)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *textEnd = text->data() + text->size();
    const auto [end, error] = std::from_chars(text->data(), textEnd, number);
    if (error != std::errc() || end != textEnd)
        return std::nullopt;
    return number;
}

JsonHttpClient::JsonHttpClient(EventLoop &loop)
    : m_loop(loop)
    , m_timeout(loop, [this] {
        closeConnection();
        finish(failure(ErrorKind::StoreAnswerLost, "no response from " + m_address.toString()));
    })
{}

JsonHttpClient::~JsonHttpClient()
{
    cancel();
}

void JsonHttpClient::setTransferTimes(Duration maxIdle, Duration maxTransfer)
{
    m_maxIdle = maxIdle;
    m_maxTransfer = maxTransfer;
}

void JsonHttpClient::closeConnection()
{
    if (!m_connection)
        return;
    m_connection->close();
    m_loop.deleteLater(std::move(m_connection));
}

void JsonHttpClient::cancel()
{
    m_timeout.stop();
    m_onResponse = nullptr;
    closeConnection();
}

void JsonHttpClient::finish(Result<JsonHttpResponse> result)
{
    m_timeout.stop();
    if (m_connection && !m_connection->isReusable())
        closeConnection();
    const ResponseCallback onResponse = std::exchange(m_onResponse, nullptr);
    if (onResponse)
        onResponse(std::move(result));
}

void JsonHttpClient::finishResponse()
{
    const std::string *coding = m_response.fields.find("Content-Encoding");
    if (coding != nullptr && *coding == gzipCoding) {
        auto body = gunzip(m_response.body, maxBodyBytes);
        if (!body) {
            finish(failure(ErrorKind::StoreAnswerLost,
                           m_address.toString() + " sent a compressed response that is invalid"));
            return;
        }
        m_response.body = std::move(*body);
    }
    finish(std::move(m_response));
}

void JsonHttpClient::addToBody(std::string_view bytes)
{
    if (m_maxIdle > Duration::zero()) {
        const Time now = m_loop.now();
        if (m_response.body.empty())
            m_transferEndsAt = now + m_maxTransfer;
        m_timeout.startOnce(std::clamp(m_transferEndsAt - now, Duration::zero(), m_maxIdle));
    }
    if (m_response.body.size() + bytes.size() <= maxBodyBytes) {
        m_response.body.append(bytes);
        return;
    }
    closeConnection();
    finish(failure(ErrorKind::StoreAnswerLost, m_address.toString()
                                                       + " sent a response larger than "
                                                       + std::to_string(maxBodyBytes) + " bytes"));
}

void JsonHttpClient::call(const Address &address, const std::string &method,
                          const std::string &pathAndQuery, const std::string &body,
                          Duration timeout, ResponseCallback onResponse)
{
    if (m_connection && (address != m_address || !m_connection->isReusable()))
        closeConnection();
    m_address = address;
    m_onResponse = std::move(onResponse);
    m_response = {};
    if (!m_connection)
        m_connection = HttpClientConnection::make(m_loop, address);
    if (!m_connection) {
        m_loop.defer([this] {
            finish(failure(ErrorKind::StoreUnavailable,
                           "cannot connect to " + m_address.toString()));
        });
        return;
    }
    std::string request = method + " " + pathAndQuery + " HTTP/1.1\r\nHost: " + address.toString()
                          + "\r\nAccept: application/json\r\n";
    if (m_acceptsGzip)
        request += acceptGzipField;
    if (!body.empty() || method == "POST" || method == "PUT")
        request += "Content-Type: application/json\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    m_timeout.startOnce(timeout);
    m_connection->begin(
            { std::move(request), false,
              [this](const MessageHead &head) {
                  m_response.status = head.status;
                  m_response.fields = head.fields;
                  return true;
              },
              [this](std::string_view bytes) { addToBody(bytes); }, [this] { finishResponse(); },
              [this](ExchangeFailure cause) {
                  const bool wasSent = cause != ExchangeFailure::NotConnected;
                  finish(failure(wasSent ? ErrorKind::StoreAnswerLost : ErrorKind::StoreUnavailable,
                                 m_address.toString() + " "
                                         + std::string(exchangeFailureName(cause))));
              } });
}

} // namespace basildeck
