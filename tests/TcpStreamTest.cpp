#include "edge/TcpStream.h"

#include "standin/RawSocket.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck::test {

namespace {

// More than the buffers of both ends of a connection can take.
constexpr std::size_t longOutputBytes = 32UL * 1024 * 1024;

// A stream whose peer is a raw socket, and what the stream has reported.
class ConnectedStream
{
public:
    ConnectedStream()
        : m_listener(standin::RawListener::make("127.0.0.1", 0))
        , stream(TcpStream::connect(m_loop, m_listener->address()))
    {
        stream->setCallbacks({ [this] { m_isConnected = true; },
                               [this](std::string_view bytes) { received += bytes; },
                               [this](CloseReason reason) { closeReason = reason; }, [] {} });
        peer = m_listener->accept();
        runUntil([this] { return m_isConnected; });
    }

    // Writes more than the peer reads, so that output is pending.
    void writeLongOutput()
    {
        stream->writeOwned(std::string(longOutputBytes, 'o'));
        REQUIRE(stream->pendingOutput() > 0);
    }

    std::optional<CloseReason> awaitClose()
    {
        runUntil([this] { return closeReason.has_value(); });
        return closeReason;
    }

private:
    void runUntil(const std::function<bool()> &isDone)
    {
        const Time deadline = Clock::now() + seconds(10);
        while (!isDone() && Clock::now() < deadline)
            uv_run(m_loop.handle(), UV_RUN_NOWAIT);
    }

    EventLoop m_loop;
    std::unique_ptr<standin::RawListener> m_listener;
    bool m_isConnected = false;

public:
    std::unique_ptr<TcpStream> stream;
    std::unique_ptr<standin::RawSocket> peer;
    std::string received;
    std::optional<CloseReason> closeReason;
};

} // namespace

TEST_SUITE_BEGIN("TCP stream");

TEST_CASE("a reset that a send notices is reported as the end of the peer's stream")
{
    for (const bool isWriting : { false, true }) {
        CAPTURE(isWriting);
        ConnectedStream connection;
        connection.writeLongOutput();
        connection.peer->send("part");
        connection.peer->resetOnClose();
        connection.peer.reset();
        if (isWriting)
            connection.stream->writeOwned("more");
        CHECK(connection.awaitClose() == CloseReason::ConnectionError);
    }
}

TEST_CASE("a reset behind the end of the peer's stream hides that the stream is complete")
{
    for (const bool isWriting : { false, true }) {
        CAPTURE(isWriting);
        ConnectedStream connection;
        connection.writeLongOutput();
        connection.peer->send("whole");
        connection.peer->shutdownWrite();
        // Closing a socket with unread input resets the connection.
        connection.peer.reset();
        if (isWriting)
            connection.stream->writeOwned("more");
        CHECK(connection.awaitClose() == CloseReason::EndOfStream);
        CHECK(connection.received == "whole");
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
