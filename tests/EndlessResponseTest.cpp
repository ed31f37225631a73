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

TEST_SUITE_END();

} // namespace basildeck::test
