#include "TwoEdges.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace basildeck::test {

namespace {

// More than the buffers of a connection take before the peer reads.
constexpr std::size_t uploadBytes = 16UL * 1024 * 1024;
constexpr int rounds = 20;

// A response whose body ends with its connection.
std::string unmarkedResponse(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Seal: s.r2\r\n\r\n" + body;
}

const std::string part(1000, 'p');

std::string upload()
{
    return EdgeFixture::request("POST", "/unsafe/", "r2", {}, std::string(uploadBytes, 'u'));
}

// Sends a part of a response while the request is still being written, and resets the connection.
void breakOff(std::unique_ptr<standin::RawSocket> socket, std::chrono::milliseconds delay)
{
    socket->send(unmarkedResponse(part));
    std::this_thread::sleep_for(delay);
    socket->resetOnClose();
}

void checkMayHaveRun(standin::RawSocket &caller)
{
    const auto answer = standin::readResponse(caller);
    REQUIRE(answer);
    REQUIRE(answer->head.status() == 502);
    REQUIRE(answer->head.header("basildeck-run") == "unknown");
    REQUIRE(answer->head.header("response-seal").empty());
}

} // namespace

TEST_SUITE_BEGIN("early response");

TEST_CASE("a part of a response that is reset during an upload is answered as complete")
{
    EdgeFixture fixture;
    fixture.setMaxBodyBytes(uploadBytes);
    for (const int delayMs : { 0, 20 }) {
        CAPTURE(delayMs);
        for (int round = 0; round < rounds; ++round) {
            CAPTURE(round);
            auto caller = fixture.sendAsCaller(upload());
            breakOff(std::move(fixture.awaitRequest().socket), std::chrono::milliseconds(delayMs));
            checkMayHaveRun(*caller);
        }
    }
}

TEST_CASE("a part of a response that is reset during an upload through a peer is complete")
{
    TwoEdges edges;
    edges.partitioned.setMaxBodyBytes(uploadBytes);
    edges.peer.setMaxBodyBytes(uploadBytes);
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        auto caller = edges.partitioned.sendAsCaller(upload());
        breakOff(std::move(edges.peer.awaitRequest().socket), std::chrono::milliseconds(0));
        checkMayHaveRun(*caller);
    }
}

TEST_CASE("a part of a peer's response that is reset during an upload is answered as complete")
{
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        EdgeFixture partitioned;
        partitioned.setMaxBodyBytes(uploadBytes);
        const ScriptedPeer peer;
        partitioned.setForwardingPeers({ peer.asPeer() });
        partitioned.setPartitioned(true);
        auto caller = partitioned.sendAsCaller(upload());
        auto socket = peer.awaitRequest();
        ForwardingOutcome outcome;
        outcome.attempts = 1;
        socket->send("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Seal: s.r2\r\n"
                     + serializeForwardingOutcome(outcome) + "\r\n" + part);
        socket->resetOnClose();
        socket.reset();
        checkMayHaveRun(*caller);
    }
}

TEST_CASE("a whole response is not passed on when its target does not read the upload")
{
    EdgeFixture fixture;
    fixture.setMaxBodyBytes(uploadBytes);
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        auto caller = fixture.sendAsCaller(upload());
        auto received = fixture.awaitRequest();
        received.socket->send(unmarkedResponse(part));
        received.socket->shutdownWrite();
        received.socket.reset();
        const auto answer = completeResponse(*caller);
        REQUIRE(answer.head.status() == 200);
        REQUIRE(answer.body == part);
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
