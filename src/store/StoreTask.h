#pragma once

#include "basildeck/Result.h"
#include "config/Settings.h"
#include "core/Mailbox.h"
#include "core/TaskMessages.h"
#include "decide/ClaimBook.h"
#include "decide/HolderTable.h"

#include <atomic>
#include <memory>
#include <optional>

namespace basildeck {

class LwsLoop;
class StoreClient;
struct ListedVm;
struct StoreChanges;
struct StoredValue;

// The task that talks to the platform's store: it watches the configuration when it is its zone's
// watcher, proposes the table of holders when it is the proposer, and commits the claims whose
// buckets this VM owns.
class StoreTask
{
public:
    // Figures for status pages. Any thread may read them.
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

    // Names the mailboxes that the task posts to. Called before run().
    void connect(Mailbox<PeerMessage> &peer) { m_peer = &peer; }
    Mailbox<StoreMessage> &mailbox() { return m_mailbox; }
    const Statistics &statistics() const { return m_statistics; }
    void run();
    void stop();

private:
    explicit StoreTask(const Settings &settings);
    void onWake();
    void onTick();
    void handle(StoreMessage message, Time now);
    void watch(Time now);
    void onChanges(Result<StoreChanges> changes);
    void onObject(const StoredValue &object);
    void checkHolders(Time now);
    void onVms(Result<std::vector<ListedVm>> vms);
    void writeHolders(const HolderTable &table);
    void onHoldersWritten(const Result<std::uint64_t> &result, HolderTable table);
    void commitClaims(Time now);
    void noteResult(bool reached);

    Settings m_settings;
    Mailbox<StoreMessage> m_mailbox;
    Mailbox<PeerMessage> *m_peer = nullptr;
    std::unique_ptr<LwsLoop> m_loop;
    std::unique_ptr<StoreClient> m_client;
    Statistics m_statistics;
    StoreRoles m_roles;
    ClaimBook m_claims;
    std::uint64_t m_seenVersion = 0;
    std::uint64_t m_configVersion = 0;
    HolderTable m_holders;
    bool m_watchOpen = false;
    bool m_firstReadDone = false;
    bool m_vmsOpen = false;
    bool m_holderWriteOpen = false;
    std::set<std::string> m_gone;
    std::set<std::string> m_listedLeaving;
    Time m_nextWatch;
    Time m_nextVmList;
};

// The JSON form of a table of holders, and back.
std::string encodeHolderTable(const HolderTable &table);
HolderTable decodeHolderTable(const std::string &value, std::uint64_t version);

} // namespace basildeck
