#pragma once

#include "core/TaskMessages.h"
#include "decide/Membership.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace basildeck {

// The header of every datagram between VMs: the sender and the versions that it holds.
struct PacketHeader
{
    std::string sender;
    std::uint64_t incarnation = 0;
    StoreVersion configVersion;
    StoreVersion holderVersion;             // latest table that the sender knows
    StoreVersion acknowledgedHolderVersion; // latest table whose parts it does not exceed
    std::uint32_t loadPermille = 0;
    std::int64_t storeReachedAgeMs = -1; // age of the last contact by any VM; -1: none
    std::int64_t storeDownAgeMs = -1;    // age of the last failed contact from the store's region
    std::uint64_t membersDigest = 0;
};

using PacketBody = std::variant<Ping, Ack, PingRequest, IndirectAck, FrontPayload, StorePayload>;

// A datagram between VMs.
struct Packet
{
    PacketHeader header;
    std::vector<Member> updates; // piggybacked changes of the membership
    PacketBody body;
};

// Larger packets are not sent.
constexpr std::size_t maxPacketBytes = 8192;

std::string encodePacket(const Packet &packet);
std::optional<Packet> decodePacket(std::string_view bytes);

// Requests newer state from a VM, over TCP.
struct SyncRequest
{
    StoreVersion configVersion; // version that the requester holds
    bool includeMembers = false;
};

// Contains a configuration only if the responder's is newer: a JSON patch (RFC 6902) if the
// responder's history still holds the requester's version and the patch is smaller, otherwise the
// whole document.
struct SyncResponse
{
    StoreVersion configVersion;
    bool isPatch = false;
    StoreVersion baseVersion; // version to which the patch applies
    std::string config;
    HolderTable holders;
    std::vector<Member> members;
    std::vector<CrashReport> crashes;
};

std::string encodeSyncRequest(const SyncRequest &request);
std::optional<SyncRequest> decodeSyncRequest(std::string_view bytes);
std::string encodeSyncResponse(const SyncResponse &response);
std::optional<SyncResponse> decodeSyncResponse(std::string_view bytes);

} // namespace basildeck
