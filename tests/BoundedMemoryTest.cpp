#include "EdgeFixture.h"

#include <doctest/doctest.h>

namespace basildeck::test {

using standin::RawResponse;

namespace {

// A VM with this much memory has a budget of 150,000 bytes, which two bodies of this size fit into.
constexpr std::size_t memoryBytes = 250'000;
constexpr std::size_t bodyBytes = 60'000;

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

TEST_SUITE_END();

} // namespace basildeck::test
