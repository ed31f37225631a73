#pragma once

#include "decide/PeerTable.h"
#include "decide/access/AccessMessages.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace basildeck {

// The datagrams between VMs: a checksum, then a portable binary archive of cereal.
//
// During an upgrade, VMs of different builds exchange them. The order of existing fields never
// changes. New fields of a heartbeat are added at its end: earlier builds ignore what follows the
// fields that they know, and fields that an earlier build does not send keep their defaults.

// The layouts of heartbeats in use.
enum class HeartbeatLayout {
    WithoutForwarding, // of builds that do not forward requests for other VMs
    Current
};

// A heartbeat and the layout that its sender reads.
struct ReceivedHeartbeat
{
    Heartbeat heartbeat;
    HeartbeatLayout layout = HeartbeatLayout::Current;
};

using PeerMessage = std::variant<ReceivedHeartbeat, QuotaLoanRequest, QuotaLoan, PermitRequest,
                                 PermitReply, PermitRelease>;

constexpr std::size_t maxDatagramBytes = 32 * 1024;

// Returns the bytes of a datagram.
std::string serializeMessage(const Heartbeat &heartbeat,
                             HeartbeatLayout layout = HeartbeatLayout::Current);
std::string serializeMessage(const QuotaLoanRequest &loanRequest);
std::string serializeMessage(const QuotaLoan &loan);
std::string serializeMessage(const AccessMessage &message);

// Parses a datagram. Throws an exception derived from std::exception if it is malformed.
PeerMessage parseMessage(std::string_view bytes);

} // namespace basildeck
