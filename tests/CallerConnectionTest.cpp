#include "edge/CallerConnection.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <optional>

namespace basildeck {

namespace {

// A connection of a caller on a socket pair, with a handler that leaves its request open.
class ConnectionWorld
{
public:
    ConnectionWorld()
        : m_context{ m_loop, makeHandler(), {}, false, 0, 1000 }
    {
        int ends[2];
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
        m_caller = ends[0];
        m_connection = std::make_unique<CallerConnection>(m_context, ends[1],
                                                          [this] { m_hasEnded = true; });
    }

    ~ConnectionWorld() { close(m_caller); }

    void takeRequest()
    {
        const std::string_view bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(write(m_caller, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        m_loop.run(); // until the handler stops it
        REQUIRE(m_open);
    }

    void answer()
    {
        m_open->head("HTTP/1.1 204 No Content\r\n");
        m_open->finish(false);
        m_open.reset();
    }

    // Whether the caller finds the connection ended.
    bool isEnded() const
    {
        char bytes[1000];
        ssize_t count = 0;
        do {
            count = recv(m_caller, bytes, sizeof(bytes), 0);
        } while (count > 0);
        return count == 0;
    }

    // Whether the edge has let go of it.
    bool hasEnded() const { return m_hasEnded; }
    CallerConnection &connection() { return *m_connection; }
    Duration idleTimeout() const { return m_context.limits.idleTimeout; }
    Time now() const { return m_loop.now(); }

private:
    RequestHandler makeHandler()
    {
        return { [this](IncomingRequest request) {
                    m_open = std::move(request.sink);
                    m_loop.stop();
                    return 1;
                },
                 [](const ResponseSink &, ErrorKind) {}, [](std::uint64_t) {},
                 [](std::uint64_t) {} };
    }

    EventLoop m_loop;
    CallerContext m_context;
    std::optional<ResponseSink> m_open;
    int m_caller = -1;
    bool m_hasEnded = false;
    std::unique_ptr<CallerConnection> m_connection;
};

} // namespace

TEST_SUITE_BEGIN("caller connection");

// nam-gauge-grown, hunt-56e8-11: a connection was closed idle 15 s after its last request had come,
// while the caller counted from the answer seconds later and sent the next one.
TEST_CASE("a connection is idle from the end of its last answer, not from its last request")
{
    ConnectionWorld world;
    world.takeRequest();
    const Time requested = world.now();
    const Duration step = Duration(1);
    while (world.now() <= requested + step) { // the answer ends later than the request came
    }
    world.connection().tick(requested + world.idleTimeout() * 2);
    CHECK_FALSE(world.isEnded()); // the request is open
    world.answer();
    world.connection().tick(requested + world.idleTimeout() + step);
    CHECK_FALSE(world.isEnded());
    world.connection().tick(world.now() + world.idleTimeout() + step);
    CHECK(world.isEnded());
}

// What comes after the close of an idle connection must not be read: the caller could not tell it
// from a request that was taken.
TEST_CASE("an idle connection is closed without reading what crosses the close")
{
    ConnectionWorld world;
    world.takeRequest();
    world.answer();
    world.connection().stopAcceptingRequests(world.now() + CallerConnection::lingerTimeout
                                             + milliseconds(1));
    CHECK(world.hasEnded());
    CHECK(world.isEnded());
}

TEST_CASE("an answer that may be on its way is awaited before a connection is closed")
{
    ConnectionWorld world;
    world.takeRequest();
    const Time answered = world.now();
    world.answer();
    world.connection().stopAcceptingRequests(answered);
    CHECK(world.isEnded()); // by the end of our stream
    CHECK_FALSE(world.hasEnded());
    world.connection().tick(world.now() + CallerConnection::lingerTimeout + milliseconds(1));
    CHECK(world.hasEnded());
}

TEST_SUITE_END();

} // namespace basildeck
