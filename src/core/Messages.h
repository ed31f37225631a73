#pragma once

#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "core/Members.h"
#include "decide/BudgetShare.h"
#include "decide/ClaimBook.h"
#include "decide/CrashQuarantine.h"
#include "decide/HolderTable.h"
#include "decide/SlotLoans.h"
#include "decide/StorePartitionDetector.h"

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
struct ConfigInForce
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

struct StoreReached
{};
struct StoreFailed
{};

// Until when requests with keys may be served.
struct ServeUntil
{
    Time until;
};

struct BudgetAskMessage
{
    std::string budget;
    BudgetAsk ask;
};

struct BudgetGrantMessage
{
    std::string budget;
    BudgetGrant grant;
};

struct SlotAskMessage
{
    std::string service;
    SlotAsk ask;
};

struct SlotGrantMessage
{
    std::string service;
    SlotGrant grant;
};

struct SlotReturnMessage
{
    std::string service;
    SlotReturn back;
};

// A message of one VM's front to another's.
using FrontPayload = std::variant<BudgetAskMessage, BudgetGrantMessage, CrashReport, ClaimDecision,
                                  SlotAskMessage, SlotGrantMessage, SlotReturnMessage>;
// A message of one VM's front to the owner of a claim bucket.
using StorePayload = std::variant<ClaimBegin, ClaimFinish, ClaimRelease>;

struct FrontPayloadFrom
{
    std::string vm;
    FrontPayload payload;
};

struct StorePayloadFrom
{
    std::string vm;
    StorePayload payload;
};

struct FrontPayloadTo
{
    std::string vm; // empty: all members
    FrontPayload payload;
};

struct StorePayloadTo
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
    bool hurry = false;
};

// The front has no open request left.
struct FrontDrained
{};

// What this VM does towards the store for others, and what that needs to know of the members.
struct RelayRoles
{
    bool watches = false;  // this VM holds a watch of the store for its zone
    bool proposes = false; // this VM proposes changes of the table of holders
    std::vector<std::string> live;
    std::vector<std::string> leaving;
    std::map<std::string, std::string> regions; // by VM
    bool tableComplete = false;
};

enum class StatusWanted { Readiness, Metrics, Status, Explanation };

// Asks the front what it believes. The later fields belong to explanations.
struct StatusRequest
{
    std::uint64_t id = 0;
    StatusWanted wants = StatusWanted::Readiness;
    std::string callerIp;
    std::string method;
    std::string host;
    std::string path;
    std::string key;
};

struct StatusAnswer
{
    std::uint64_t id = 0;
    bool ready = false;
    std::string text;
};

using AdminMessage = std::variant<StatusAnswer>;
using FrontMessage
        = std::variant<ConfigInForce, MembersChanged, HolderTableChanged, HolderAcknowledged,
                       ServeUntil, FrontPayloadFrom, StatusRequest, LeaveRequested>;
using PeerMessage
        = std::variant<ConfigDocument, HolderTableChanged, StoreReached, StoreFailed,
                       FrontPayloadTo, StorePayloadTo, FrontReport, LeaveRequested, FrontDrained>;
using StoreMessage = std::variant<RelayRoles, StorePayloadFrom, ConfigDocument>;

} // namespace basildeck
