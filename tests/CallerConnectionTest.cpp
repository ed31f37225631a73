#include "edge/CallerConnection.h"

#include <doctest/doctest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <string>

namespace basildeck {

namespace {

// A connection on a socket pair, with a handler that leaves the request pending.
class ConnectionFixture
{
public:
    ConnectionFixture()
        : m_context{ m_loop, makeHandler(), {}, m_memory, false, 0, {} }
    {
        int ends[2];
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
        m_caller = ends[0];
        m_connection = std::make_unique<CallerConnection>(m_context, ends[1],
                                                          [this] { m_isClosed = true; });
    }

    ~ConnectionFixture() { close(m_caller); }

    void sendRequest()
    {
        const std::string_view bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(write(m_caller, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        m_loop.run(); // until the handler stops the loop
        REQUIRE(m_responseSink);
    }

    // The sink of the last request.
    ResponseSink responseSink() const { return *m_responseSink; }
    std::size_t requestCount() const { return m_requestCount; }

    static void respond(const ResponseSink &sink)
    {
        sink.head("HTTP/1.1 204 No Content\r\n");
        sink.finish(false);
    }

    void respond()
    {
        respond(*m_responseSink);
        m_responseSink.reset();
    }

    // Sends a request without waiting until it is handled, which may not happen.
    void sendWithoutWaiting()
    {
        const std::string_view bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(write(m_caller, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        uv_run(m_loop.handle(), UV_RUN_NOWAIT);
        uv_run(m_loop.handle(), UV_RUN_NOWAIT);
    }

    // The server closes connections after their responses.
    void announceClose() { m_context.closeAfterResponse = true; }

    // As EdgeServer does it.
    void stopAccepting()
    {
        m_context.closeAfterResponse = true;
        m_connection->stopAcceptingRequests(now());
    }

    // Whether the caller's end of the connection has received an end of stream.
    bool callerSeesClose() const
    {
        char bytes[1000];
        ssize_t count = 0;
        do {
            count = recv(m_caller, bytes, sizeof(bytes), 0);
        } while (count > 0);
        return count == 0;
    }

    // Reads what the caller's end of the connection receives until its end, and lets the server
    // write.
    std::string receiveUntilEnd()
    {
        std::string received;
        std::string buffer(100'000, '\0');
        for (;;) {
            const ssize_t count = recv(m_caller, buffer.data(), buffer.size(), 0);
            if (count == 0 || (count < 0 && errno != EAGAIN))
                return received;
            if (count > 0)
                received.append(buffer, 0, static_cast<std::size_t>(count));
            uv_run(m_loop.handle(), UV_RUN_NOWAIT);
        }
    }

    // Whether the connection has reported that it is closed.
    bool isClosed() const { return m_isClosed; }
    CallerConnection &connection() { return *m_connection; }
    Duration idleTimeout() const { return m_context.limits.idleTimeout; }
    Time now() const { return m_loop.now(); }

private:
    RequestHandler makeHandler()
    {
        return { [this](IncomingRequest request) {
                    m_responseSink = std::move(request.sink);
                    ++m_requestCount;
                    m_loop.stop();
                    return m_requestCount;
                },
                 [](const ResponseSink &, ErrorKind) {}, [](std::uint64_t) {},
                 [](std::uint64_t) {} };
    }

    EventLoop m_loop;
    MemoryBudget m_memory{ 1000 };
    CallerContext m_context;
    std::optional<ResponseSink> m_responseSink;
    std::uint64_t m_requestCount = 0;
    int m_caller = -1;
    bool m_isClosed = false;
    std::unique_ptr<CallerConnection> m_connection;
};

} // namespace

TEST_SUITE_BEGIN("caller connection");

// Guards against the failure in nam-gauge-grown, hunt-56e8-11: the idle timeout of 15 s ran from
// the arrival of the last request, but the caller measured it from the response seconds later and
// sent its next request on a connection that was being closed.
TEST_CASE("the idle timeout runs from the end of the last response, not from the last request")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    const Time requestedAt = fixture.now();
    const Duration step = Duration(1);
    // The response must end later than the request arrived.
    while (fixture.now() <= requestedAt + step) {
    }
    fixture.connection().tick(requestedAt + fixture.idleTimeout() * 2);
    CHECK_FALSE(fixture.callerSeesClose()); // the request is pending
    fixture.respond();
    fixture.connection().tick(requestedAt + fixture.idleTimeout() + step);
    CHECK_FALSE(fixture.callerSeesClose());
    fixture.connection().tick(fixture.now() + fixture.idleTimeout() + step);
    CHECK(fixture.callerSeesClose());
}

// Input that arrives after an idle connection is closed must stay unread: otherwise the caller
// could not distinguish it from an accepted request.
TEST_CASE("an idle connection is closed without reading input that arrives meanwhile")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    fixture.respond();
    fixture.connection().stopAcceptingRequests(fixture.now() + CallerConnection::lingerTimeout
                                               + milliseconds(1));
    CHECK(fixture.isClosed());
    CHECK(fixture.callerSeesClose());
}

TEST_CASE("a connection stays open while its last response or a request may be in transit")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    const Time respondedAt = fixture.now();
    fixture.respond();
    fixture.connection().stopAcceptingRequests(respondedAt);
    CHECK_FALSE(fixture.callerSeesClose());
    CHECK_FALSE(fixture.isClosed());
    fixture.connection().tick(fixture.now() + CallerConnection::lingerTimeout + milliseconds(1));
    CHECK(fixture.isClosed());
    CHECK(fixture.callerSeesClose());
}

TEST_CASE("a request behind a response that began before the end of acceptance is read")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    const ResponseSink streamed = fixture.responseSink();
    streamed.head("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n");
    streamed.body("x");
    fixture.stopAccepting();
    streamed.body("y");
    streamed.finish(false);
    CHECK_FALSE(fixture.callerSeesClose());
    fixture.sendWithoutWaiting();
    REQUIRE(fixture.requestCount() == 2);
    fixture.respond();
    CHECK(fixture.callerSeesClose());
}

TEST_CASE("no request is accepted behind a response that announces the close of its connection")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    const ResponseSink first = fixture.responseSink();
    fixture.sendRequest();
    const ResponseSink second = fixture.responseSink();
    fixture.announceClose();
    ConnectionFixture::respond(second); // waits for the first response
    fixture.sendWithoutWaiting();
    CHECK(fixture.requestCount() == 2);
    ConnectionFixture::respond(first);
    CHECK(fixture.callerSeesClose());
}

// Guards against the loss of a complete response that a slow reader has not taken yet: the response
// behind it was cut off, and the connection was reset.
TEST_CASE("a complete response is delivered although the one behind it is cut off")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    const ResponseSink first = fixture.responseSink();
    fixture.sendRequest();
    const ResponseSink second = fixture.responseSink();
    const std::string body(4'000'000, 'a'); // more than the kernel buffers
    const std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: ";
    first.head(begin + std::to_string(body.size()) + "\r\n");
    first.body(body);
    first.finish(false);
    second.head(begin + "10\r\n");
    second.body("part");
    REQUIRE(fixture.connection().unsentBytes() > 0);
    second.abort(false);
    const std::string received = fixture.receiveUntilEnd();
    CHECK(received.find(body) != std::string::npos);
    CHECK(received.ends_with("part"));
}

TEST_CASE("a cut response that the end of its connection delimits resets the connection")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    fixture.responseSink().head("HTTP/1.1 200 OK\r\n");
    fixture.responseSink().body("part");
    fixture.responseSink().abort(true);
    CHECK(fixture.isClosed());
}

TEST_CASE("a request that crosses the end of acceptance is read and its response closes")
{
    ConnectionFixture fixture;
    fixture.sendRequest();
    fixture.respond();
    fixture.stopAccepting();
    fixture.sendRequest();
    CHECK_FALSE(fixture.isClosed());
    fixture.respond();
    CHECK(fixture.callerSeesClose()); // the edge has shut down its sending side
    CHECK_FALSE(fixture.isClosed());  // the response may be in transit
    fixture.connection().tick(fixture.now() + CallerConnection::lingerTimeout + milliseconds(1));
    CHECK(fixture.isClosed());
}

TEST_SUITE_END();

} // namespace basildeck
