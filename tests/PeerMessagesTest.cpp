#include "edge/PeerMessages.h"

#include "core/Hash.h"

#include <doctest/doctest.h>

#include <string>

namespace basildeck::test {

namespace {

// Datagrams that earlier builds sent.
constexpr const char *heartbeatOf2764d3c
        = "9582b505749eb4d401000f00000000000000656467652d6b686f6d61732d612d31a7926d45a2010000010000"
          "000000000006000000000000006b686f6d617308000000000000006b686f6d61732d610e0000000000000031"
          "32372e302e302e313a383338380f000000000000003132372e302e302e313a32373537310f00000000000000"
          "3132372e302e302e313a323735373260ea0000010004000000000000000d00000000000000626173696c6465"
          "636b2d766d73010000000000000039000000000000000600000000000000636f6e6669670100000000000000"
          "68000000000000000b0000000000000065766163756174696f6e730000000000000000000000000000000007"
          "000000000000007365727665727301000000000000005d000000000000000100000000000000070000000000"
          "000068756b613237300000000000002940010000000000000088776655443322110a00000000000000692d37"
          "663361393163322900000001000000000000000c00000000000000692d343363666466303337640101000000"
          "000000000f000000000000003132372e302e302e313a3237353631";
constexpr const char *heartbeatOf8cf0c60
        = "03efa4c6761682c301000f00000000000000656467652d6b686f6d61732d612d31e4d46d45a2010000010000"
          "000000000006000000000000006b686f6d617308000000000000006b686f6d61732d610e0000000000000031"
          "32372e302e302e313a383338380f000000000000003132372e302e302e313a32373537310f00000000000000"
          "3132372e302e302e313a32373537320f000000000000003132372e302e302e313a323735373360ea00000100"
          "0104000000000000000d00000000000000626173696c6465636b2d766d730100000000000000390000000000"
          "00000600000000000000636f6e666967010000000000000068000000000000000b0000000000000065766163"
          "756174696f6e7300000000000000000000000000000000070000000000000073657276657273010000000000"
          "00005d000000000000000100000000000000070000000000000068756b613237300000000000002940010000"
          "000000000088776655443322110a00000000000000692d37663361393163322900000001000000000000000c"
          "00000000000000692d343363666466303337640101000000000000000f000000000000003132372e302e302e"
          "313a3237353631";
// Of the last build without permits.
constexpr const char *heartbeatOf89a18b0
        = "50b2e9eac1a46ced01000f00000000000000656467652d6b686f6d61732d612d310700000000000000010000"
          "000000000006000000000000006b686f6d617308000000000000006b686f6d61732d610e0000000000000031"
          "32372e302e302e313a383338380f000000000000003132372e302e302e313a32373537310f00000000000000"
          "3132372e302e302e313a32373537320f000000000000003132372e302e302e313a323735373360ea00000100"
          "0100000000000000000100000000000000070000000000000068756b61323730000000000000294000000000"
          "000000000000000000000000000000000000000001000000000000000a00000000000000692d376633613931"
          "63329a9999999999134078000000";
constexpr const char *loanRequestOfBoth
        = "e3c724e4772df79201010f00000000000000656467652d6b686f6d61732d612d310f00000000000000313237"
          "2e302e302e313a32373537314d000000000000000100000000000000070000000000000068756b6132373000"
          "0000000000f83f";
constexpr const char *loanOfBoth
        = "5102a04fc518345601020f00000000000000656467652d6b686f6d61732d612d314d00000000000000010000"
          "0000000000070000000000000068756b613237300000000000000240";

constexpr std::size_t checksumBytes = 8;

std::string fromHex(std::string_view digits)
{
    std::string bytes;
    for (std::size_t i = 0; i < digits.size(); i += 2)
        bytes += static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16));
    return bytes;
}

std::string withChecksum(const std::string &content)
{
    const std::uint64_t checksum = stableHash(content);
    std::string bytes;
    for (std::size_t i = 0; i < checksumBytes; ++i)
        bytes += static_cast<char>(checksum >> (8 * i));
    return bytes + content;
}

std::string contentOf(const std::string &bytes)
{
    return bytes.substr(checksumBytes);
}

Heartbeat heartbeatIn(const std::string &bytes, HeartbeatLayout layout)
{
    const PeerMessage message = parseMessage(bytes);
    REQUIRE(std::holds_alternative<ReceivedHeartbeat>(message));
    const auto &received = std::get<ReceivedHeartbeat>(message);
    CHECK(received.layout == layout);
    return received.heartbeat;
}

void checkCommonFields(const Heartbeat &heartbeat)
{
    CHECK(heartbeat.vm == "edge-khomas-a-1");
    CHECK(heartbeat.sequence == 1);
    CHECK(heartbeat.region == "khomas");
    CHECK(heartbeat.zone == "khomas-a");
    CHECK(heartbeat.callerAddress == "127.0.0.1:8388");
    CHECK(heartbeat.gossipAddress == "127.0.0.1:27571");
    CHECK(heartbeat.relayAddress == "127.0.0.1:27572");
    CHECK(heartbeat.storeReachedForMs == 60000);
    CHECK(heartbeat.ready);
    CHECK_FALSE(heartbeat.leaving);
    CHECK(heartbeat.versions.size() == 4);
    CHECK(heartbeat.versions.at("config") == StoreVersion{ 1, 104 });
    CHECK(heartbeat.demands.at("huka270") == 12.5);
    REQUIRE(heartbeat.crashes.size() == 1);
    CHECK(heartbeat.crashes.front().fingerprint == 0x1122334455667788);
    CHECK(heartbeat.crashes.front().ranForMs == 41);
    REQUIRE(heartbeat.targetReports.size() == 1);
    CHECK(heartbeat.targetReports.front().trouble == TargetTrouble::Slow);
    CHECK(heartbeat.introducedAddresses == std::vector<std::string>{ "127.0.0.1:27561" });
}

} // namespace

TEST_SUITE_BEGIN("peer messages");

TEST_CASE("heartbeats of earlier builds are not understood")
{
    const Heartbeat first
            = heartbeatIn(fromHex(heartbeatOf2764d3c), HeartbeatLayout::WithoutForwarding);
    checkCommonFields(first);
    CHECK(first.forwardingAddress.empty());
    CHECK(first.targetContact == TargetContact::Unknown);
    const Heartbeat second = heartbeatIn(fromHex(heartbeatOf8cf0c60), HeartbeatLayout::Current);
    checkCommonFields(second);
    CHECK(second.forwardingAddress == "127.0.0.1:27573");
    CHECK(second.targetContact == TargetContact::Reached);
}

// Earlier builds read their own fields and ignore what follows.
TEST_CASE("heartbeats do not begin with the bytes that earlier builds read")
{
    for (const auto &[kept, layout] :
         { std::pair(heartbeatOf2764d3c, HeartbeatLayout::WithoutForwarding),
           std::pair(heartbeatOf8cf0c60, HeartbeatLayout::Current) }) {
        const std::string bytes = fromHex(kept);
        const std::string own = serializeMessage(heartbeatIn(bytes, layout), layout);
        CHECK(contentOf(own).starts_with(contentOf(bytes)));
    }
}

TEST_CASE("loans are not exchanged with earlier builds")
{
    const PeerMessage loanRequest = parseMessage(fromHex(loanRequestOfBoth));
    REQUIRE(std::holds_alternative<QuotaLoanRequest>(loanRequest));
    CHECK(std::get<QuotaLoanRequest>(loanRequest).borrower == "edge-khomas-a-1");
    CHECK(std::get<QuotaLoanRequest>(loanRequest).tokens.at("huka270") == 1.5);
    CHECK(serializeMessage(std::get<QuotaLoanRequest>(loanRequest)) == fromHex(loanRequestOfBoth));
    const PeerMessage loan = parseMessage(fromHex(loanOfBoth));
    REQUIRE(std::holds_alternative<QuotaLoan>(loan));
    CHECK(std::get<QuotaLoan>(loan).requestId == 77);
    CHECK(std::get<QuotaLoan>(loan).tokens.at("huka270") == 2.25);
    CHECK(serializeMessage(std::get<QuotaLoan>(loan)) == fromHex(loanOfBoth));
}

// Earlier builds read their own fields and ignore what follows.
TEST_CASE("new fields of loans get lost or do not come last")
{
    auto loanRequest = std::get<QuotaLoanRequest>(parseMessage(fromHex(loanRequestOfBoth)));
    loanRequest.urgent = { "huka270" };
    const std::string requestBytes = serializeMessage(loanRequest);
    CHECK(contentOf(requestBytes).starts_with(contentOf(fromHex(loanRequestOfBoth))));
    CHECK(std::get<QuotaLoanRequest>(parseMessage(requestBytes)).urgent == loanRequest.urgent);
    auto loan = std::get<QuotaLoan>(parseMessage(fromHex(loanOfBoth)));
    loan.exhausted = { "huka270" };
    const std::string loanBytes = serializeMessage(loan);
    CHECK(contentOf(loanBytes).starts_with(contentOf(fromHex(loanOfBoth))));
    CHECK(std::get<QuotaLoan>(parseMessage(loanBytes)).exhausted == loan.exhausted);
}

TEST_CASE("a heartbeat with fields of a later build is not understood")
{
    Heartbeat heartbeat;
    heartbeat.vm = "vm-1";
    heartbeat.forwardingAddress = "127.0.0.1:27573";
    heartbeat.targetLimits = { { "i-7f3a91c2", 4.9, 120 } };
    const std::string later
            = withChecksum(contentOf(serializeMessage(heartbeat)) + std::string(40, '\x7f'));
    const Heartbeat received = heartbeatIn(later, HeartbeatLayout::Current);
    CHECK(received.vm == "vm-1");
    CHECK(received.forwardingAddress == heartbeat.forwardingAddress);
    REQUIRE(received.targetLimits.size() == 1);
    CHECK(received.targetLimits.front().target == "i-7f3a91c2");
    CHECK(received.targetLimits.front().requestsPerSecond == 4.9);
    CHECK(received.targetLimits.front().ageMs == 120);
}

TEST_CASE("heartbeats of the last build without permits are not exchanged")
{
    const std::string bytes = fromHex(heartbeatOf89a18b0);
    Heartbeat heartbeat = heartbeatIn(bytes, HeartbeatLayout::Current);
    REQUIRE(heartbeat.targetLimits.size() == 1);
    CHECK(heartbeat.targetLimits.front().ageMs == 120);
    CHECK(heartbeat.permitProtocol == 0);
    heartbeat.permitProtocol = currentPermitProtocol;
    const std::string own = serializeMessage(heartbeat);
    CHECK(contentOf(own).starts_with(contentOf(bytes)));
    CHECK(heartbeatIn(own, HeartbeatLayout::Current).permitProtocol == currentPermitProtocol);
}

TEST_CASE("permit messages lose fields")
{
    const PermitRequest request{ "vm-1", 7, "i-7f3a91c2", 2, "huka270", 450, 720, 3000 };
    const auto sameRequest
            = std::get<PermitRequest>(parseMessage(serializeMessage(AccessMessage(request))));
    CHECK(sameRequest.vm == request.vm);
    CHECK(sameRequest.number == request.number);
    CHECK(sameRequest.target == request.target);
    CHECK(sameRequest.priority == request.priority);
    CHECK(sameRequest.organisation == request.organisation);
    CHECK(sameRequest.mayWaitMs == request.mayWaitMs);
    CHECK(sameRequest.expectedRunMs == request.expectedRunMs);
    CHECK(sameRequest.expiresInMs == request.expiresInMs);
    const PermitReply reply{ 7, true, 250, 9, 4, 130 };
    const auto sameReply
            = std::get<PermitReply>(parseMessage(serializeMessage(AccessMessage(reply))));
    CHECK(sameReply.number == reply.number);
    CHECK(sameReply.isGranted);
    CHECK(sameReply.retryAfterMs == reply.retryAfterMs);
    CHECK(sameReply.running == reply.running);
    CHECK(sameReply.waiting == reply.waiting);
    CHECK(sameReply.speedPercent == reply.speedPercent);
    for (const auto speed : { std::optional<int>(), std::optional(130) }) {
        const PermitRelease release{ "vm-1", 7,   "i-7f3a91c2", LoadReport{ 9, 2, 9, speed },
                                     810,    true };
        const auto same
                = std::get<PermitRelease>(parseMessage(serializeMessage(AccessMessage(release))));
        CHECK(same.vm == release.vm);
        CHECK(same.number == release.number);
        CHECK(same.target == release.target);
        REQUIRE(same.load);
        CHECK(same.load->running == 9);
        CHECK(same.load->waiting == 2);
        CHECK(same.load->speedPercent == speed);
        CHECK(same.ranForMs == release.ranForMs);
        CHECK(same.isShed);
    }
    MESSAGE("bytes of request, reply and release: "
            << serializeMessage(AccessMessage(request)).size() << ", "
            << serializeMessage(AccessMessage(reply)).size() << ", "
            << serializeMessage(AccessMessage(PermitRelease{ "vm-1", 7, "i-7f3a91c2",
                                                             LoadReport{ 9, 2, 9, 130 }, 810 }))
                       .size());
}

TEST_CASE("a heartbeat is cut off")
{
    const std::string content = contentOf(fromHex(heartbeatOf8cf0c60));
    for (std::size_t size = 0; size < content.size(); ++size)
        CHECK_THROWS(parseMessage(withChecksum(content.substr(0, size))));
}

TEST_SUITE_END();

} // namespace basildeck::test
