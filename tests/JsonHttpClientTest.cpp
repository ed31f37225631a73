#include "edge/JsonHttpClient.h"

#include "standin/RawSocket.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace basildeck::test {

namespace {

constexpr Duration timeout = milliseconds(200);
constexpr Duration maxTransfer = milliseconds(1000);

// A client whose server sends a response in parts.
class SlowServer
{
public:
    SlowServer()
        : m_listener(standin::RawListener::make("127.0.0.1", 0))
        , client(m_loop)
    {}

    void call()
    {
        client.call(m_listener->address(), "GET", "/", {}, timeout,
                    [this](const Result<JsonHttpResponse> &response) { result = response; });
        std::thread server([&] { m_socket = m_listener->accept(); });
        server.join();
        REQUIRE(m_socket);
        calledAt = m_loop.now();
        send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(responseBytes) + "\r\n\r\n");
    }

    void send(const std::string &bytes) { REQUIRE(m_socket->send(bytes)); }

    // Sends a byte in each half of the time limit for a time, or until there is a result.
    void sendParts(Duration duration)
    {
        const Time end = m_loop.now() + duration;
        while (!result && m_loop.now() < end) {
            send("x");
            const Time next = m_loop.now() + timeout / 2;
            await([&] { return m_loop.now() >= next; });
        }
    }

    void await(const std::function<bool()> &condition)
    {
        while (!result && !condition()) {
            uv_run(m_loop.handle(), UV_RUN_NOWAIT);
            std::this_thread::yield();
        }
    }

    Duration age() const { return m_loop.now() - calledAt; }

    static constexpr std::size_t responseBytes = 1000;

private:
    EventLoop m_loop;
    std::unique_ptr<standin::RawListener> m_listener;
    std::unique_ptr<standin::RawSocket> m_socket;

public:
    JsonHttpClient client;
    std::optional<Result<JsonHttpResponse>> result;
    Time calledAt{};
};

} // namespace

TEST_SUITE_BEGIN("json http client");

// Guards against large responses that are given up at the same point each time, and begun again.
TEST_CASE("a response is given up although parts of it arrive")
{
    SlowServer server;
    server.client.setTransferTimes(timeout, 10 * maxTransfer);
    server.call();
    server.sendParts(3 * timeout);
    CHECK_FALSE(server.result);
    CHECK(server.client.isReceiving());
    server.send(std::string(SlowServer::responseBytes, 'x'));
    server.await([] { return false; });
    REQUIRE(server.result->has_value());
    CHECK(server.result->value().body.size() == SlowServer::responseBytes);
    CHECK_FALSE(server.client.isReceiving());
}

TEST_CASE("a response of which no further part arrives is given up after the idle time")
{
    SlowServer server;
    server.client.setTransferTimes(timeout, 10 * maxTransfer);
    server.call();
    server.sendParts(2 * timeout);
    CHECK_FALSE(server.result);
    server.await([] { return false; });
    CHECK_FALSE(server.result->has_value());
    CHECK(server.age() < 10 * maxTransfer);
}

TEST_CASE("a response whose parts never end is given up after the transfer time")
{
    SlowServer server;
    server.client.setTransferTimes(timeout, maxTransfer);
    server.call();
    server.sendParts(10 * maxTransfer);
    REQUIRE(server.result);
    CHECK_FALSE(server.result->has_value());
    CHECK(server.age() > maxTransfer - timeout);
}

TEST_CASE("a call without transfer times ends at its time limit")
{
    SlowServer server;
    server.call();
    server.sendParts(10 * maxTransfer);
    REQUIRE(server.result);
    CHECK_FALSE(server.result->has_value());
    CHECK(server.age() < maxTransfer + timeout);
}

TEST_SUITE_END();

} // namespace basildeck::test
