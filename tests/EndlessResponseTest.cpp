#include "EdgeFixture.h"

#include <doctest/doctest.h>

namespace basildeck::test {

TEST_SUITE_BEGIN("endless response");

// Bytes that are no answer may come without end, in a head or a body, until the edge closes.
TEST_CASE("endless bytes that are no response are cut off long before the timeout")
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string chunkedHead
            = statusLine + "Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string sealedHead = statusLine
                                   + "Request-Id: r1\r\nResponse-Seal: s\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(16 * 1024, 'x');
    struct Endless
    {
        const char *where;
        std::string head;
        std::string repeated;
    };
    const std::vector<Endless> variants{
        { "status line", "HTTP/1.1 200 ", filler },
        { "field name", statusLine + "X-", filler },
        { "fields", statusLine, "X-Filler: " + filler + "\r\n" },
        { "body without signature", chunkedHead, "4000\r\n" + filler + "\r\n" },
        { "body without length", statusLine + "Request-Id: r1\r\n\r\n", filler },
        { "body of another request's response",
          statusLine + "Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
          "4000\r\n" + filler + "\r\n" },
        { "chunk extension of a sealed response", sealedHead + "5;", filler },
        { "trailer fields of a sealed response", sealedHead + "5\r\nfirst\r\n0\r\n",
          "X-Trailer: " + filler + "\r\n" },
        { "trailer", chunkedHead + "0\r\nX-Trailer: ", filler },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\nX-Filler: " + filler + "\r\n\r\n" },
    };
    for (const Endless &endless : variants) {
        CAPTURE(endless.where);
        EdgeFixture fixture;
        auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
        auto received = fixture.awaitRequest();
        received.socket->send(endless.head);
        constexpr std::size_t maxSentBytes = 16 * 1024 * 1024;
        std::size_t sent = 0;
        while (sent < maxSentBytes && received.socket->send(endless.repeated))
            sent += endless.repeated.size();
        CHECK(sent < maxSentBytes);
        const auto response = standin::readResponse(*caller);
        REQUIRE(response);
        CHECK(response->head.status() == 502);
    }
}

// An attempt that was given up because of its body was completed as well if the end of the response
// had arrived with the same bytes: the caller was answered with status 0 while its retry ran.
TEST_CASE("a response that ends right after it became too large is retried once")
{
    const std::string object = "Cookie: Affinity-Key=3\r\n";
    const auto get = [&](const std::string &id) {
        return EdgeFixture::request("GET", "/safe/" + id, id, object);
    };
    const std::string noSeal = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
    const std::string body(Forwarder::maxUnforwardedBodyBytes + 1, 'x');
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    for (const std::string &response :
         { noSeal + length + body, noSeal + "\r\n" + body,
           noSeal + "Transfer-Encoding: chunked\r\n\r\n40001\r\n" + body + "\r\nno chunk" }) {
        CAPTURE(response.substr(0, 80));
        EdgeFixture fixture(2);
        const std::size_t first = fixture.targetOf("/safe/", "3");
        auto caller = fixture.sendAsCaller(get("r1") + get("r2"));
        auto faulty = fixture.awaitRequest(first);
        auto second = fixture.awaitRequest(first);
        faulty.socket->send(response);
        auto retried = fixture.awaitRequest(1 - first);
        CHECK(retried.socket->send(EdgeFixture::sealedResponse("r1", "one")));
        CHECK(second.socket->send(EdgeFixture::sealedResponse("r2", "two")));
        for (const char *expected : { "one", "two" }) {
            const auto answer = standin::readResponse(*caller);
            REQUIRE(answer);
            CHECK(answer->head.status() == 200);
            CHECK(answer->body == expected);
        }
    }
}

// Only the bytes that are discarded during an exchange were limited: 2 MiB of short responses are
// 80,000, and each response to another request is a line in the log.
TEST_CASE("short responses to other requests keep a VM busy without end")
{
    for (const std::string &discarded :
         { std::string("HTTP/1.1 103 Early Hints\r\n\r\n"),
           std::string("HTTP/1.1 204 No Content\r\nRequest-Id: other\r\n\r\n") }) {
        CAPTURE(discarded);
        EdgeFixture fixture;
        auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
        auto received = fixture.awaitRequest();
        for (int i = 0; i <= HttpClientConnection::maxDiscardedResponses; ++i)
            received.socket->send(discarded);
        const auto response = standin::readResponse(*caller);
        REQUIRE(response);
        CHECK(response->head.status() == 502);
        const std::string metrics = fixture.metrics();
        CHECK(metrics.find("target_failures_total{how=\"discarded-too-much\"} 1")
              != std::string::npos);
    }
}

// Bodies of failures were held without being counted, 256 KiB for each request in flight.
TEST_CASE("failures with long bodies exceed the memory of a VM")
{
    // Little is free above three quarters of the budget, 450,000 bytes, which five bodies exceed.
    constexpr std::size_t memoryBytes = 1'000'000;
    const std::string part(100'000, 'x');
    constexpr std::size_t requestCount = 8;
    constexpr std::size_t heldCount = 4;
    EdgeFixture fixture(requestCount, 4, "vm-1", EdgeFixture::homeRegion, memoryBytes);
    std::vector<std::unique_ptr<standin::RawSocket>> callers;
    std::vector<EdgeFixture::TargetRequest> received;
    for (std::size_t i = 0; i < requestCount; ++i) {
        const std::string id = "r" + std::to_string(i);
        callers.push_back(fixture.sendAsCaller(EdgeFixture::request(
                "POST", "/unsafe/" + id, id,
                "Cookie: Affinity-Key=" + fixture.objectPlacedAt("/unsafe/", i) + "\r\n", "x")));
        received.push_back(fixture.awaitRequest(i));
        received.back().socket->send("HTTP/1.1 500 -\r\nContent-Length: 200000\r\nRequest-Id: " + id
                                     + "\r\n\r\n" + part);
    }
    std::size_t refused = 0;
    for (auto &caller : callers) {
        const auto response = standin::readResponse(*caller);
        REQUIRE(response);
        refused += response->head.status() == 502 ? 1 : 0;
    }
    CHECK(refused >= requestCount - heldCount);
}

TEST_SUITE_END();

} // namespace basildeck::test
