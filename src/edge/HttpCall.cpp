#include "edge/HttpCall.h"

#include <utility>

namespace basildeck {

HttpCaller::HttpCaller(EventLoop &loop)
    : m_loop(loop)
    , m_timeout(loop, [this] {
        dropConnection();
        finish(failure(ErrorKind::StoreAnswerLost, "no answer from " + m_address.toString()));
    })
{}

HttpCaller::~HttpCaller()
{
    cancel();
}

void HttpCaller::dropConnection()
{
    if (!m_connection)
        return;
    m_connection->close();
    m_loop.destroyLater(std::move(m_connection));
}

void HttpCaller::cancel()
{
    m_timeout.stop();
    m_done = nullptr;
    dropConnection();
}

void HttpCaller::finish(Result<CallAnswer> result)
{
    m_timeout.stop();
    if (m_connection && !m_connection->isReusable())
        dropConnection();
    const Done done = std::exchange(m_done, nullptr);
    if (done)
        done(std::move(result));
}

void HttpCaller::call(const Address &to, const std::string &method, const std::string &pathAndQuery,
                      const std::string &body, Duration timeout, Done done)
{
    if (m_connection && (to != m_address || !m_connection->isReusable()))
        dropConnection();
    m_address = to;
    m_done = std::move(done);
    m_answer = {};
    if (!m_connection)
        m_connection = HttpClientConnection::make(m_loop, to);
    if (!m_connection) {
        m_loop.defer([this] {
            finish(failure(ErrorKind::StoreUnavailable, "no socket for " + m_address.toString()));
        });
        return;
    }
    std::string request = method + " " + pathAndQuery + " HTTP/1.1\r\nHost: " + to.toString()
                          + "\r\nAccept: application/json\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        request += "Content-Type: application/json\r\nContent-Length: "
                   + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;
    m_timeout.startOnce(timeout);
    m_connection->begin(
            { std::move(request), false,
              [this](const MessageHead &head) {
                  m_answer.status = head.status;
                  return true;
              },
              [this](std::string_view bytes) { m_answer.body.append(bytes); },
              [this] { finish(std::move(m_answer)); },
              [this](ExchangeFailure how) {
                  const bool sent = how != ExchangeFailure::NotConnected;
                  finish(failure(sent ? ErrorKind::StoreAnswerLost : ErrorKind::StoreUnavailable,
                                 m_address.toString() + " "
                                         + std::string(exchangeFailureName(how))));
              } });
}

} // namespace basildeck
