#pragma once

#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "core/Members.h"
#include "decide/BudgetShare.h"
#include "decide/ClaimBook.h"
#include "decide/CrashList.h"
#include "decide/HolderTable.h"
#include "decide/SlotLoans.h"
#include "decide/StoreEvidence.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

// The messages by which the tasks of one process talk.
namespace basildeck {

// A configuration with its version. Tasks share it read-only.
struct ActiveConfig
{
    std::uint64_t version = 0;
    std::shared_ptr<const FleetConfig> config;
};

// The same configuration as text, which is what VMs pass on.
struct ConfigDocument
{
    std::uint64_t version = 0;
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

struct HolderAcknowledged
{
    std::string vm;
    std::uint64_t version = 0;
};

struct StoreContactSucceeded
{};
struct StoreContactFailed
{};

// Until when requests with keys may be served.
struct ServeUntil
{
    Time until;
};

struct TokenLeaseRequestMessage
{
    std::string budget;
    BudgetAsk request;
};

struct TokenLeaseMessage
{
    std::string budget;
    BudgetGrant lease;
};

struct SlotRequestMessage
{
    std::string service;
    SlotAsk request;
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

// A message of one VM's front to another's.
using FrontPayload
        = std::variant<TokenLeaseRequestMessage, TokenLeaseMessage, CrashReport, ClaimDecision,
                       SlotRequestMessage, SlotGrantMessage, SlotReturnMessage>;
// A message of one VM's front to the owner of a claim bucket.
using StorePayload = std::variant<ClaimBegin, ClaimFinish, ClaimRelease>;

struct ReceivedFrontPayload
{
    std::string vm;
    FrontPayload payload;
};

struct ReceivedStorePayload
{
    std::string vm;
    StorePayload payload;
};

struct OutgoingFrontPayload
{
    std::string vm; // empty: all members
    FrontPayload payload;
};

struct OutgoingStorePayload
{
    std::string vm;
    StorePayload payload;
};

// How busy this VM is, and up to which version it keeps to the table of holders.
struct FrontReport
{
    std::uint32_t loadPermille = 0;
    std::uint64_t holderVersion = 0;
};

struct LeaveRequested
{
    bool immediate = false;
};

// The front has no open request left.
struct FrontDrained
{};

// What this VM does towards the store for others, and what that needs to know of the members.
struct StoreRoles
{
    bool isStoreWatcher = false;   // this VM holds a watch of the store for its zone
    bool isHolderProposer = false; // this VM proposes changes of the table of holders
    std::vector<std::string> liveVms;
    std::vector<std::string> leavingVms;
    std::map<std::string, std::string> regionOfVm;
    bool holderChangeComplete = false;
};

enum class StatusKind { Readiness, Metrics, Status, Explanation };

// Asks the front what it believes. The later fields belong to explanations.
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

using AdminMessage = std::variant<StatusResponse>;
using FrontMessage
        = std::variant<ActiveConfig, MembersChanged, HolderTableChanged, HolderAcknowledged,
                       ServeUntil, ReceivedFrontPayload, StatusRequest, LeaveRequested>;
using PeerMessage = std::variant<ConfigDocument, HolderTableChanged, StoreContactSucceeded,
                                 StoreContactFailed, OutgoingFrontPayload, OutgoingStorePayload,
                                 FrontReport, LeaveRequested, FrontDrained>;
using StoreMessage = std::variant<StoreRoles, ReceivedStorePayload, ConfigDocument>;

} // namespace basildeck
