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

// What every datagram between VMs starts with: who sends it and what that VM has seen.
struct PacketHeader
{
    std::string sender;
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t holderVersion = 0;             // of the table that the sender knows
    std::uint64_t acknowledgedHolderVersion = 0; // of the table that the sender keeps to
    std::uint32_t loadPermille = 0;
    std::int64_t storeReachedAgeMs = -1; // -1: never
    std::int64_t storeDownAgeMs = -1;
    std::uint64_t membersDigest = 0;
};

using PacketBody = std::variant<Ping, Ack, PingRequest, IndirectAck, FrontPayload, StorePayload>;

// One datagram between VMs.
struct Packet
{
    PacketHeader header;
    std::vector<Member> updates;
    PacketBody body;
};

// Largest datagram that is sent.
constexpr std::size_t maxPacketBytes = 8192;

std::string encodePacket(const Packet &packet);
std::optional<Packet> decodePacket(std::string_view bytes);

// Asks a VM over TCP for what the asker does not have yet.
struct SyncRequest
{
    std::uint64_t configVersion = 0;
    bool includeMembers = false;
};

// The configuration is empty if the asker has it, a JSON patch (RFC 6902) if the answering VM still
// knows the asker's version, and else the whole document.
struct SyncResponse
{
    std::uint64_t configVersion = 0;
    bool isPatch = false;
    std::uint64_t baseVersion = 0; // that a patch applies to
    std::string config;
    HolderTable holders;
    std::vector<Member> members;
    std::vector<CrashReport> crashes;
};

std::string encodeSyncRequest(const SyncRequest &request);
std::optional<SyncRequest> decodeSyncRequest(std::string_view bytes);
std::string encodeSyncResponse(const SyncResponse &answer);
std::optional<SyncResponse> decodeSyncResponse(std::string_view bytes);

} // namespace basildeck
