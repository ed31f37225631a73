#include "TwoEdges.h"

#include <map>
#include <string_view>
#include <thread>
#include <vector>

namespace basildeck::test {

using standin::RawResponse;

TEST_SUITE_BEGIN("peer failure");

TEST_CASE("a request that must not be repeated is not sent again when its peer is lost")
{
    EdgeFixture partitioned(1);
    EdgeFixture other(1, 4, "vm-2");
    const ScriptedPeer peer;
    partitioned.setForwardingPeers({ peer.asPeer() });
    partitioned.setPartitioned(true);
    auto caller = partitioned.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto socket = peer.awaitRequest();
    partitioned.setForwardingPeers({ peer.asPeer(), other.asPeer() });
    socket.reset();
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 502);
    CHECK(response.head.header("basildeck-refusal") == "upstream-lost");
    CHECK(response.head.header("basildeck-run") == "unknown");
    CHECK(hasMetric(other, "accepted_for_peers_total 0"));
}

TEST_CASE("a request that may be repeated is sent through another peer when its peer is lost")
{
    EdgeFixture partitioned(1);
    EdgeFixture other(1, 4, "vm-2");
    const ScriptedPeer peer;
    partitioned.setForwardingPeers({ peer.asPeer() });
    partitioned.setPartitioned(true);
    auto caller = partitioned.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto socket = peer.awaitRequest();
    partitioned.setForwardingPeers({ peer.asPeer(), other.asPeer() });
    socket.reset();
    auto received = other.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("r1", "again"));
    CHECK(completeResponse(*caller).body == "again");
}

TEST_CASE("a peer that cannot be reached is passed over, whatever the request")
{
    EdgeFixture partitioned(1);
    EdgeFixture other(1, 4, "vm-2", "south");
    ForwardingPeer unreachable{ "vm-gone",
                                EdgeFixture::homeRegion,
                                { "127.0.0.1", standin::freePort() } };
    partitioned.setForwardingPeers({ unreachable, other.asPeer() });
    partitioned.setPartitioned(true);
    auto caller = partitioned.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto received = other.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("r1", "done"));
    CHECK(completeResponse(*caller).body == "done");
    CHECK(hasMetric(partitioned, "peers_unreachable_total 1"));
}

TEST_CASE("a response that is no peer's may have run and is not passed on")
{
    EdgeFixture partitioned(1);
    const ScriptedPeer peer;
    partitioned.setForwardingPeers({ peer.asPeer() });
    partitioned.setPartitioned(true);
    auto caller = partitioned.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto socket = peer.awaitRequest();
    socket->send(EdgeFixture::sealedResponse("r1", "not from a target"));
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 502);
    CHECK(response.head.header("basildeck-run") == "unknown");
}

TEST_CASE("a request that the targets shed at the peer is refused as not run")
{
    TwoEdges edges;
    auto caller = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto received = edges.peer.awaitRequest();
    received.socket->send("HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    checkNotRun(*caller, "no-target");
}

TEST_CASE("a request that may be repeated is sent to no more targets than its route allows")
{
    TwoEdges edges(3);
    auto caller = edges.partitioned.sendAsCaller(
            EdgeFixture::request("GET", "/safe/", "r1", "Cookie: Affinity-Key=1\r\n"));
    const std::size_t first = edges.peer.targetOf("/safe/", "1");
    edges.peer.awaitRequest(first).socket.reset();
    std::string order;
    for (std::size_t i = 0; i < 3; ++i) {
        if (i != first)
            order += static_cast<char>('0' + i);
    }
    // The second target is one of the others; whichever it is, there is no third.
    std::string arrivals;
    std::thread second([&] {
        auto socket = edges.peer.target(static_cast<std::size_t>(order[0] - '0')).accept();
        if (socket && standin::readHead(*socket))
            arrivals += order[0];
    });
    std::thread third([&] {
        auto socket = edges.peer.target(static_cast<std::size_t>(order[1] - '0')).accept();
        if (socket && standin::readHead(*socket))
            arrivals += order[1];
    });
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 502);
    CHECK(response.head.header("basildeck-run") == "unknown");
    for (const char target : order)
        edges.peer.target(static_cast<std::size_t>(target - '0')).stop();
    second.join();
    third.join();
    CHECK(arrivals.size() == 1);
}

TEST_CASE("a request that is lost at the peer's target may have run and is not repeated")
{
    TwoEdges edges(2);
    auto caller = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", "Cookie: Affinity-Key=1\r\n", "x"));
    edges.peer.awaitRequest(edges.peer.targetOf("/unsafe/", "1")).socket.reset();
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 502);
    CHECK(response.head.header("basildeck-run") == "unknown");
    CHECK(hasMetric(edges.partitioned, "forwarded_to_peers_total 1"));
}

TEST_CASE("a forwarded request is not forwarded again by a peer that is partitioned itself")
{
    TwoEdges edges;
    EdgeFixture third(1, 4, "vm-3");
    edges.peer.setForwardingPeers({ third.asPeer(), edges.partitioned.asPeer() });
    edges.peer.setPartitioned(true);
    auto caller = edges.partitioned.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    checkNotRun(*caller, "no-target");
    CHECK(hasMetric(edges.partitioned, "declined_by_peers_total{reason=\"partitioned\"} 1"));
    CHECK(hasMetric(edges.peer, "forwarded_to_peers_total 0"));
    CHECK(hasMetric(third, "accepted_for_peers_total 0"));
}

TEST_CASE("a peer whose own partition has just ended sends forwarded requests to targets itself")
{
    TwoEdges edges;
    EdgeFixture third(1, 4, "vm-3");
    edges.peer.setForwardingPeers({ third.asPeer() });
    edges.peer.setPartitioned(true);
    edges.peer.setPartitioned(false);
    auto caller = edges.partitioned.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto received = edges.peer.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("r1", "x"));
    CHECK(completeResponse(*caller).body == "x");
    CHECK(hasMetric(third, "accepted_for_peers_total 0"));
}

TEST_CASE("a waiting request goes on to another peer when its peer becomes partitioned")
{
    TwoEdges edges(1, 1);
    EdgeFixture third(1, 4, "vm-3");
    auto first = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto running = edges.peer.awaitRequest();
    auto second = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r2", {}, "x"));
    while (edges.peer.openRequests() != 2)
        std::this_thread::yield();
    edges.partitioned.setForwardingPeers({ edges.peer.asPeer(), third.asPeer() });
    edges.peer.setPartitioned(true);
    auto moved = third.awaitRequest();
    CHECK(moved.head.header("request-id") == "r2");
    moved.socket->send(EdgeFixture::sealedResponse("r2", "moved"));
    CHECK(completeResponse(*second).body == "moved");
    running.socket->send(EdgeFixture::sealedResponse("r1", "first run"));
    CHECK(completeResponse(*first).body == "first run");
}

TEST_CASE("a VM declines requests of others beyond its bound and serves its own callers")
{
    constexpr std::size_t bound = PeerIntake::maxOpen;
    EdgeFixture peer(1, 300, "vm-2");
    std::string batch;
    for (std::size_t i = 0; i < CallerConnection::maxPipelinedRequests; ++i)
        batch += forwardedRequest();
    std::vector<std::unique_ptr<standin::RawSocket>> sockets;
    for (std::size_t sent = 0; sent < bound; sent += CallerConnection::maxPipelinedRequests) {
        sockets.push_back(standin::RawSocket::connect(peer.asPeer().address));
        REQUIRE(sockets.back());
        REQUIRE(sockets.back()->send(batch));
    }
    while (peer.openRequests() < bound)
        std::this_thread::yield();
    auto beyond = standin::RawSocket::connect(peer.asPeer().address);
    REQUIRE(beyond);
    beyond->send(forwardedRequest());
    const RawResponse declined = completeResponse(*beyond);
    CHECK(declined.head.status() == 503);
    CHECK(declined.head.header("basildeck-forward-declined") == "busy");
    auto caller = peer.sendAsCaller(EdgeFixture::request("GET", "/safe/", "own"));
    while (peer.openRequests() == bound)
        std::this_thread::yield();
    CHECK(peer.openRequests() == bound + 1);
}

TEST_CASE("a forwarded request is cancelled at the target when its caller disconnects")
{
    TwoEdges edges;
    auto caller = edges.partitioned.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto received = edges.peer.awaitRequest();
    caller.reset();
    CHECK_FALSE(received.socket->receive());
}

TEST_CASE("a streamed response that is cut off behind the peer does not look complete")
{
    TwoEdges edges;
    auto caller = edges.partitioned.sendAsCaller(EdgeFixture::request("GET", "/safe/", "r1"));
    auto received = edges.peer.awaitRequest();
    received.socket->send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n186A0\r\n"
                          + std::string(100'000, 'p') + "\r\n");
    REQUIRE(standin::readHead(*caller));
    received.socket.reset();
    while (caller->receive()) {
    }
    CHECK(caller->buffer().find("\r\n0\r\n\r\n") == std::string::npos);
}

// review/3 with a peer in between: the peer streams what the first VM still has to hold back. There
// is no other target for a retry.
TEST_CASE("a response that is cut off behind the peer takes others of its connection along")
{
    constexpr std::size_t total = 2'000'000;
    for (const std::size_t sent :
         { 1'000UL, Forwarder::maxBufferedResponseBytes, Forwarder::maxBufferedResponseBytes + 1,
           200'000UL, total - 1 }) {
        for (const char *method : { "GET", "POST" }) {
            CAPTURE(sent);
            CAPTURE(method);
            TwoEdges edges(1, 16);
            const bool isSafe = std::string_view(method) == "GET";
            const std::string route = isSafe ? "/safe/" : "/unsafe/";
            const std::string body = isSafe ? "" : "x";
            auto caller = edges.partitioned.sendAsCaller(
                    EdgeFixture::request("GET", "/safe/", "r1")
                    + EdgeFixture::request(method, route, "r2", {}, body)
                    + EdgeFixture::request("GET", "/safe/", "r3"));
            std::map<std::string, EdgeFixture::TargetRequest> received;
            for (int i = 0; i < 3; ++i) {
                auto request = edges.peer.awaitRequest();
                const std::string id(request.head.header("request-id"));
                received[id] = std::move(request);
            }
            received["r3"].socket->send(
                    EdgeFixture::sealedResponse("r3", "three", "Connection: close\r\n"));
            received["r2"].socket->send("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Seal: s\r\n"
                                        "Content-Length: "
                                        + std::to_string(total) + "\r\n\r\n"
                                        + std::string(sent, 'p'));
            received["r2"].socket.reset();
            while (edges.partitioned.openRequests() > 1)
                std::this_thread::yield();
            received["r1"].socket->send(EdgeFixture::sealedResponse("r1", "one"));
            CHECK(completeResponse(*caller).body == "one");
            CHECK(completeResponse(*caller).head.status() == 502);
            CHECK(completeResponse(*caller).body == "three");
        }
    }
}

TEST_CASE("a peer that shuts down ends the requests that it has and takes no others")
{
    TwoEdges edges;
    auto first = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto received = edges.peer.awaitRequest();
    edges.peer.beginShutdown(ShutdownSchedule::make(Clock::now(), seconds(60)));
    auto second = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r2", {}, "x"));
    checkNotRun(*second, "no-target");
    CHECK(hasMetric(edges.peer, "declined_for_peers_total{reason=\"leaving\"} 1"));
    received.socket->send(EdgeFixture::sealedResponse("r1", "done"));
    CHECK(completeResponse(*first).body == "done");
}

TEST_CASE("a partitioned VM that shuts down ends its forwarded requests at the peer's target")
{
    TwoEdges edges;
    auto caller = edges.partitioned.sendAsCaller(
            EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    auto received = edges.peer.awaitRequest();
    CHECK(receiveBody(*received.socket, 1) == "x");
    edges.partitioned.endRequests();
    const RawResponse response = completeResponse(*caller);
    CHECK(response.head.status() == 504);
    CHECK(response.head.header("basildeck-run") == "unknown");
    CHECK_FALSE(received.socket->receive());
}

TEST_CASE("a request that a peer does not take is sent through another peer, once")
{
    EdgeFixture partitioned(1);
    EdgeFixture other(1, 4, "vm-2", "south");
    const ScriptedPeer peer;
    partitioned.setForwardingPeers({ peer.asPeer(), other.asPeer() });
    partitioned.setPartitioned(true);
    auto caller = partitioned.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    ForwardingOutcome outcome;
    outcome.decline = ForwardingDecline::Busy;
    peer.awaitRequest()->send(peerResponse(outcome));
    auto received = other.awaitRequest();
    received.socket->send(EdgeFixture::sealedResponse("r1", "done"));
    CHECK(completeResponse(*caller).body == "done");
    CHECK(hasMetric(partitioned, "declined_by_peers_total{reason=\"busy\"} 1"));
}

TEST_CASE("a request that a peer refuses is refused with the same meaning")
{
    EdgeFixture partitioned(1);
    EdgeFixture other(1, 4, "vm-2", "south");
    const ScriptedPeer peer;
    partitioned.setForwardingPeers({ peer.asPeer(), other.asPeer() });
    partitioned.setPartitioned(true);
    auto caller = partitioned.sendAsCaller(EdgeFixture::request("POST", "/unsafe/", "r1", {}, "x"));
    ForwardingOutcome outcome;
    SUBCASE("not run")
    {
        outcome.refusal = ErrorKind::QueueFull;
        outcome.retryAfter = milliseconds(750);
        peer.awaitRequest()->send(peerResponse(outcome));
        const RawResponse response = completeResponse(*caller);
        CHECK(response.head.status() == 503);
        CHECK(response.head.header("basildeck-refusal") == "queue-full");
        CHECK(response.head.header("retry-after") == "0.75");
    }
    SUBCASE("perhaps run")
    {
        outcome.attempts = 1;
        outcome.triedTargets = { "i-0" };
        outcome.refusal = ErrorKind::UpstreamTimeout;
        peer.awaitRequest()->send(peerResponse(outcome));
        const RawResponse response = completeResponse(*caller);
        CHECK(response.head.status() == 504);
        CHECK(response.head.header("basildeck-run") == "unknown");
        CHECK(response.head.header("retry-after").empty());
    }
    CHECK(hasMetric(other, "accepted_for_peers_total 0"));
}

TEST_CASE("requests taken for another VM earn no retries")
{
    // A new budget holds half of what the edge may accumulate.
    constexpr int initialRetries = 7;
    constexpr int requestsForMore = 60;
    EdgeFixture peer(2, 4, "vm-2");
    const std::size_t home = peer.targetOf("/safe/", "1");
    const std::string answer = EdgeFixture::sealedResponse("r", "x");
    auto vm = standin::RawSocket::connect(peer.asPeer().address);
    REQUIRE(vm);
    vm->send(forwardedRequest("1"));
    const auto first = peer.awaitRequest(home);
    first.socket->send(answer);
    CHECK(completeResponse(*vm).head.status() == 200);
    for (int i = 0; i < requestsForMore; ++i) {
        vm->send(forwardedRequest("1"));
        REQUIRE(standin::readHead(*first.socket));
        first.socket->send(answer);
        REQUIRE(completeResponse(*vm).head.status() == 200);
    }
    std::unique_ptr<standin::RawSocket> second;
    for (int i = 0; i <= initialRetries; ++i) {
        vm->send(forwardedRequest("1"));
        REQUIRE(standin::readHead(*first.socket));
        first.socket->send("HTTP/1.1 503 X\r\nRequest-Id: r\r\nNot-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
        if (i == initialRetries)
            break;
        if (!second)
            second = peer.awaitRequest(1 - home).socket;
        else
            REQUIRE(standin::readHead(*second));
        second->send(answer);
        REQUIRE(completeResponse(*vm).head.status() == 200);
    }
    const RawResponse refused = completeResponse(*vm);
    CHECK(refused.head.status() == 503);
    CHECK(refused.head.header("basildeck-forward-refusal") == "targets-shed");
}

TEST_SUITE_END();

} // namespace basildeck::test
