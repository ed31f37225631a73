#include "edge/PeerMessages.h"

#include "core/Hash.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <optional>
#include <sstream>

namespace basildeck {

namespace {

// First byte of a datagram.
enum class MessageType : std::uint8_t {
    Heartbeat,
    TokenRequest,
    TokenLoan,
    PermitRequest,
    PermitReply,
    PermitRelease,
};

// Prepends a checksum. Lengths in a damaged message could make the archive allocate any amount of
// memory.
std::string withChecksum(const std::string &content)
{
    const std::uint64_t checksum = stableHash(content);
    std::string bytes(sizeof(checksum), '\0');
    for (std::size_t i = 0; i < sizeof(checksum); ++i)
        bytes[i] = static_cast<char>(checksum >> (8 * i));
    return bytes + content;
}

// Returns the content of a datagram, or nothing if the checksum is wrong.
std::optional<std::string_view> verifiedContent(std::string_view bytes)
{
    std::uint64_t checksum = 0;
    if (bytes.size() < sizeof(checksum))
        return std::nullopt;
    for (std::size_t i = 0; i < sizeof(checksum); ++i)
        checksum |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    bytes.remove_prefix(sizeof(checksum));
    return stableHash(bytes) == checksum ? std::optional(bytes) : std::nullopt;
}

} // namespace

template <typename Archive>
void serialize(Archive &archive, StoreVersion &version)
{
    archive(version.era, version.revision);
}

template <typename Archive>
void serialize(Archive &archive, CrashReport &report)
{
    archive(report.fingerprint, report.target, report.ranForMs);
}

template <typename Archive>
void serialize(Archive &archive, TargetReport &report)
{
    archive(report.target, report.trouble);
}

template <typename Archive>
void serialize(Archive &archive, TargetLimitReport &report)
{
    archive(report.target, report.requestsPerSecond, report.ageMs);
}

template <typename Archive>
void serialize(Archive &archive, QuotaLoanRequest &loanRequest)
{
    archive(loanRequest.borrower, loanRequest.gossipAddress, loanRequest.requestId,
            loanRequest.tokens);
}

template <typename Archive>
void serialize(Archive &archive, QuotaLoan &loan)
{
    archive(loan.lender, loan.requestId, loan.tokens);
}

template <typename Archive>
void serialize(Archive &archive, LoadReport &load)
{
    archive(load.running, load.waiting, load.slots, load.speedPercent);
}

template <typename Archive>
void serialize(Archive &archive, PermitRequest &request)
{
    archive(request.vm, request.number, request.target, request.priority, request.organisation,
            request.mayWaitMs, request.expectedRunMs, request.expiresInMs);
}

template <typename Archive>
void serialize(Archive &archive, PermitReply &reply)
{
    archive(reply.number, reply.isGranted, reply.retryAfterMs, reply.running, reply.waiting,
            reply.speedPercent);
}

template <typename Archive>
void serialize(Archive &archive, PermitRelease &release)
{
    archive(release.vm, release.number, release.target, release.load, release.ranForMs,
            release.isShed);
}

namespace {

// The three parts of a heartbeat that all layouts have.

template <typename Archive, typename AnyHeartbeat>
void archiveIdentity(Archive &archive, AnyHeartbeat &heartbeat)
{
    archive(heartbeat.vm, heartbeat.incarnation, heartbeat.sequence, heartbeat.region,
            heartbeat.zone, heartbeat.callerAddress, heartbeat.gossipAddress,
            heartbeat.relayAddress);
}

template <typename Archive, typename AnyHeartbeat>
void archiveState(Archive &archive, AnyHeartbeat &heartbeat)
{
    archive(heartbeat.storeReachedForMs, heartbeat.ready, heartbeat.leaving);
}

template <typename Archive, typename AnyHeartbeat>
void archiveLists(Archive &archive, AnyHeartbeat &heartbeat)
{
    archive(heartbeat.versions, heartbeat.demands, heartbeat.crashes, heartbeat.targetReports,
            heartbeat.introducedAddresses);
}

// In the current layout, the length of an address follows the identity. In the other one, these
// bytes hold the state and a number of versions, which exceed any length.
HeartbeatLayout layoutOfRest(std::istream &in, cereal::PortableBinaryInputArchive &archive)
{
    const auto position = in.tellg();
    std::uint64_t length = 0;
    archive(length);
    in.seekg(position);
    return length > maxDatagramBytes ? HeartbeatLayout::WithoutForwarding
                                     : HeartbeatLayout::Current;
}

// Whether fields follow that not all builds send.
bool isMoreLeft(std::istream &in)
{
    return in.peek() != std::istream::traits_type::eof();
}

ReceivedHeartbeat readHeartbeat(std::istream &in, cereal::PortableBinaryInputArchive &archive)
{
    ReceivedHeartbeat received;
    Heartbeat &heartbeat = received.heartbeat;
    archiveIdentity(archive, heartbeat);
    received.layout = layoutOfRest(in, archive);
    const bool isCurrent = received.layout == HeartbeatLayout::Current;
    if (isCurrent)
        archive(heartbeat.forwardingAddress);
    archiveState(archive, heartbeat);
    if (isCurrent)
        archive(heartbeat.targetContact);
    archiveLists(archive, heartbeat);
    if (isMoreLeft(in))
        archive(heartbeat.targetLimits);
    if (in.peek() != std::istream::traits_type::eof())
        archive(heartbeat.permitProtocol);
    return received;
}

template <typename Message>
Message readAs(cereal::PortableBinaryInputArchive &archive)
{
    Message message;
    archive(message);
    return message;
}

constexpr MessageType typeOf(const PermitRequest & /*message*/)
{
    return MessageType::PermitRequest;
}

constexpr MessageType typeOf(const PermitReply & /*message*/)
{
    return MessageType::PermitReply;
}

constexpr MessageType typeOf(const PermitRelease & /*message*/)
{
    return MessageType::PermitRelease;
}

template <typename WriteContent>
std::string serializeWith(MessageType type, const WriteContent &writeContent)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(type);
        writeContent(archive);
    }
    return withChecksum(out.str());
}

} // namespace

std::string serializeMessage(const Heartbeat &heartbeat, HeartbeatLayout layout)
{
    return serializeWith(MessageType::Heartbeat, [&](auto &archive) {
        const bool isCurrent = layout == HeartbeatLayout::Current;
        archiveIdentity(archive, heartbeat);
        if (isCurrent)
            archive(heartbeat.forwardingAddress);
        archiveState(archive, heartbeat);
        if (isCurrent)
            archive(heartbeat.targetContact);
        archiveLists(archive, heartbeat);
        archive(heartbeat.targetLimits, heartbeat.permitProtocol);
    });
}

std::string serializeMessage(const QuotaLoanRequest &loanRequest)
{
    return serializeWith(MessageType::TokenRequest, [&](auto &archive) {
        archive(loanRequest);
        if (!loanRequest.urgent.empty())
            archive(loanRequest.urgent);
    });
}

std::string serializeMessage(const QuotaLoan &loan)
{
    return serializeWith(MessageType::TokenLoan, [&](auto &archive) {
        archive(loan);
        if (!loan.exhausted.empty())
            archive(loan.exhausted);
    });
}

std::string serializeMessage(const AccessMessage &message)
{
    return std::visit(
            [](const auto &content) {
                return serializeWith(typeOf(content), [&](auto &archive) { archive(content); });
            },
            message);
}

PeerMessage parseMessage(std::string_view bytes)
{
    const auto content = verifiedContent(bytes);
    if (!content)
        throw cereal::Exception("wrong checksum");
    std::istringstream in{ std::string(*content) };
    cereal::PortableBinaryInputArchive archive(in);
    MessageType type{};
    archive(type);
    switch (type) {
    case MessageType::Heartbeat:
        return readHeartbeat(in, archive);
    case MessageType::TokenRequest: {
        QuotaLoanRequest loanRequest;
        archive(loanRequest);
        if (isMoreLeft(in))
            archive(loanRequest.urgent);
        return loanRequest;
    }
    case MessageType::TokenLoan: {
        QuotaLoan loan;
        archive(loan);
        if (isMoreLeft(in))
            archive(loan.exhausted);
        return loan;
    }
    case MessageType::PermitRequest:
        return readAs<PermitRequest>(archive);
    case MessageType::PermitReply:
        return readAs<PermitReply>(archive);
    case MessageType::PermitRelease:
        return readAs<PermitRelease>(archive);
    }
    throw cereal::Exception("unknown message type " + std::to_string(static_cast<int>(type)));
}

} // namespace basildeck
