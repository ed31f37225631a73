#pragma once

#include "basildeck/Result.h"
#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/TaskMessages.h"
#include "decide/ClaimRegistry.h"
#include "decide/HolderTable.h"
#include "store/StoredConfig.h"

#include <atomic>
#include <memory>
#include <optional>

namespace basildeck {

class LwsLoop;
class StoreClient;
struct ListedVm;
struct StoreChanges;
struct StoredValue;

// The task that communicates with the platform's store. It watches the configuration if this VM is
// its zone's watcher, proposes the table of holders if this VM is the proposer, and commits the
// claims in the buckets that this VM owns.
//
// When the store's era rises, it came back from a copy, and the task reads everything again. The
// configuration in force stays in force, and a watcher writes it again. The proposer writes a table
// of holders that every VM has to confirm.
class StoreTask
{
public:
    // Counters for metrics. Any thread may read them.
    struct Statistics
    {
        std::atomic<std::uint64_t> calls{ 0 };
        std::atomic<std::uint64_t> failures{ 0 };
        std::atomic<std::uint64_t> claimWrites{ 0 };
        std::atomic<std::uint64_t> claimConflicts{ 0 };
        std::atomic<std::uint64_t> claimsWaiting{ 0 };
    };

    static std::unique_ptr<StoreTask> make(const Settings &settings);
    ~StoreTask();

    // Sets the mailbox that the task posts to. Call it before run().
    void connect(Mailbox<PeerMessage> &peer) { m_peer = &peer; }
    Mailbox<StoreMessage> &mailbox() { return m_mailbox; }
    const Statistics &statistics() const { return m_statistics; }
    void run();
    void stop();

private:
    explicit StoreTask(const Settings &settings);
    void onWake();
    void onTick();
    void handleMessage(StoreMessage message, Time now);
    void watch(Time now);
    void onChanges(std::uint64_t from, Result<StoreChanges> changes);
    void onObject(const StoredValue &object);
    void onConfig(const StoredValue &object);
    void reportStoredConfig();
    void onHolderTable(const StoredValue &object);
    void checkEra(Time now);
    void readAnew();
    void confirmConfig(Time now);
    std::optional<nlohmann::json> configToWrite() const;
    void onConfigWritten(const Result<StoreVersion> &result, const StoredConfig &written);
    void checkHolderTable(Time now);
    void onVmList(Result<std::vector<ListedVm>> vms);
    void proposeHolderTable(const HolderCandidates &candidates);
    void writeHolderTable(HolderTable table);
    void onHolderTableWritten(const Result<StoreVersion> &result, HolderTable table);
    void commitClaims(Time now);
    void reportStoreContact(bool reached);

    Settings m_settings;
    Mailbox<StoreMessage> m_mailbox;
    Mailbox<PeerMessage> *m_peer = nullptr;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<StoreClient> m_client;
    Statistics m_statistics;
    StoreRoles m_roles;
    ClaimRegistry m_claims;
    std::uint64_t m_era = 0; // of the store
    Time m_eraSeen;
    std::uint64_t m_watchedVersion = 0;
    ConfigDocument m_activeConfig; // in force at this VM
    StoreVersion m_reportedConfig; // latest one passed to the peer task
    HolderTable m_holderTable;     // the newest one known
    // What the store holds; nothing until it was read in the current era.
    std::optional<StoredConfig> m_storedConfig;
    std::optional<std::uint64_t> m_storedHolderVersion;
    bool m_configWritePending = false;
    bool m_watchPending = false;
    bool m_initialReadDone = false;
    bool m_vmListPending = false;
    bool m_holderWritePending = false;
    // From the platform's list of VMs.
    std::set<std::string> m_listedVms;
    std::set<std::string> m_goneVms;
    std::set<std::string> m_listedLeavingVms;
    Time m_nextWatch;
    Time m_nextVmList;
};

// Convert the table of holders to and from the JSON form in which the store keeps it, with the era
// in which it is written. Decoding returns an empty table without a version if the value is
// invalid.
std::string encodeHolderTable(const HolderTable &table, std::uint64_t era);
HolderTable decodeHolderTable(const std::string &value, std::uint64_t version);

} // namespace basildeck
