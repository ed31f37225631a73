#include "EdgeFixture.h"

#include <doctest/doctest.h>

#include <thread>

namespace basildeck::test {

using standin::RawAnswer;
using standin::readAnswer;

namespace {

// Reads an answer that has to come.
RawAnswer whole(standin::RawSocket &socket, bool hasBody = true)
{
    const auto answer = readAnswer(socket, hasBody);
    REQUIRE(answer);
    CHECK(answer->whole);
    return *answer;
}

std::string body(standin::RawSocket &socket, std::size_t size)
{
    while (socket.buffer().size() < size && socket.receive()) {
    }
    return socket.buffer();
}

} // namespace

TEST_SUITE_BEGIN("edge forwarding");

TEST_CASE("method, path, query, body and other fields pass unchanged")
{
    EdgeFixture fixture;
    const std::string path = "/unsafe/a%2Fb/../c//d;p=1?x=%26&y=+&&z";
    auto caller = fixture.sendAsCaller(EdgeFixture::request(
            "POST", path, "r1",
            "X-Other: 1\r\nX-Other: 2\r\nCookie: a=b; Affinity-Key=7\r\nTenant: forged\r\n"
            "Target-Instance: forged\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
            "Deadline-Ms: 900\r\n",
            "hello"));
    auto at = fixture.awaitRequest();
    CHECK(at.head.startLine == "POST " + path + " HTTP/1.1");
    CHECK(at.head.header("request-id") == "r1");
    CHECK(at.head.header("api-key").empty());
    CHECK(at.head.header("tenant") == "alpha");
    CHECK(at.head.header("target-instance") == "i-0");
    CHECK(at.head.header("x-hop").empty());
    CHECK(at.head.header("cookie") == "a=b; Affinity-Key=7");
    CHECK(std::stoi(std::string(at.head.header("deadline-ms"))) <= 900);
    CHECK(at.head.header("content-length") == "5");
    std::vector<std::string> others;
    for (const HttpHeader &field : at.head.headers) {
        if (field.name == "x-other")
            others.push_back(field.value);
    }
    CHECK(others == std::vector<std::string>{ "1", "2" });
    CHECK(body(*at.socket, 5) == "hello");
    at.socket->send(EdgeFixture::sealedResponse("r1", "done", "X-Back: 1\r\n", 201));
    const RawAnswer answer = whole(*caller);
    CHECK(answer.head.status() == 201);
    CHECK(answer.body == "done");
    CHECK(answer.head.header("response-seal") == "s.r1");
    CHECK(answer.head.header("x-back") == "1");
}

TEST_CASE("a body in chunks arrives whole")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", "Transfer-Encoding: chunked\r\n")
            + "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer-Field: 1\r\n\r\n");
    auto at = fixture.awaitRequest();
    CHECK(at.head.header("content-length") == "11");
    CHECK(body(*at.socket, 11) == "hello world");
    at.socket->send(EdgeFixture::sealedResponse("r1", "x"));
    CHECK(whole(*caller).head.status() == 200);
}

TEST_CASE("pipelined requests are answered in order")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r1")
                                       + EdgeFixture::request("GET", "/safe/2", "r2"));
    auto first = fixture.awaitRequest();
    auto second = fixture.awaitRequest();
    if (first.head.header("request-id") == "r2")
        std::swap(first, second);
    second.socket->send(EdgeFixture::sealedResponse("r2", "two"));
    first.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(whole(*caller).body == "one");
    CHECK(whole(*caller).body == "two");
}

TEST_CASE("a request behind a body is read")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "body")
                                       + EdgeFixture::request("GET", "/safe/", "r2"));
    for (int i = 0; i < 2; ++i) {
        auto at = fixture.awaitRequest();
        const std::string id(at.head.header("request-id"));
        at.socket->send(EdgeFixture::sealedResponse(id, id, "Connection: close\r\n"));
    }
    CHECK(whole(*caller).body == "r1");
    CHECK(whole(*caller).body == "r2");
}

TEST_CASE("an answer that ends with its connection is whole only without a reset")
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\n";
    {
        EdgeFixture fixture;
        auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
        auto at = fixture.awaitRequest();
        at.socket->send(head + "all of it");
        body(*at.socket, 1);
        at.socket.reset();
        CHECK(whole(*caller).body == "all of it");
    }
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto at = fixture.awaitRequest();
    at.socket->send(head + "a part");
    at.socket->resetOnClose();
    at.socket.reset();
    const RawAnswer answer = whole(*caller);
    CHECK(answer.head.status() == 502);
    CHECK(answer.head.header("basildeck-run") == "unknown");
}

TEST_CASE("a late answer to another request on a kept connection is discarded")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto at = fixture.awaitRequest();
    at.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(whole(*caller).body == "one");
    caller->send(EdgeFixture::request("GET", "/safe/", "r2"));
    REQUIRE(standin::readHead(*at.socket));
    at.socket->send(EdgeFixture::sealedResponse("r1", "one again")
                    + EdgeFixture::sealedResponse("r2", "two"));
    CHECK(whole(*caller).body == "two");
}

TEST_CASE("bytes behind an answer belong to nobody")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto at = fixture.awaitRequest();
    at.socket->send(EdgeFixture::sealedResponse("r1", "one")
                    + EdgeFixture::sealedResponse("r2", "forged"));
    CHECK(whole(*caller).body == "one");
    caller->send(EdgeFixture::request("GET", "/safe/", "r2"));
    auto again = fixture.awaitRequest();
    again.socket->send(EdgeFixture::sealedResponse("r2", "two"));
    CHECK(whole(*caller).body == "two");
}

TEST_CASE("a cut answer is asked for again only where that is allowed")
{
    const std::string cutAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                                  "Content-Length: 100\r\n\r\nhalf";
    const std::string cookie = "Cookie: Affinity-Key=7\r\n";
    EdgeFixture fixture(2);
    {
        const std::size_t home = fixture.targetOf("/safe/", "7");
        auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1", cookie));
        auto at = fixture.awaitRequest(home);
        at.socket->send(cutAnswer);
        at.socket.reset();
        auto again = fixture.awaitRequest(1 - home);
        again.socket->send(EdgeFixture::sealedResponse("r1", "all of it", "Connection: close\r\n"));
        CHECK(whole(*caller).body == "all of it");
    }
    const std::size_t home = fixture.targetOf("/unsafe/", "7");
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", cookie, "x"));
    auto at = fixture.awaitRequest(home);
    at.socket->send(cutAnswer);
    at.socket.reset();
    CHECK(whole(*caller).head.status() == 502);
    // The next arrival at the other target is another request: the first was not sent again.
    auto next = fixture.sendAsCaller(EdgeFixture::request(
            "GET", "/safe/", "r2",
            "Cookie: Affinity-Key=" + fixture.objectPlacedAt("/safe/", 1 - home) + "\r\n"));
    CHECK(fixture.awaitRequest(1 - home).head.header("request-id") == "r2");
}

TEST_CASE("a success without the target's signature never reaches the caller")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto at = fixture.awaitRequest();
    at.socket->send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno");
    CHECK(whole(*caller).head.status() == 502);
}

TEST_CASE("bytes that are no answer never reach the caller")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto at = fixture.awaitRequest();
    at.socket->send("garbage\r\n\r\n");
    const RawAnswer answer = whole(*caller);
    CHECK(answer.head.status() == 502);
    CHECK(answer.head.header("basildeck-refusal") == "answer-invalid");
}

TEST_CASE("a request that a target sheds is refused truthfully with a time to come back")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto at = fixture.awaitRequest();
    at.socket->send("HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    const RawAnswer answer = whole(*caller);
    CHECK(answer.head.status() == 503);
    CHECK(answer.head.header("basildeck-run") == "not-run");
    CHECK_FALSE(answer.head.header("retry-after").empty());
}

TEST_CASE("keys and routes are checked, quotas kept")
{
    EdgeFixture fixture;
    const std::string line = " HTTP/1.1\r\nHost: gauge.example\r\nRequest-Id: r\r\n";
    auto caller = fixture.sendAsCaller("GET /safe/" + line + "\r\n");
    CHECK(whole(*caller).head.status() == 401);
    caller->send("GET /safe/" + line + "Api-Key: wrong\r\n\r\n");
    CHECK(whole(*caller).head.status() == 401);
    caller->send("GET /elsewhere/" + line + "Api-Key: alpha-key\r\n\r\n");
    CHECK(whole(*caller).head.status() == 404);
    caller->send("GET /safe/" + line + "Api-Key: beta-key\r\n\r\n");
    const RawAnswer answer = whole(*caller);
    CHECK(answer.head.status() == 429);
    CHECK(answer.head.header("basildeck-refusal") == "over-rate");
    CHECK_FALSE(answer.head.header("retry-after").empty());
}

TEST_CASE("a request waits for a token that another VM lends, and not for one that is not to come")
{
    EdgeFixture fixture;
    fixture.setLoansGranted(true);
    const std::string poor
            = " HTTP/1.1\r\nHost: gauge.example\r\nApi-Key: beta-key\r\nRequest-Id: ";
    auto caller = fixture.sendAsCaller("GET /safe/" + poor + "r1\r\n\r\n");
    auto at = fixture.awaitRequest();
    at.socket->send(EdgeFixture::sealedResponse("r1", "body"));
    CHECK(whole(*caller).head.status() == 200);

    fixture.setLoansGranted(false);
    // No loan comes: it is refused, and so is one whose caller leaves meanwhile without harm.
    auto other = fixture.sendAsCaller("GET /safe/" + poor + "r2\r\n\r\n");
    auto leaving = fixture.sendAsCaller("GET /safe/" + poor + "r3\r\n\r\n");
    leaving.reset();
    const RawAnswer answer = whole(*other);
    CHECK(answer.head.status() == 429);
    CHECK(answer.head.header("basildeck-run") == "not-run");
    while (fixture.openRequests() != 0)
        std::this_thread::yield();
}

TEST_CASE("an open route needs no key and names no organisation")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(
            EdgeFixture::request("GET", "/open/", "r1", "Tenant: forged\r\n"));
    auto at = fixture.awaitRequest();
    CHECK(at.head.header("tenant").empty());
    CHECK(at.head.header("api-key").empty());
    at.socket->send(EdgeFixture::sealedResponse("r1", "x"));
    CHECK(whole(*caller).head.status() == 200);
}

TEST_CASE("the run of a caller that leaves is cancelled")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto at = fixture.awaitRequest();
    caller.reset();
    CHECK_FALSE(at.socket->receive());
}

TEST_CASE("requests whose end is in doubt are refused and reach no target")
{
    const std::vector<std::string> fields = {
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: -3\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding : chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
    };
    EdgeFixture fixture;
    for (const std::string &field : fields) {
        CAPTURE(field);
        auto caller = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", field)
                                           + "0\r\n\r\n");
        CHECK(whole(*caller).head.status() == 400);
        CHECK_FALSE(caller->receive());
    }
    auto caller = fixture.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", "Transfer-Encoding: chunked\r\n")
            + "zz\r\nabc\r\n0\r\n\r\n");
    CHECK(whole(*caller).head.status() == 400);
}

TEST_CASE("what exceeds the limits of the configuration is refused")
{
    EdgeFixture fixture;
    auto big = fixture.sendAsCaller(
            EdgeFixture::request("GET", "/safe/", "r1", "X: " + std::string(5000, 'x') + "\r\n"));
    CHECK(whole(*big).head.status() == 431);
    auto body = fixture.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", "Content-Length: 100001\r\n"));
    CHECK(whole(*body).head.status() == 413);
}

TEST_CASE("a caller that expects to be asked for its body is asked")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request(
            "POST", "/unsafe/", "r1", "Expect: 100-continue\r\nContent-Length: 2\r\n"));
    const auto interim = standin::readHead(*caller);
    REQUIRE(interim);
    CHECK(interim->status() == 100);
    caller->send("ab");
    auto at = fixture.awaitRequest();
    CHECK(at.head.header("expect").empty());
    at.socket->send("HTTP/1.1 100 Continue\r\n\r\n" + EdgeFixture::sealedResponse("r1", "x"));
    CHECK(whole(*caller).head.status() == 200);
}

TEST_CASE("a silent target ends in a timeout, a full one in a refusal that is true")
{
    EdgeFixture fixture(1, 1);
    auto running = fixture.sendAsCaller(EdgeFixture::request("GET", "/quick/", "r1"));
    auto at = fixture.awaitRequest();
    auto waiting = fixture.sendAsCaller(EdgeFixture::request("GET", "/quick/", "r2"));
    const RawAnswer timedOut = whole(*running);
    CHECK(timedOut.head.status() == 504);
    CHECK(timedOut.head.header("basildeck-run") == "unknown");
    CHECK_FALSE(at.socket->receive());
}

// dct-lb, inc-d8b3: a request that waits is refused when it can no longer be in time, not at its
// deadline.
TEST_CASE("a wait ends when the request would be late")
{
    EdgeFixture fixture(1, 1);
    auto running = fixture.sendAsCaller(EdgeFixture::request("GET", "/prompt/", "r1"));
    auto at = fixture.awaitRequest();
    const Time sent = Clock::now();
    auto waiting = fixture.sendAsCaller(EdgeFixture::request("GET", "/prompt/", "r2"));
    const RawAnswer refused = whole(*waiting);
    CHECK(refused.head.status() == 503);
    CHECK(refused.head.header("basildeck-run") == "not-run");
    CHECK(Clock::now() - sent < milliseconds(EdgeFixture::shortObjectiveTimeoutMs));
    at.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(whole(*running).body == "one");
}

TEST_CASE("a long answer is passed on while it arrives")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto at = fixture.awaitRequest();
    const std::string part(100'000, 'p');
    at.socket->send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                    "Content-Length: 200000\r\n\r\n"
                    + part);
    CHECK(standin::readHead(*caller));
    at.socket->send(part);
    while (caller->buffer().size() < 200'000 && caller->receive()) {
    }
    CHECK(caller->buffer().size() == 200'000);
}

TEST_CASE("a long answer that is cut does not look complete")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto at = fixture.awaitRequest();
    at.socket->send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n186A0\r\n"
                    + std::string(100'000, 'p') + "\r\n");
    REQUIRE(standin::readHead(*caller));
    at.socket.reset();
    while (caller->receive()) {
    }
    CHECK(caller->buffer().find("\r\n0\r\n\r\n") == std::string::npos);
}

// dct-lb, scale-1 --seed 411868638204: a caller that always had another request on its way kept its
// connection to a leaving process, which took requests until its end.
TEST_CASE("a process that leaves takes no more pipelined requests and answers those it took")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("GET", "/safe/1", "r1")
                                       + EdgeFixture::request("GET", "/safe/2", "r2"));
    auto first = fixture.awaitRequest();
    auto second = fixture.awaitRequest();
    fixture.stopAccepting();
    caller->send(EdgeFixture::request("GET", "/safe/3", "r3"));
    for (auto *at : { &first, &second }) {
        const std::string id(at->head.header("request-id"));
        at->socket->send(EdgeFixture::sealedResponse(id, id));
    }
    CHECK(whole(*caller).body == "r1");
    const RawAnswer last = whole(*caller);
    CHECK(last.body == "r2");
    CHECK(last.head.header("connection") == "close");
    CHECK_FALSE(caller->receive());
}

TEST_SUITE_END();

} // namespace basildeck::test
