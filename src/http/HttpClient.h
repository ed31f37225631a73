#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"
#include "http/HttpMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct lws;
struct lws_protocols;
struct lws_vhost;

namespace basildeck {

class LwsLoop;

// An HTTP client for small bodies. Each request uses a connection of its own. All methods must be
// called on the loop's thread. Each call of send() results in exactly one call of its handler.
class HttpClient
{
public:
    using ResponseHandler = std::function<void(Result<HttpResponse> response)>;

    static std::unique_ptr<HttpClient> make(LwsLoop &loop);
    ~HttpClient();

    // Sends a request. The possible errors are ConnectFailed (nothing was sent), and
    // UpstreamTimeout and UpstreamLost (the request may have been run).
    void send(const Address &address, HttpRequest request, milliseconds timeout,
              ResponseHandler onResponse);

    // Fails the requests whose timeout has passed. Must be called at each tick.
    void expire(Time now);

    // Sets the names of response headers to store.
    void setResponseHeaderNames(std::vector<std::string> names)
    {
        m_responseHeaderNames = std::move(names);
    }

private:
    struct PendingRequest;

    explicit HttpClient(LwsLoop &loop);
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int dispatch(lws *connection, PendingRequest &pending, int reason, void *in,
                 std::size_t length);
    int receive(lws *connection, PendingRequest &pending, std::string_view bytes);
    // Ends a request with what was received.
    void end(lws *connection, PendingRequest &pending);
    void finish(std::uint64_t id, Result<HttpResponse> response);

    LwsLoop &m_loop;
    lws_vhost *m_vhost = nullptr;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::vector<std::string> m_responseHeaderNames;
    std::map<std::uint64_t, std::unique_ptr<PendingRequest>> m_pendingRequests;
    std::uint64_t m_nextId = 1;
};

} // namespace basildeck
