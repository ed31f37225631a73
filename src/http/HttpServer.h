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

// HTTP server for small bodies: a request is held whole before its handler runs, and the handler
// may answer at once or later. All calls are made on the loop's thread.
class HttpServer
{
public:
    using RequestId = std::uint64_t;
    using Handler = std::function<void(RequestId id, const HttpRequest &request)>;

    static constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;

    // Listens on an address of the loop. Returns null if the address is taken.
    static std::unique_ptr<HttpServer> make(LwsLoop &loop, const Address &address, Handler handler);
    ~HttpServer();

    // Answers a request. Ignored if its caller has left.
    void respond(RequestId id, HttpResponse answer);

    // Ends the connection of a request without an answer.
    void drop(RequestId id);

    // Names of headers that are looked up besides the ones that the library knows.
    void setHeaderNames(std::vector<std::string> names) { m_headerNames = std::move(names); }

private:
    struct Pending;

    explicit HttpServer(Handler handler);
    // The library keeps a pointer to it.
    std::string m_name;
    static int callback(lws *connection, int reason, void *user, void *in, std::size_t length);
    int onHead(lws *connection, void *user, std::string_view path);
    int onBody(Pending &pending, std::string_view bytes);
    int onComplete(RequestId id, Pending &pending);
    int onWriteable(lws *connection, RequestId id, Pending &pending);

    Handler m_handler;
    std::vector<std::string> m_headerNames;
    std::unique_ptr<lws_protocols[]> m_protocols;
    std::map<RequestId, std::unique_ptr<Pending>> m_pending;
    RequestId m_nextId = 1;
    bool m_closing = false;
};

} // namespace basildeck
