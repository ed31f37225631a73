#include "EdgeFixture.h"

#include <doctest/doctest.h>

#include <thread>

namespace basildeck::test {

using standin::RawSocket;
using standin::readResponse;

namespace {

std::string answer(const std::string &body, const std::string &fields = {}, int status = 200)
{
    return EdgeFixture::sealedResponse("r1", body, fields, status);
}

const std::string rejection = answer("x", "Not-Executed: 1\r\n", 503);

bool isClosed(RawSocket &socket)
{
    return !socket.receive();
}

// An edge with two targets at which usual run times are known. All requests are placed at the first
// target.
class HedgeFixture : public EdgeFixture
{
public:
    explicit HedgeFixture(int hedgePercent = 20)
        : EdgeFixture(2, 4, "vm-1", homeRegion, 0, hedgePercent)
    {
        learnRunTimes();
    }

    // Sends enough requests for the run times at the first target to be known.
    void learnRunTimes()
    {
        for (int i = 0; i < 80; ++i) {
            auto caller = send(i % 2 == 0 ? "/safe/" : "/unsafe/", {});
            awaitRequest(0).socket->send(answer("x", "Connection: close\r\n"));
            REQUIRE(readResponse(*caller));
        }
    }

    std::unique_ptr<RawSocket> send(const std::string &route, const std::string &fields)
    {
        return sendAsCaller(
                request("GET", route, "r1",
                        fields + "Cookie: Affinity-Key=" + objectPlacedAt(route, 0) + "\r\n"));
    }

    void awaitOpenRequests(std::size_t count)
    {
        while (openRequests() != count)
            std::this_thread::yield();
    }

    bool hasMetric(const std::string &line) { return metrics().find(line) != std::string::npos; }
};

// A request with both attempts running.
struct HedgedRequest
{
    explicit HedgedRequest(HedgeFixture &fixture, const std::string &fields = {}, int hedges = 1)
        : caller(fixture.send("/safe/", fields))
        , first(std::move(fixture.awaitRequest(0).socket))
    {
        const Time sentAt = Clock::now();
        while (!fixture.hasMetric("hedges_started_total{route=\"/safe/\"} "
                                  + std::to_string(hedges)))
            REQUIRE(Clock::now() - sentAt < seconds(2));
        second = std::move(fixture.awaitRequest(1).socket);
    }

    std::unique_ptr<RawSocket> caller;
    std::unique_ptr<RawSocket> first;
    std::unique_ptr<RawSocket> second;
};

} // namespace

TEST_SUITE_BEGIN("hedged requests");

// Guards against a response that is sent twice or mixed from two attempts, and against a loser that
// goes on at its target.
TEST_CASE("one attempt answers, the other one is cancelled and its late response discarded")
{
    for (const bool isSecondFaster : { false, true }) {
        HedgeFixture fixture;
        HedgedRequest request(fixture);
        auto &winner = isSecondFaster ? request.second : request.first;
        auto &loser = isSecondFaster ? request.first : request.second;
        loser->send(answer("lost").substr(0, 60));
        winner->send(answer("won", "X-From: winner\r\n"));
        const auto response = readResponse(*request.caller);
        REQUIRE(response);
        CHECK(response->complete);
        CHECK(response->body == "won");
        CHECK(response->head.header("x-from") == "winner");
        CHECK(response->head.header("response-seal") == "s.r1");
        CHECK(isClosed(*loser));
        loser->send(answer("lost").substr(60));
        fixture.awaitOpenRequests(0);
        CHECK(fixture.hasMetric("hedges_won_total{route=\"/safe/\"} "
                                + std::to_string(isSecondFaster ? 1 : 0)));
        // The next response on the connection is that of the next request.
        request.caller->send(EdgeFixture::request("GET", "/nowhere/", "r2"));
        CHECK(readResponse(*request.caller)->head.status() == 404);
    }
}

TEST_CASE("a long response of the second attempt is streamed, and whole unless it is cut off")
{
    const std::string body(5'000'000, 'b');
    const std::string bytes = answer(body);
    for (const bool isCutOff : { false, true }) {
        HedgeFixture fixture;
        HedgedRequest request(fixture);
        std::thread target([&] {
            request.second->send(isCutOff ? bytes.substr(0, 200'000) : bytes);
            if (isCutOff)
                request.second.reset();
        });
        const auto response = readResponse(*request.caller);
        target.join();
        REQUIRE(response);
        CHECK(response->complete != isCutOff);
        CHECK((response->body == body) != isCutOff);
        CHECK(isClosed(*request.first));
        fixture.awaitOpenRequests(0);
    }
}

// Guards against a hedge whose failure the caller notices although the first attempt is sound.
TEST_CASE("a second attempt that fails ends silently")
{
    for (const std::string &failure :
         { std::string(), rejection, answer("x", {}, 500), answer("x", {}, 99) }) {
        HedgeFixture fixture;
        HedgedRequest request(fixture);
        request.second->send(failure);
        request.second.reset();
        fixture.awaitOpenRequests(1);
        request.first->send(answer("first"));
        CHECK(readResponse(*request.caller)->body == "first");
    }
}

TEST_CASE("when the first attempt fails, the second one goes on alone")
{
    for (const std::string &failure : { std::string(), rejection, answer("x", {}, 99) }) {
        HedgeFixture fixture;
        HedgedRequest request(fixture);
        request.first->send(failure);
        request.first.reset();
        std::this_thread::sleep_for(milliseconds(20));
        SUBCASE("and answers")
        {
            request.second->send(answer("second"));
            CHECK(readResponse(*request.caller)->body == "second");
        }
        SUBCASE("and fails: the caller gets a refusal at once, which does not deny a run")
        {
            const Time failedAt = Clock::now();
            request.second.reset();
            const auto response = readResponse(*request.caller);
            REQUIRE(response);
            CHECK(response->head.status() == 502);
            CHECK(response->head.header("basildeck-run") == "unknown");
            // Well before the route's timeout.
            CHECK(Clock::now() - failedAt < milliseconds(1000));
        }
        fixture.awaitOpenRequests(0);
    }
}

// Guards against runs that are cancelled but still count as in flight: then the third request would
// find no capacity at the second target.
TEST_CASE("both attempts are cancelled when the request ends without them")
{
    enum class End { Disconnected, Deadline, Leaving };
    HedgeFixture fixture;
    int hedges = 0;
    for (const End end : { End::Disconnected, End::Deadline, End::Leaving }) {
        // A run that ends at its deadline raises the expected run time a thousandfold, so the next
        // second attempt would start late.
        fixture.learnRunTimes();
        HedgedRequest request(fixture, end == End::Deadline ? "Basildeck-Timeout-Ms: 1500\r\n" : "",
                              ++hedges);
        if (end == End::Leaving)
            fixture.endRequests();
        if (end == End::Disconnected)
            request.caller.reset();
        else
            CHECK(readResponse(*request.caller)->head.status() == 504);
        CHECK(isClosed(*request.first));
        CHECK(isClosed(*request.second));
        fixture.awaitOpenRequests(0);
    }
}

// Guards against a second run of a request that must run at most once, and against any effect of
// hedging where the operator has not enabled it.
TEST_CASE("no second attempt is made of a request that may not be repeated, or by default")
{
    for (const std::string route : { "/safe/", "/unsafe/" }) {
        HedgeFixture fixture(route == "/unsafe/" ? HedgePolicy::maxPercent : 0);
        auto caller = fixture.send(route, {});
        auto received = fixture.awaitRequest(0);
        // Far above the run times of the requests before.
        std::this_thread::sleep_for(milliseconds(700));
        CHECK(fixture.openRequests() == 1);
        received.socket->send(answer("first"));
        CHECK(readResponse(*caller)->body == "first");
        CHECK_FALSE(fixture.hasMetric("hedges"));
    }
}

// Guards against a response that begins with the part that a failed first attempt left.
TEST_CASE("the part of a cut first attempt is sent while the second attempt runs")
{
    HedgeFixture fixture;
    const std::string body(200'000, 'b');
    const std::string whole = answer(body);
    const auto request = [&](const std::string &route, const std::string &id) {
        return EdgeFixture::request("GET", route, id,
                                    "Cookie: Affinity-Key=" + fixture.objectPlacedAt(route, 0)
                                            + "\r\n");
    };
    auto caller = fixture.sendAsCaller(request("/unsafe/", "r0") + request("/safe/", "r1"));
    auto earlier = fixture.awaitRequest(0);
    auto cut = fixture.awaitRequest(0);
    if (earlier.head.header("request-id") == "r1")
        std::swap(earlier, cut);
    auto second = fixture.awaitRequest(1);
    cut.socket->send(whole.substr(0, whole.size() / 2));
    cut.socket.reset();
    while (!fixture.hasMetric("basildeck_target_failures_total{how=\"lost\"}"))
        std::this_thread::yield();
    earlier.socket->send(EdgeFixture::sealedResponse("r0", "zero"));
    REQUIRE(readResponse(*caller)->body == "zero");
    second.socket->send(whole);
    const auto response = readResponse(*caller);
    REQUIRE(response);
    CHECK(response->complete);
    CHECK((response->body == body));
}

TEST_SUITE_END();

} // namespace basildeck::test
