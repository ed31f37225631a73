#include "peer/Packet.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace basildeck {

template <typename Archive>
void serialize(Archive &archive, Address &address)
{
    archive(address.ip, address.port);
}

template <typename Archive>
void serialize(Archive &archive, Member &member)
{
    archive(member.vm, member.incarnation, member.state, member.region, member.zone,
            member.callerAddress, member.peerAddress, member.loadPermille);
}

template <typename Archive>
void serialize(Archive &archive, StoreVersion &version)
{
    archive(version.era, version.revision);
}

template <typename Archive>
void serialize(Archive &archive, PacketHeader &header)
{
    archive(header.sender, header.incarnation, header.configVersion, header.holderVersion,
            header.acknowledgedHolderVersion, header.loadPermille, header.storeReachedAgeMs,
            header.storeDownAgeMs, header.membersDigest);
}

template <typename Archive>
void serialize(Archive &archive, Ping &ping)
{
    archive(ping.sequence);
}

template <typename Archive>
void serialize(Archive &archive, Ack &ack)
{
    archive(ack.sequence);
}

template <typename Archive>
void serialize(Archive &archive, PingRequest &request)
{
    archive(request.sequence, request.target);
}

template <typename Archive>
void serialize(Archive &archive, IndirectAck &ack)
{
    archive(ack.sequence, ack.target);
}

template <typename Archive>
void serialize(Archive &archive, TokenLeaseRequest &ask)
{
    archive(ask.nonce, ask.amount, ask.consumedLeases);
}

template <typename Archive>
void serialize(Archive &archive, TokenLease &grant)
{
    archive(grant.nonce, grant.amount, grant.spare);
}

template <typename Archive>
void serialize(Archive &archive, TokenLeaseRequestMessage &message)
{
    archive(message.budget, message.request);
}

template <typename Archive>
void serialize(Archive &archive, TokenLeaseMessage &message)
{
    archive(message.budget, message.lease);
}

template <typename Archive>
void serialize(Archive &archive, SlotRequestMessage &message)
{
    archive(message.service, message.request.nonce, message.request.wanted);
}

template <typename Archive>
void serialize(Archive &archive, SlotGrantMessage &message)
{
    archive(message.service, message.grant.nonce, message.grant.targets);
}

template <typename Archive>
void serialize(Archive &archive, SlotReturnMessage &message)
{
    archive(message.service, message.returnedSlot.nonce, message.returnedSlot.target);
}

template <typename Archive>
void serialize(Archive &archive, CrashReport &report)
{
    archive(report.fingerprint, report.target, report.ranForMs);
}

template <typename Archive>
void serialize(Archive &archive, ClaimId &id)
{
    archive(id.vm, id.incarnation, id.sequence);
}

template <typename Archive>
void serialize(Archive &archive, ClaimOutcome &outcome)
{
    archive(outcome.status, outcome.contentType, outcome.body, outcome.bodyKept);
}

template <typename Archive>
void serialize(Archive &archive, ClaimBegin &claim)
{
    archive(claim.id, claim.key, claim.fingerprint, claim.retentionSeconds);
}

template <typename Archive>
void serialize(Archive &archive, ClaimFinish &claim)
{
    archive(claim.id, claim.key, claim.outcome);
}

template <typename Archive>
void serialize(Archive &archive, ClaimRelease &claim)
{
    archive(claim.id, claim.key);
}

template <typename Archive>
void serialize(Archive &archive, ClaimDecision &decision)
{
    archive(decision.id, decision.key, decision.verdict, decision.outcome);
}

template <typename Archive>
void serialize(Archive &archive, HolderTable &table)
{
    archive(table.version, table.before, table.after, table.gone, table.confirming, table.regions);
}

template <typename Archive>
void serialize(Archive &archive, Packet &packet)
{
    archive(packet.header, packet.updates, packet.body);
}

template <typename Archive>
void serialize(Archive &archive, SyncRequest &request)
{
    archive(request.configVersion, request.includeMembers);
}

template <typename Archive>
void serialize(Archive &archive, SyncResponse &response)
{
    archive(response.configVersion, response.isPatch, response.baseVersion, response.config,
            response.holders, response.members, response.crashes);
}

namespace {

template <typename Message>
std::string encode(const Message &message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

// Returns nothing for malformed input. The archive throws on it, also on an implausible length.
template <typename Message>
std::optional<Message> decode(std::string_view bytes)
{
    try {
        std::istringstream stream{ std::string(bytes) };
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encodePacket(const Packet &packet)
{
    return encode(packet);
}

std::optional<Packet> decodePacket(std::string_view bytes)
{
    return decode<Packet>(bytes);
}

std::string encodeSyncRequest(const SyncRequest &request)
{
    return encode(request);
}

std::optional<SyncRequest> decodeSyncRequest(std::string_view bytes)
{
    return decode<SyncRequest>(bytes);
}

std::string encodeSyncResponse(const SyncResponse &response)
{
    return encode(response);
}

std::optional<SyncResponse> decodeSyncResponse(std::string_view bytes)
{
    return decode<SyncResponse>(bytes);
}

} // namespace basildeck
