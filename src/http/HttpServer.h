#pragma once

#include "config/Address.h"
#include "http/HttpMessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct lws;
struct lws_protocols;
struct lws_vhost;

namespace basildeck {

class LwsLoop;

// An HTTP server for small bodies. Each request is buffered completely before the handler runs; the
// handler may respond immediately or later. All methods must be called on the loop's thread.
class HttpServer
{
public:
    using RequestId = std::uint64_t;
    using Handler = std::function<void(RequestId id, const HttpRequest &request)>;

    static constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;

    // Listens on an address. Returns null if the address is in use.
    static std::unique_ptr<HttpServer> make(LwsLoop &loop, const Address &address, Handler handler);
    ~HttpServer();

    // Sends the response to a request. Does nothing if its client has disconnected.
    void respond(RequestId id, HttpResponse response);

    // Closes the connection of a request without a response.
    void drop(RequestId id);

    // Sets the names of request headers to store in addition to Authorization.
    void setRequestHeaderNames(std::vector<std::string> names)
    {
        m_requestHeaderNames = std::move(names);
    }

private:
    struct PendingRequest;

    explicit HttpServer(Handler handler);
    // libwebsockets stores a pointer to the name.
    std::string m_vhostName;
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int onHead(lws *connection, void *user, std::string_view path);
    int onBody(PendingRequest &pending, std::string_view bytes);
    int onRequestComplete(RequestId id, PendingRequest &pending);
    int onWriteable(lws *connection, RequestId id, PendingRequest &pending);

    Handler m_handler;
    std::vector<std::string> m_requestHeaderNames;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::map<RequestId, std::unique_ptr<PendingRequest>> m_pendingRequests;
    RequestId m_nextId = 1;
    bool m_closing = false;
};

} // namespace basildeck
