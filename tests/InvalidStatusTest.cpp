#include "RefusedResponse.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace basildeck::test {

namespace {

const std::vector<std::string> invalidStatuses
        = { "000", "099", "20", "600", "101", "2000", "0200", "+200", "-01", " 200", "20x" };

// A response that is right but for its status line.
std::string response(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: r2\r\nResponse-Seal: s.r2\r\n" + fields
           + "Content-Length: 4\r\n\r\nodd!";
}

std::string order(const std::string &id)
{
    return EdgeFixture::request("POST", "/unsafe/", id, {}, "order");
}

bool countsInvalidStatus(EdgeFixture &edge)
{
    return edge.metrics().find("target_failures_total{how=\"invalid-status\"} 1")
           != std::string::npos;
}

// Sends a status in response to the second request of a connection, which is not used again.
void checkRefused(const std::string &status)
{
    CAPTURE(status);
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(order("r1"));
    auto received = fixture.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("r1", "one"));
    CHECK(completeResponse(*caller).body == "one");
    received.socket->buffer().clear();
    caller->send(order("r2"));
    REQUIRE(standin::readHead(*received.socket));
    received.socket->send(response(status + " X"));
    checkMayHaveRun(*caller);
    CHECK(countsInvalidStatus(fixture));
    received.socket->buffer().clear();
    received.socket->setTimeout(1000);
    CHECK_FALSE(received.socket->receive());
}

void checkRefusedForHead(const std::string &status)
{
    CAPTURE(status);
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(EdgeFixture::request("HEAD", "/unsafe/", "r2"));
    auto received = fixture.awaitRequest();
    received.socket->send(response(status + " X"));
    checkMayHaveRun(*caller, false);
    CHECK(countsInvalidStatus(fixture));
}

void checkRefusedBehindPeer(const std::string &status)
{
    CAPTURE(status);
    TwoEdges edges;
    auto caller = edges.partitioned.sendAsCaller(order("r2"));
    edges.peer.awaitRequest().socket->send(response(status));
    checkMayHaveRun(*caller);
    CHECK(countsInvalidStatus(edges.peer));

    EdgeFixture partitioned;
    const ScriptedPeer peer;
    partitioned.setForwardingPeers({ peer.asPeer() });
    partitioned.setPartitioned(true);
    auto second = partitioned.sendAsCaller(order("r2"));
    ForwardingOutcome outcome;
    outcome.attempts = 1;
    auto socket = peer.awaitRequest();
    socket->send(response(status, serializeForwardingOutcome(outcome)));
    checkMayHaveRun(*second);
}

} // namespace

TEST_SUITE_BEGIN("invalid status");

TEST_CASE("a target's status 000 reaches the caller")
{
    for (const std::string &status : invalidStatuses)
        checkRefused(status);
}

TEST_CASE("an invalid status reaches the caller of HEAD, or of a request taken by a peer")
{
    for (const std::string status : { "000", "099", "600", "101" }) {
        checkRefusedForHead(status);
        checkRefusedBehindPeer(status);
    }
}

TEST_CASE("an invalid status is not retried at another target")
{
    for (const std::string status : { "000", "600", "101", "2000" }) {
        CAPTURE(status);
        EdgeFixture fixture(2);
        const std::size_t first = fixture.targetOf("/safe/", "3");
        auto caller = fixture.sendAsCaller(
                EdgeFixture::request("GET", "/safe/", "r2", "Cookie: Affinity-Key=3\r\n"));
        fixture.awaitRequest(first).socket->send(response(status));
        std::thread other([&] {
            const auto socket = fixture.target(1 - first).accept();
            if (socket && standin::readHead(*socket))
                socket->send(EdgeFixture::sealedResponse("r2", "two"));
        });
        const auto answer = standin::readResponse(*caller);
        fixture.target(1 - first).stop();
        other.join();
        REQUIRE(answer);
        CHECK(answer->body == "two");
        CHECK(countsInvalidStatus(fixture));
    }
}

TEST_CASE("the store's client takes an invalid status for an answer")
{
    for (const std::string &status : invalidStatuses) {
        CAPTURE(status);
        CHECK(storeFailure(response(status)).find("invalid-status") != std::string::npos);
    }
}

TEST_CASE("statuses without a reason and interim responses are not refused")
{
    for (const std::string status : { "200", "200 ", "299 ", "404", "599 ", "500 a reason" }) {
        CAPTURE(status);
        EdgeFixture fixture;
        auto caller = fixture.sendAsCaller(order("r2"));
        auto received = fixture.awaitRequest();
        received.socket->send("HTTP/1.1 100\r\n\r\nHTTP/1.1 199 \r\nX-Early: 1\r\n\r\n");
        received.socket->send(response(status));
        const auto answer = completeResponse(*caller);
        CHECK(std::to_string(answer.head.status()) == status.substr(0, 3));
        CHECK(answer.body == "odd!");
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
