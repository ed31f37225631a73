#include "http/LwsLoop.h"
#include "http/UpstreamClient.h"
#include "standin/RawSocket.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <thread>

namespace basildeck::test {

namespace {

struct Outcome
{
    std::optional<int> status;
    std::string body;
    std::optional<AttemptResult> attemptResult;
};

// Sends bytes in response to a request of `entry`.
Outcome respondToEntry(const std::string &bytes, const std::string &method = "GET")
{
    const auto listener = standin::RawListener::make("127.0.0.1", 0);
    const auto loop = LwsLoop::make({});
    Outcome outcome;
    const auto client = UpstreamClient::make(
            *loop,
            { [](UpstreamClient::AttemptId, std::size_t) { return UpstreamClient::BodyPart{}; },
              [&](UpstreamClient::AttemptId, const UpstreamResponseHead &head) {
                  outcome.status = head.status;
              },
              [&](UpstreamClient::AttemptId, std::string_view part) { outcome.body += part; },
              [&](UpstreamClient::AttemptId, AttemptResult result) {
                  outcome.attemptResult = result;
              } });
    std::thread upstream([&] {
        const auto socket = listener->accept();
        if (socket)
            socket->setTimeout(1000);
        if (socket && standin::readHead(*socket) && socket->send(bytes))
            socket->receive(); // until the client closes the connection
    });
    client->startAttempt(listener->address(), { method, "/", "gauge.example", {}, {} });
    const Time deadline = Clock::now() + seconds(5);
    while (!outcome.attemptResult && Clock::now() < deadline)
        loop->serviceOnce();
    listener->stop();
    upstream.join();
    return outcome;
}

std::string response(const std::string &statusLine)
{
    return statusLine + "\r\nContent-Length: 4\r\n\r\nbody";
}

} // namespace

TEST_SUITE_BEGIN("invalid status at entry");

TEST_CASE("an upstream's status 000 reaches the caller through entry")
{
    for (const std::string status : { "000", "099", "100", "103", "20", "600", "101", "2000",
                                      "0200", "+200", "-01", "20x", "200X OK", "" }) {
        for (const std::string method : { "GET", "HEAD" }) {
            CAPTURE(status);
            CAPTURE(method);
            const Outcome outcome = respondToEntry(response("HTTP/1.1 " + status), method);
            CHECK_FALSE(outcome.status);
            CHECK(outcome.body.empty());
            CHECK(outcome.attemptResult == AttemptResult::InvalidResponse);
        }
    }
}

TEST_CASE("entry refuses a status without a reason")
{
    for (const std::string line : { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 299 OK",
                                    "HTTP/1.1 404 Not Found", "HTTP/1.1 599 -" }) {
        CAPTURE(line);
        const Outcome outcome = respondToEntry(response(line));
        CHECK(outcome.status == std::stoi(line.substr(9)));
        CHECK(outcome.body == "body");
        CHECK(outcome.attemptResult == AttemptResult::Complete);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
