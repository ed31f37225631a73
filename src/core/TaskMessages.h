#pragma once

#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "core/Members.h"
#include "core/StoreVersion.h"
#include "decide/ClaimRegistry.h"
#include "decide/CrashQuarantine.h"
#include "decide/HolderTable.h"
#include "decide/SlotLoans.h"
#include "decide/StorePartitionDetector.h"
#include "decide/TokenBucketShare.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

// The messages that the tasks of one process exchange through their mailboxes.
namespace basildeck {

// The parsed configuration that is in effect, with its version. Tasks share it read-only.
struct ActiveConfig
{
    StoreVersion version;
    std::shared_ptr<const FleetConfig> config;
};

// A configuration as JSON text, the form in which VMs exchange it.
struct ConfigDocument
{
    StoreVersion version;
    std::shared_ptr<const std::string> text;
};

struct MembersChanged
{
    MemberList members;
};

struct HolderTableChanged
{
    HolderTable table;
};

// A VM uses no more than its part under this version of the table of holders.
struct HolderTableAcknowledged
{
    std::string vm;
    StoreVersion version;
};

// The result of a call that this VM made to the store.
struct StoreContactSucceeded
{};
struct StoreContactFailed
{};

// The time until which API keys are accepted without further evidence about the store.
struct KeyAcceptanceDeadline
{
    Time deadline;
};

struct TokenLeaseRequestMessage
{
    std::string budget;
    TokenLeaseRequest request;
};

struct TokenLeaseMessage
{
    std::string budget;
    TokenLease lease;
};

struct SlotRequestMessage
{
    std::string service;
    SlotRequest request;
};

struct SlotGrantMessage
{
    std::string service;
    SlotGrant grant;
};

struct SlotReturnMessage
{
    std::string service;
    SlotReturn returnedSlot;
};

// A message from one VM's front task to that of another VM.
using FrontPayload
        = std::variant<TokenLeaseRequestMessage, TokenLeaseMessage, CrashReport, ClaimDecision,
                       SlotRequestMessage, SlotGrantMessage, SlotReturnMessage>;
// A message from one VM's front task to the store task of the VM that owns a claim bucket.
using StorePayload = std::variant<ClaimBegin, ClaimFinish, ClaimRelease>;

struct ReceivedFrontPayload
{
    std::string vm; // sender; empty for a crash report that came with a sync
    FrontPayload payload;
};

struct ReceivedStorePayload
{
    std::string vm; // sender
    StorePayload payload;
};

struct OutgoingFrontPayload
{
    std::string vm; // recipient; empty: all serving members except this VM
    FrontPayload payload;
};

struct OutgoingStorePayload
{
    std::string vm; // recipient
    StorePayload payload;
};

// The front task's load, and the version of the table of holders whose parts it does not exceed.
struct FrontReport
{
    std::uint32_t loadPermille = 0;
    StoreVersion acknowledgedHolderVersion;
};

// Starts a graceful shutdown.
struct LeaveRequested
{
    bool immediate = false; // skips the grace period and bounds the time to drain
};

// The front task has no open requests left.
struct FrontDrained
{};

// The duties towards the store that this VM performs for other VMs, with the state of the members
// that they need.
struct StoreRoles
{
    bool isStoreWatcher = false;   // watches the store for its zone
    bool isHolderProposer = false; // proposes changes to the table of holders
    std::vector<std::string> liveVms;
    std::vector<std::string> leavingVms;
    std::map<std::string, std::string> regionOfVm;
    StoreVersion holderVersion;        // latest table of holders that this VM knows
    bool holderChangeComplete = false; // whether that table's change is complete
};

enum class StatusKind { Readiness, Metrics, Status, Explanation };

// Requests a report from the front task. The fields after the kind are used by Explanation only.
struct StatusRequest
{
    std::uint64_t id = 0;
    StatusKind kind = StatusKind::Readiness;
    std::string callerIp;
    std::string method;
    std::string host;
    std::string path;
    std::string key;
};

struct StatusResponse
{
    std::uint64_t id = 0;
    bool ready = false;
    std::string text;
};

using AdminMessage = std::variant<StatusResponse, ConfigDocument>;
using FrontMessage
        = std::variant<ActiveConfig, MembersChanged, HolderTableChanged, HolderTableAcknowledged,
                       KeyAcceptanceDeadline, ReceivedFrontPayload, StatusRequest, LeaveRequested>;
using PeerMessage = std::variant<ConfigDocument, HolderTableChanged, StoreContactSucceeded,
                                 StoreContactFailed, OutgoingFrontPayload, OutgoingStorePayload,
                                 FrontReport, LeaveRequested, FrontDrained>;
using StoreMessage
        = std::variant<StoreRoles, ReceivedStorePayload, ConfigDocument, HolderTableChanged>;

} // namespace basildeck
