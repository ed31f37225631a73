#include "EdgeFixture.h"

#include <doctest/doctest.h>

namespace basildeck::test {

using standin::RawResponse;
using standin::readResponse;

namespace {

RawResponse completeResponse(standin::RawSocket &socket)
{
    const auto response = readResponse(socket);
    REQUIRE(response);
    REQUIRE(response->complete);
    return *response;
}

} // namespace

TEST_SUITE_BEGIN("edge shutdown");

TEST_CASE("a request that arrives 3 s after SIGTERM is refused and not passed on")
{
    EdgeFixture fixture;
    const Time now = Clock::now();
    fixture.beginShutdown(ShutdownSchedule::make(now - seconds(3), seconds(6)));
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "late", {}, "x"));
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 503);
    CHECK(response.head.header("basildeck-refusal") == "leaving");
    CHECK(response.head.header("request-id") == "late");
    CHECK(fixture.openRequests() == 0);
}

TEST_CASE("a request that crosses the end of acceptance on an idle connection is answered")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto received = fixture.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("r1", "x"));
    CHECK(completeResponse(*caller).body == "x");
    const Time now = Clock::now();
    fixture.beginShutdown({ now, now, now, now + seconds(60), now + seconds(60) });
    fixture.stopAccepting();
    caller->send(EdgeFixture::request("POST", "/unsafe/", "r2", {}, "order"));
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 503);
    CHECK(response.head.header("request-id") == "r2");
    CHECK(response.head.header("connection") == "close");
    CHECK_FALSE(caller->receive());
}

TEST_CASE("a queued request is not passed on when the shutdown is about to end requests")
{
    EdgeFixture fixture(1, 1);
    auto first = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r1"));
    auto running = fixture.awaitRequest();
    auto second = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r2"));
    while (fixture.openRequests() < 2) {
    }
    const Time now = Clock::now();
    fixture.beginShutdown({ now, now, now + seconds(60), now, now + seconds(60) });
    running.socket->send(EdgeFixture::sealedResponse("r1", "x"));
    CHECK(completeResponse(*first).body == "x");
    CHECK(completeResponse(*second).head.status() == 503);
}

TEST_CASE("a response that is being streamed goes on when the remaining requests are ended")
{
    EdgeFixture fixture;
    const std::string half(Forwarder::maxBufferedResponseBytes * 2, 'x');
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto received = fixture.awaitRequest();
    const std::string response = EdgeFixture::sealedResponse("r1", half + half);
    received.socket->send(response.substr(0, response.size() - half.size()));
    REQUIRE(standin::readHead(*caller));
    fixture.endRequests();
    received.socket->send(half);
    while (caller->buffer().size() < 2 * half.size() && caller->receive()) {
    }
    CHECK(caller->buffer().size() == 2 * half.size());
}

TEST_CASE("a request that cannot end before the shutdown does is refused and not cut off")
{
    EdgeFixture fixture;
    const Time now = Clock::now();
    fixture.beginShutdown({ now - seconds(3), now, now + seconds(60), now, now + seconds(60) });
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "long"));
    CHECK(completeResponse(*caller).head.status() == 503);
    CHECK(fixture.openRequests() == 0);
}

TEST_SUITE_END();

} // namespace basildeck::test
