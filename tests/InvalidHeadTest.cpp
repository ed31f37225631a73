#include "InvalidHeads.h"
#include "RefusedResponse.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>

namespace basildeck::test {

namespace {

constexpr std::string_view statusLine = "HTTP/1.1 200 OK\r\n";
// Time for the first part of a response to be read before the rest arrives.
constexpr std::chrono::milliseconds packetGap{ 30 };

// A sealed response with one more line in its head.
std::string response(const std::string &line, const std::string &fields = {})
{
    return std::string(statusLine) + "Request-Id: r2\r\nResponse-Seal: s.r2\r\n" + fields + line
           + "\r\nContent-Length: 4\r\n\r\nodd!";
}

std::string order()
{
    return EdgeFixture::request("POST", "/unsafe/", "r2", {}, "order");
}

} // namespace

TEST_SUITE_BEGIN("invalid head");

TEST_CASE("a response with an invalid field name reaches the caller")
{
    EdgeFixture fixture;
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        auto caller = fixture.sendAsCaller(order());
        fixture.awaitRequest().socket->send(response(line));
        checkMayHaveRun(*caller);
    }
}

TEST_CASE("an invalid field name that arrives in two parts, or to HEAD, reaches the caller")
{
    EdgeFixture fixture;
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        const std::string bytes = response(line);
        const std::size_t cut = bytes.find(line) + line.size() / 2;
        auto caller = fixture.sendAsCaller(order());
        const auto received = fixture.awaitRequest();
        received.socket->send(bytes.substr(0, cut));
        std::this_thread::sleep_for(packetGap);
        received.socket->send(bytes.substr(cut));
        checkMayHaveRun(*caller);

        auto head = fixture.sendAsCaller(EdgeFixture::request("HEAD", "/unsafe/", "r2"));
        fixture.awaitRequest().socket->send(bytes.substr(0, bytes.size() - 4));
        checkMayHaveRun(*head, false);
    }
}

TEST_CASE("an invalid field name reaches the caller through a peer, or from one")
{
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        TwoEdges edges;
        auto caller = edges.partitioned.sendAsCaller(order());
        edges.peer.awaitRequest().socket->send(response(line));
        checkMayHaveRun(*caller);

        EdgeFixture partitioned;
        const ScriptedPeer peer;
        partitioned.setForwardingPeers({ peer.asPeer() });
        partitioned.setPartitioned(true);
        auto second = partitioned.sendAsCaller(order());
        ForwardingOutcome outcome;
        outcome.attempts = 1;
        peer.awaitRequest()->send(response(line, serializeForwardingOutcome(outcome)));
        checkMayHaveRun(*second);
    }
}

// RFC 9112, section 5.2, lets a gateway replace the line break by blanks.
TEST_CASE("a folded value is passed on in two lines, or costs the response")
{
    EdgeFixture fixture;
    auto caller = fixture.sendAsCaller(order());
    fixture.awaitRequest().socket->send(response("X-Odd: one\r\n two"));
    const auto answer = completeResponse(*caller);
    CHECK(answer.head.status() == 200);
    CHECK(answer.head.header("x-odd") == "one two");
    CHECK(answer.body == "odd!");
}

TEST_CASE("an invalid field name in an interim response is passed over")
{
    EdgeFixture fixture;
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        auto caller = fixture.sendAsCaller(order());
        fixture.awaitRequest().socket->send("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n"
                                            + response("X-Sound: 1"));
        checkMayHaveRun(*caller);
    }
}

TEST_CASE("the store's client takes a response with an invalid field name for an answer")
{
    for (const std::string &line : invalidLines()) {
        CAPTURE(line);
        CHECK(storeFailure(response(line)).find("malformed") != std::string::npos);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
