#include "EdgeFixture.h"

#include <doctest/doctest.h>

#include <thread>

namespace basildeck::test {

using standin::RawResponse;
using standin::readResponse;

namespace {

// An edge with two targets at which usual run times are known. All requests are placed at the first
// target.
class HedgeFixture : public EdgeFixture
{
public:
    static constexpr int warmUpRequests = 40;

    explicit HedgeFixture(int hedgePercent = 20)
        : EdgeFixture(2, 4, "vm-1", homeRegion, hedgePercent)
    {
        for (const std::string route : { "/safe/", "/unsafe/" }) {
            for (int i = 0; i < warmUpRequests; ++i) {
                auto caller = sendSlow(route, "w");
                auto received = awaitRequest(0);
                received.socket->send(sealedResponse("w", "x", "Connection: close\r\n"));
                REQUIRE(readResponse(*caller));
            }
        }
    }

    std::unique_ptr<standin::RawSocket> sendSlow(const std::string &route, const std::string &id,
                                                 const std::string &fields = {})
    {
        return sendAsCaller(
                request("GET", route, id,
                        fields + "Cookie: Affinity-Key=" + objectPlacedAt(route, 0) + "\r\n"));
    }

    // Returns the value of a counter of the route /safe/, 0 if there is none.
    long counter(const std::string &name)
    {
        const std::string text = metrics();
        const std::string line = "\nbasildeck_hedges_" + name + "{route=\"/safe/\"} ";
        const std::size_t at = text.find(line);
        return at == std::string::npos ? 0 : std::stol(text.substr(at + line.size()));
    }

    bool awaitCounter(const std::string &name, long value)
    {
        for (int i = 0; i < 2000; ++i) {
            if (counter(name) >= value)
                return true;
            std::this_thread::sleep_for(milliseconds(1));
        }
        return false;
    }

    void awaitNoRequests()
    {
        while (openRequests() != 0)
            std::this_thread::yield();
    }
};

// A request with both attempts running.
struct HedgedRequest
{
    explicit HedgedRequest(HedgeFixture &fixture, const std::string &fields = {})
        : caller(fixture.sendSlow("/safe/", "r1", fields))
        , first(fixture.awaitRequest(0))
    {
        REQUIRE(fixture.awaitCounter("started_total", 1));
        second = fixture.awaitRequest(1);
        CHECK(second.head.startLine == first.head.startLine);
        CHECK(second.head.header("request-id") == "r1");
    }

    std::unique_ptr<standin::RawSocket> caller;
    EdgeFixture::TargetRequest first;
    EdgeFixture::TargetRequest second;
};

} // namespace

TEST_SUITE_BEGIN("hedged requests");

// Guards against a response that is sent twice or mixed from two attempts, and against a loser that
// goes on at its target.
TEST_CASE("the second attempt answers and the first one is cancelled")
{
    HedgeFixture fixture;
    HedgedRequest request(fixture);
    request.second.socket->send(EdgeFixture::sealedResponse("r1", "second", "X-From: 2\r\n"));
    const auto response = readResponse(*request.caller);
    REQUIRE(response);
    CHECK(response->complete);
    CHECK(response->body == "second");
    CHECK(response->head.header("x-from") == "2");
    CHECK(response->head.header("response-seal") == "s.r1");
    CHECK_FALSE(request.first.socket->receive());
    CHECK(fixture.counter("won_total") == 1);
    CHECK(fixture.counter("wasted_ms_total") >= 10);
    // The late response of the loser reaches nobody: the next one is that of the next request.
    request.first.socket->send(EdgeFixture::sealedResponse("r1", "late"));
    request.caller->send(EdgeFixture::request(
            "GET", "/safe/", "r2",
            "Cookie: Affinity-Key=" + fixture.objectPlacedAt("/safe/", 0) + "\r\n"));
    auto next = fixture.awaitRequest(0);
    next.socket->send(EdgeFixture::sealedResponse("r2", "next"));
    CHECK(readResponse(*request.caller)->body == "next");
    fixture.awaitNoRequests();
}

TEST_CASE("the first attempt answers and the second one is cancelled")
{
    HedgeFixture fixture;
    HedgedRequest request(fixture);
    request.first.socket->send(EdgeFixture::sealedResponse("r1", "first"));
    CHECK(readResponse(*request.caller)->body == "first");
    CHECK_FALSE(request.second.socket->receive());
    CHECK(fixture.counter("won_total") == 0);
    fixture.awaitNoRequests();
}

TEST_CASE("a long response of the second attempt is streamed whole")
{
    HedgeFixture fixture;
    HedgedRequest request(fixture);
    // Half a response of the loser was buffered.
    const std::string half = EdgeFixture::sealedResponse("r1", std::string(50'000, 'a'));
    request.first.socket->send(half.substr(0, half.size() / 2));
    const std::string body(5'000'000, 'b');
    std::thread target(
            [&] { request.second.socket->send(EdgeFixture::sealedResponse("r1", body)); });
    const auto response = readResponse(*request.caller);
    target.join();
    REQUIRE(response);
    CHECK(response->complete);
    CHECK(response->body == body);
    CHECK_FALSE(request.first.socket->receive());
    fixture.awaitNoRequests();
}

TEST_CASE("a streamed response of the second attempt that is cut off does not look complete")
{
    HedgeFixture fixture;
    HedgedRequest request(fixture);
    const std::string response = EdgeFixture::sealedResponse("r1", std::string(200'000, 'b'));
    request.second.socket->send(response.substr(0, 100'000));
    REQUIRE(standin::readHead(*request.caller));
    request.second.socket.reset();
    while (request.caller->receive()) {
    }
    CHECK(request.caller->buffer().size() < 200'000);
    fixture.awaitNoRequests();
}

// Guards against a hedge whose failure the caller notices although the first attempt is sound.
TEST_CASE("a second attempt that fails ends silently")
{
    HedgeFixture fixture;
    HedgedRequest request(fixture);
    SUBCASE("lost")
    {
        request.second.socket.reset();
    }
    SUBCASE("rejected")
    {
        request.second.socket->send(
                EdgeFixture::sealedResponse("r1", "x", "Not-Executed: 1\r\n", 503));
    }
    SUBCASE("error of the target")
    {
        request.second.socket->send(EdgeFixture::sealedResponse("r1", "x", {}, 500));
    }
    while (fixture.openRequests() != 1)
        std::this_thread::yield();
    request.first.socket->send(EdgeFixture::sealedResponse("r1", "first"));
    const auto response = readResponse(*request.caller);
    REQUIRE(response);
    CHECK(response->head.status() == 200);
    CHECK(response->body == "first");
    CHECK(fixture.counter("started_total") == 1);
}

TEST_CASE("when the first attempt fails, the second one goes on alone")
{
    for (const bool isRejected : { false, true }) {
        CAPTURE(isRejected);
        HedgeFixture fixture;
        HedgedRequest request(fixture);
        if (isRejected)
            request.first.socket->send(
                    EdgeFixture::sealedResponse("r1", "x", "Not-Executed: 1\r\n", 503));
        else
            request.first.socket.reset();
        std::this_thread::sleep_for(milliseconds(20));
        SUBCASE("and answers")
        {
            request.second.socket->send(EdgeFixture::sealedResponse("r1", "second"));
            CHECK(readResponse(*request.caller)->body == "second");
        }
        SUBCASE("and fails: the caller gets a refusal at once, which does not deny a run")
        {
            const Time failedAt = Clock::now();
            request.second.socket.reset();
            const auto response = readResponse(*request.caller);
            REQUIRE(response);
            CHECK(response->head.status() == 502);
            CHECK(response->head.header("basildeck-run") == "unknown");
            // Well before the route's timeout.
            CHECK(Clock::now() - failedAt < milliseconds(1000));
        }
        fixture.awaitNoRequests();
    }
}

TEST_CASE("both attempts are cancelled when the request ends without them")
{
    HedgeFixture fixture;
    SUBCASE("the caller disconnects")
    {
        HedgedRequest request(fixture);
        request.caller.reset();
        CHECK_FALSE(request.first.socket->receive());
        CHECK_FALSE(request.second.socket->receive());
    }
    SUBCASE("the deadline passes")
    {
        HedgedRequest request(fixture, "Basildeck-Timeout-Ms: 1500\r\n");
        CHECK(readResponse(*request.caller)->head.status() == 504);
        CHECK_FALSE(request.first.socket->receive());
        CHECK_FALSE(request.second.socket->receive());
    }
    SUBCASE("the process ends its requests")
    {
        HedgedRequest request(fixture);
        fixture.endRequests();
        CHECK(readResponse(*request.caller)->head.status() == 504);
        CHECK_FALSE(request.first.socket->receive());
        CHECK_FALSE(request.second.socket->receive());
    }
    fixture.awaitNoRequests();
}

// Guards against a second run of a request that must run at most once, and against any effect of
// hedging where the operator has not enabled it.
TEST_CASE("no second attempt is made of a request that may not be repeated, or by default")
{
    std::string route = "/safe/";
    int percent = 0;
    SUBCASE("not enabled") {}
    SUBCASE("not idempotent")
    {
        route = "/unsafe/";
        percent = HedgePolicy::maxPercent;
    }
    HedgeFixture fixture(percent);
    auto caller = fixture.sendSlow(route, "r1");
    auto received = fixture.awaitRequest(0);
    // Far above the run times of the requests before.
    std::this_thread::sleep_for(milliseconds(700));
    CHECK(fixture.openRequests() == 1);
    received.socket->send(EdgeFixture::sealedResponse("r1", "first"));
    CHECK(readResponse(*caller)->body == "first");
    CHECK(fixture.metrics().find("hedges") == std::string::npos);
}

TEST_SUITE_END();

} // namespace basildeck::test
