#include "EdgeFixture.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>

namespace basildeck::test {

using standin::RawResponse;

namespace {

// A VM with this much memory has a budget of 150,000 bytes, which two bodies of this size fit into.
constexpr std::size_t memoryBytes = 250'000;
constexpr std::size_t bodyBytes = 60'000;
// A part of a response that pauses it, and whose end of stream arrives although little is read: it
// fits into the receive buffer.
constexpr std::size_t partBytes = 100'000;

RawResponse completeResponse(standin::RawSocket &socket)
{
    const auto response = standin::readResponse(socket);
    REQUIRE(response);
    REQUIRE(response->complete);
    return *response;
}

std::string post(const std::string &id, const std::string &path = "/unsafe/")
{
    return EdgeFixture::request("POST", path, id, {}, std::string(bodyBytes, id.back()));
}

std::string readBody(EdgeFixture::TargetRequest &request)
{
    while (request.socket->buffer().size() < bodyBytes)
        REQUIRE(request.socket->receive());
    return request.socket->buffer();
}

// A caller has sent two requests on one connection. The first one runs at target 0, the response to
// the second one, at target 1, is paused, because more was sent than fits into the memory.
struct PausedResponse
{
    static constexpr std::size_t bytes = 32 * 1024 * 1024;

    explicit PausedResponse(EdgeFixture &edge)
        : caller(edge.sendAsCaller(get(edge, "r1", 0) + get(edge, "r2", 1)))
        , first(edge.awaitRequest(0))
        , paused(edge.awaitRequest(1))
    {}

    static std::string get(EdgeFixture &edge, const std::string &id, std::size_t target)
    {
        return EdgeFixture::request("GET", "/safe/" + id, id,
                                    "Cookie: Affinity-Key=" + edge.objectPlacedAt("/safe/", target)
                                            + "\r\n");
    }

    std::unique_ptr<standin::RawSocket> caller;
    EdgeFixture::TargetRequest first;
    EdgeFixture::TargetRequest paused;
    std::string response = EdgeFixture::sealedResponse("r2", std::string(bytes, 'p'));
};

void awaitPause(EdgeFixture &fixture)
{
    while (fixture.memoryPauses(MemoryUse::Response) == 0) {
    }
}

} // namespace

TEST_SUITE_BEGIN("bounded memory");

// Guards against the failure in review/1: bodies were not counted while their requests ran, and
// each existed three times, so three long ones exceeded the memory of the VM.
TEST_CASE("a body for which there is no memory is read when an earlier one has been released")
{
    EdgeFixture fixture(1, 8, "vm-1", EdgeFixture::homeRegion, memoryBytes);
    auto caller1 = fixture.sendAsCaller(post("r1"));
    auto request1 = fixture.awaitRequest();
    auto caller2 = fixture.sendAsCaller(post("r2"));
    auto request2 = fixture.awaitRequest();
    auto caller3 = fixture.sendAsCaller(post("r3"));
    while (fixture.memoryPauses(MemoryUse::RequestBody) == 0) {
    }
    CHECK(fixture.openRequests() == 2);
    CHECK(fixture.heldMemory() == 2 * bodyBytes);
    auto small = fixture.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r4", {}, "x"));
    auto request4 = fixture.awaitRequest(); // is not kept out by the long bodies

    SUBCASE("in time")
    {
        readBody(request1);
        request1.socket->buffer().clear();
        request1.socket->send(EdgeFixture::sealedResponse("r1", "one"));
        CHECK(completeResponse(*caller1).body == "one");
        const auto head3 = standin::readHead(*request1.socket); // on the kept connection
        REQUIRE(head3);
        CHECK(head3->header("request-id") == "r3");
        request1.socket->send(EdgeFixture::sealedResponse("r3", "three"));
        CHECK(completeResponse(*caller3).body == "three");
    }

    SUBCASE("or refused as not run")
    {
        const RawResponse refusal = completeResponse(*caller3);
        CHECK(refusal.head.status() == 503);
        CHECK(refusal.head.header("basildeck-run") == "not-run");
        CHECK_FALSE(refusal.head.header("retry-after").empty());
        request1.socket->send(EdgeFixture::sealedResponse("r1", "one"));
        CHECK(completeResponse(*caller1).body == "one");
    }
}

TEST_CASE("a body is kept whole for the last attempt and released when that was sent")
{
    EdgeFixture fixture(2, 4, "vm-1", EdgeFixture::homeRegion, memoryBytes);
    const std::string object = fixture.objectPlacedAt("/unsafe/", 0);
    auto caller = fixture.sendAsCaller(EdgeFixture::request(
            "POST", "/unsafe/", "r1", "Cookie: Affinity-Key=" + object + "\r\n",
            std::string(bodyBytes, '1')));
    auto shed = fixture.awaitRequest(0);
    CHECK(readBody(shed) == std::string(bodyBytes, '1'));
    CHECK(fixture.heldMemory() == bodyBytes);
    shed.socket->send("HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n"
                      "Content-Length: 0\r\n\r\n");
    auto retried = fixture.awaitRequest(1);
    CHECK(readBody(retried) == std::string(bodyBytes, '1'));
    CHECK(fixture.heldMemory() == 0);
    retried.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(completeResponse(*caller).body == "one");
}

// Guards against the failure in review/2: a response behind a slow one of its connection was read
// and kept without a limit.
TEST_CASE("a long response behind another one is read when it is the next one")
{
    EdgeFixture fixture(2, 4, "vm-1", EdgeFixture::homeRegion, memoryBytes);
    PausedResponse pipelined(fixture);
    auto sent = std::async(std::launch::async,
                           [&] { return pipelined.paused.socket->send(pipelined.response); });
    CHECK(sent.wait_for(std::chrono::seconds(1)) == std::future_status::timeout);
    CHECK(fixture.memoryPauses(MemoryUse::Response) == 1);
    CHECK(fixture.heldMemory() < memoryBytes);
    pipelined.first.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(completeResponse(*pipelined.caller).body == "one");
    CHECK(completeResponse(*pipelined.caller).body.size() == PausedResponse::bytes);
    CHECK(sent.get());
    CHECK(fixture.heldMemory() == 0);
}

// A target gives up a response that is not read for long. The request is sent again when its
// response is read without a pause.
TEST_CASE("the end of a paused response is noticed and the request is retried as the next one")
{
    EdgeFixture fixture(2, 4, "vm-1", EdgeFixture::homeRegion, memoryBytes);
    PausedResponse pipelined(fixture);
    pipelined.paused.socket->send(pipelined.response.substr(0, partBytes));
    awaitPause(fixture);
    SUBCASE("by the end of the stream") {}
    SUBCASE("by a reset")
    {
        pipelined.paused.socket->resetOnClose();
    }
    pipelined.paused.socket.reset();
    while (fixture.heldMemory() > 0) {
    }
    CHECK(fixture.openRequests() == 2);
    pipelined.first.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(completeResponse(*pipelined.caller).body == "one");
    const auto retried = standin::readHead(*pipelined.first.socket); // on the kept connection
    REQUIRE(retried);
    CHECK(retried->header("request-id") == "r2");
    pipelined.first.socket->send(EdgeFixture::sealedResponse("r2", "two"));
    CHECK(completeResponse(*pipelined.caller).body == "two");
}

// Guards against two connections that wait for each other's responses through places at targets.
TEST_CASE("a paused response does not keep its place at the target")
{
    EdgeFixture fixture(2, 2, "vm-1", EdgeFixture::homeRegion, memoryBytes); // one at a time
    PausedResponse pipelined(fixture);
    pipelined.paused.socket->send(pipelined.response.substr(0, partBytes));
    awaitPause(fixture);
    auto caller = fixture.sendAsCaller(PausedResponse::get(fixture, "r3", 1));
    auto request = fixture.awaitRequest(1);
    CHECK(request.head.header("request-id") == "r3");
    request.socket->send(EdgeFixture::sealedResponse("r3", "three"));
    CHECK(completeResponse(*caller).body == "three");
}

TEST_SUITE_END();

} // namespace basildeck::test
