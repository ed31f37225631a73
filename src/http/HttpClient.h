#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"
#include "http/HttpMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

struct lws;
struct lws_protocols;
struct lws_vhost;

namespace basildeck {

class LwsLoop;

// HTTP client for small bodies. One connection serves one request. All calls are made on the
// loop's thread; each call of send() leads to exactly one call of its function.
class HttpClient
{
public:
    using Done = std::function<void(Result<HttpResponse> answer)>;

    static std::unique_ptr<HttpClient> make(LwsLoop &loop);
    ~HttpClient();

    // Sends a request. The errors are ConnectFailed (nothing was sent), UpstreamTimeout and
    // UpstreamLost (the request may have been run).
    void send(const Address &address, HttpRequest request, milliseconds timeout, Done done);

    // Ends the requests whose timeout has passed. Called at each tick.
    void expire(Time now);

    // Names of answer headers to keep.
    void setHeaderNames(std::vector<std::string> names) { m_headerNames = std::move(names); }

private:
    struct Exchange;

    explicit HttpClient(LwsLoop &loop);
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int dispatch(lws *connection, Exchange &exchange, int reason, void *in, std::size_t length);
    static int appendHeaders(lws *connection, const Exchange &exchange, void *in,
                             std::size_t length);
    static int writeBody(lws *connection, Exchange &exchange);
    int onHead(lws *connection, Exchange &exchange);
    int onReadable(lws *connection, Exchange &exchange);
    void finish(std::uint64_t id, Result<HttpResponse> answer);

    LwsLoop &m_loop;
    lws_vhost *m_vhost = nullptr;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::vector<std::string> m_headerNames;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::uint64_t m_nextId = 1;
};

} // namespace basildeck
