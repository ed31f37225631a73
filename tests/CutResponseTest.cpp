#include "EdgeFixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <tuple>
#include <utility>

namespace basildeck::test {

using standin::RawResponse;

namespace {

RawResponse completeResponse(standin::RawSocket &socket, bool hasBody = true)
{
    const auto response = standin::readResponse(socket, hasBody);
    REQUIRE(response);
    REQUIRE(response->complete);
    return *response;
}

struct CutVariant
{
    std::string method;
    std::string response; // the whole response to r2
    bool isKept;          // the connection had an exchange before
    bool isReset;
};

// Sends all proper prefixes of a response, each followed by the end of its connection.
void checkPrefixes(const CutVariant &variant)
{
    EdgeFixture fixture;
    for (std::size_t cut = 0; cut < variant.response.size(); ++cut) {
        CAPTURE(cut);
        auto caller = fixture.sendAsCaller(
                EdgeFixture::request(variant.method, "/unsafe/", variant.isKept ? "r1" : "r2"));
        auto received = fixture.awaitRequest();
        if (variant.isKept) {
            const bool isHead = variant.method == "HEAD";
            received.socket->send(EdgeFixture::sealedResponse("r1", isHead ? "" : "one"));
            CHECK(completeResponse(*caller, !isHead).head.status() == 200);
            caller->send(EdgeFixture::request(variant.method, "/unsafe/", "r2"));
            REQUIRE(standin::readHead(*received.socket));
        }
        received.socket->send(variant.response.substr(0, cut));
        if (variant.isReset)
            received.socket->resetOnClose();
        received.socket.reset();
        const RawResponse response = completeResponse(*caller, variant.method != "HEAD");
        REQUIRE(response.head.status() == 502);
        REQUIRE(response.head.header("basildeck-run") == "unknown");
        REQUIRE(response.head.header("response-seal").empty());
    }
}

} // namespace

TEST_SUITE_BEGIN("cut response");

TEST_CASE("a response that is cut in its head or body is answered as complete")
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Seal: s\r\n";
    const std::vector<std::pair<std::string, std::string>> responses = {
        { "POST", head + "Content-Length: 12\r\n\r\ntwelve bytes" },
        { "POST", head + "Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n1\r\n!\r\n0\r\n\r\n" },
        { "POST", head + "Connection: close\r\n\r\n" }, // its body may end anywhere
        { "POST", head + "Content-Length: 0\r\n\r\n" },
        { "POST", "HTTP/1.1 204 No Content\r\nRequest-Id: r2\r\nResponse-Seal: s\r\n\r\n" },
        { "POST", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nab" },
        { "HEAD", head + "Content-Length: 12\r\n\r\n" },
    };
    for (const auto &[method, response] : responses) {
        CAPTURE(response);
        for (const bool isKept : { false, true }) {
            CAPTURE(isKept);
            for (const bool isReset : { false, true }) {
                CAPTURE(isReset);
                checkPrefixes({ method, response, isKept, isReset });
            }
        }
    }
}

// Guards against the loss of responses that are due before a long one that is cut off: its
// connection was reset although none of its bytes had been sent.
TEST_CASE("a long response is cut off while an earlier one of its connection is pending")
{
    const std::string cutHead = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Seal: s\r\n"
                                "Content-Length: 200000\r\n\r\n";
    const std::string part(100'000, 'p');
    const auto sendBoth = [](EdgeFixture &fixture, const std::string &second) {
        auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r1") + second);
        auto first = fixture.awaitRequest();
        auto cut = fixture.awaitRequest();
        if (first.head.header("request-id") == "r2")
            std::swap(first, cut);
        return std::tuple(std::move(caller), std::move(first), std::move(cut));
    };

    SUBCASE("it is retried if it is idempotent")
    {
        EdgeFixture fixture(2);
        const std::string object
                = "Cookie: Affinity-Key=" + fixture.objectPlacedAt("/safe/", 0) + "\r\n";
        auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r1", object)
                                           + EdgeFixture::request("GET", "/safe/2", "r2", object));
        auto first = fixture.awaitRequest(0);
        auto cut = fixture.awaitRequest(0);
        if (first.head.header("request-id") == "r2")
            std::swap(first, cut);
        cut.socket->send(cutHead + part);
        cut.socket.reset();
        auto retry = std::async(std::launch::async, [&] { return fixture.target(1).accept(); });
        if (retry.wait_for(std::chrono::seconds(10)) != std::future_status::ready)
            fixture.target(1).stop();
        const auto retried = retry.get();
        REQUIRE(retried);
        CHECK(standin::readHead(*retried)->header("request-id") == "r2");
        retried->send(cutHead + part + part);
        first.socket->send(EdgeFixture::sealedResponse("r1", "one"));
        CHECK(completeResponse(*caller).body == "one");
        CHECK(completeResponse(*caller).body == part + part);
    }

    SUBCASE("it is replaced by a refusal if it is not idempotent")
    {
        EdgeFixture fixture;
        auto [caller, first, cut]
                = sendBoth(fixture, EdgeFixture::request("POST", "/unsafe/", "r2", {}, "x"));
        cut.socket->send(cutHead + part);
        cut.socket.reset();
        while (fixture.openRequests() > 1) {
        }
        first.socket->send(EdgeFixture::sealedResponse("r1", "one"));
        CHECK(completeResponse(*caller).body == "one");
        const RawResponse replaced = completeResponse(*caller);
        CHECK(replaced.head.status() == 502);
        CHECK(replaced.head.header("basildeck-run") == "unknown");
        CHECK(replaced.head.header("response-seal").empty());
    }

    SUBCASE("it is streamed once it is the next one")
    {
        EdgeFixture fixture;
        auto [caller, first, cut] = sendBoth(fixture, EdgeFixture::request("GET", "/safe/2", "r2"));
        cut.socket->send(cutHead + part);
        first.socket->send(EdgeFixture::sealedResponse("r1", "one"));
        CHECK(completeResponse(*caller).body == "one");
        REQUIRE(standin::readHead(*caller));
        while (caller->buffer().size() < part.size())
            REQUIRE(caller->receive());
        cut.socket->send(part);
        while (caller->buffer().size() < 2 * part.size())
            REQUIRE(caller->receive());
        CHECK(caller->buffer() == part + part);
    }
}

// Guards against a response that is made of two: the bytes of the failed attempt were streamed when
// the response became the next one while the retry was still waiting in a queue.
TEST_CASE("the part of a cut response is sent while its retry waits for a target")
{
    EdgeFixture fixture(2, 1);
    const auto objectAt = [&](std::size_t target) {
        return "Cookie: Affinity-Key=" + fixture.objectPlacedAt("/safe/", target) + "\r\n";
    };
    const std::string body(200'000, 'b');
    const std::string whole = EdgeFixture::sealedResponse("r2", body);
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r1", objectAt(1))
                                       + EdgeFixture::request("GET", "/safe/2", "r2", objectAt(0)));
    auto first = fixture.awaitRequest(1);
    auto cut = fixture.awaitRequest(0);
    cut.socket->send(whole.substr(0, whole.size() / 2));
    cut.socket.reset();
    // The only slot of the other target is in use.
    while (fixture.metrics().find("basildeck_retries_total{") == std::string::npos) {
    }
    first.socket->send(EdgeFixture::sealedResponse("r1", "one", "Connection: close\r\n"));
    CHECK(completeResponse(*caller).body == "one");
    auto retried = fixture.awaitRequest(1);
    CHECK(retried.head.header("request-id") == "r2");
    retried.socket->send(whole);
    CHECK((completeResponse(*caller).body == body));
    caller->send(EdgeFixture::request("GET", "/nowhere/", "r3"));
    CHECK(completeResponse(*caller).head.status() == 404);
}

TEST_SUITE_END();

} // namespace basildeck::test
