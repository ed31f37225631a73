#pragma once

#include "core/StoreVersion.h"
#include "edge/JsonHttpClient.h"
#include "edge/UnreadableEntryLog.h"
#include "store/ObjectProtocol.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// When watches are sent, and how long the store holds them open without changes.
struct WatchTimes
{
    // Delay between a change and the next watch, so that a burst of changes costs one call.
    Duration delay = milliseconds(250);
    // Wait of the first watch after a change. Each further one waits for twice as long, up to
    // maxWait. The VMs that watch the store send the first ones at about the same time, so if the
    // store is silent then, all of them lose theirs, and nobody has newer revisions to announce.
    milliseconds firstWait{ 900 };
    // The store never responds to a watch that it lost, so only the end of the wait shows the loss.
    milliseconds maxWait{ 1800 };
};

// A change to an object, by which its present state is reached.
struct ReplicaChange
{
    std::string_view name;
    std::uint64_t revision = 0;
    const StoredObject *object = nullptr; // null if it was deleted
};

// A local replica of all store objects of one kind, kept up to date with list and watch calls, or
// with the changes that another VM relays. While this VM cannot reach the store, newer snapshots
// from other VMs can be adopted. The version of the replica never decreases: when the store returns
// from an older copy, its era rises, and the objects are listed again.
class ObjectReplica
{
public:
    // With the default waits, a VM that watches the store knows each change after this time at
    // most, also if the store lost the watch that would have reported it. A list comes on top.
    static constexpr Duration maxChangeLag = seconds(4);
    static constexpr Duration callTimeout = milliseconds(1500);
    // Time limit for a response that has begun, as long as further parts arrive.
    static constexpr Duration maxTransferTime = seconds(10);
    static constexpr Duration initialBackoff = milliseconds(150);
    // Time for a new connection and a call that returns at once, between distant regions.
    static constexpr Duration reconnectionTime = milliseconds(500);
    static_assert(WatchTimes().maxWait + callTimeout + initialBackoff + reconnectionTime
                  <= maxChangeLag);
    static constexpr Duration maxBackoff = milliseconds(1000);
    // Changes that are kept for VMs that follow this replica.
    static constexpr std::size_t maxLoggedChanges = 4096;
    // Lists after which those changes can still be used.
    static constexpr std::size_t maxGaps = 16;

    struct Callbacks
    {
        std::function<void(const StoredObject &)> onStored;
        std::function<void(const std::string &name)> onDeleted;
        // Called after all changes of one response or snapshot were reported.
        std::function<void()> onBatchApplied;
        // Called when the store became reachable or unreachable from this VM.
        std::function<void(bool reachable)> onReachabilityChanged;
        // Called instead of the reports of single changes when the objects are those of a higher
        // era. They may be older than the ones before.
        std::function<void(const std::map<std::string, StoredObject> &)> onRestored
                = [](const auto &) {};
        // Called when the store, or a snapshot, had a higher era than any before.
        std::function<void(std::uint64_t era)> onEraRaised = [](std::uint64_t) {};
        // Called when the store responds again after calls without a response.
        std::function<void()> onResponsive = [] {};
    };

    ObjectReplica(EventLoop &loop, const ObjectProtocol &protocol, Address store, std::string kind,
                  Callbacks callbacks, WatchTimes watchTimes = {});

    // Starts to list and watch the store, from the version of the replica if there is one.
    void start();
    // Ends the calls to the store. The replica remains.
    void stop();
    bool isWatching() const { return m_isWatching; }
    // Sends the pending watch again if it was sent before a time. The store never responds to a
    // watch that it lost, and only the end of the wait would show that. The new watch returns at
    // once, so that a store that still does not respond is found out.
    void renewWatch(Time sentBefore);

    const std::string &kind() const { return m_kind; }
    // Store version of the replica; its revision is 0 before the first list.
    const StoreVersion &version() const { return m_version; }
    bool isListed() const { return m_version.revision != 0; }
    // Version of the last known change. Deletions before the first list are not known.
    const StoreVersion &lastChange() const { return m_lastChange; }
    // Whether the store is known to be in a higher era than the replica.
    bool isOfEarlierEra() const { return m_version.era < m_storeEra; }
    // The store was seen in an era. If that is higher than the replica's, the objects are listed
    // again, and nothing of a lower era is applied.
    void raiseEra(std::uint64_t era);
    bool isReachable() const { return m_reachable; }
    const std::map<std::string, StoredObject> &objects() const { return m_objects; }
    // Number of calls to the store, for the metrics.
    std::uint64_t callCount() const { return m_callCount; }
    // How long the current call has been waiting for its response; zero if there is none.
    Duration callAge() const;
    // When the replica was last known to be as new as the store: the first page of a list was
    // requested, a watch was answered or its wait had ended, or another VM confirmed its version.
    // Nothing if that never happened.
    std::optional<Time> confirmedAt() const { return m_confirmedAt; }
    std::optional<Duration> confirmedAge() const;
    // Another VM knows that the store had no newer version than this at a time.
    void confirm(const StoreVersion &version, Time at);

    // Replaces the replica by a snapshot from another VM if that is newer. Returns whether it was.
    bool adoptSnapshot(std::map<std::string, StoredObject> objects, const StoreVersion &version);
    // Applies changes from another VM, which lead from this replica's version to a newer one of the
    // same era.
    void adoptChanges(std::vector<ObjectChange> changes, const StoreVersion &version);
    // The last change after a version to each object that changed, oldest first; nothing if they
    // are not known, or if the version is of another era. Valid until the next change.
    std::optional<std::vector<ReplicaChange>> changesSince(const StoreVersion &version) const;
    bool hasChangesSince(const StoreVersion &version) const { return m_lastChange > version; }

private:
    void list();
    // Records whether a call got a response.
    void recordResponse(bool received);
    void recordConfirmation(Time at);
    // Requests the next page. A list that cannot continue, or returns to a page that it had, is not
    // taken as complete: what it lacks may exist. It is repeated later.
    void continueList(const std::string &after);
    void handleListResponse(const Result<JsonHttpResponse> &response);
    void watch();
    void watchFor(milliseconds wait);
    // Sends a call to the store.
    void call(const std::string &path, Duration timeout,
              void (ObjectReplica::*handle)(const Result<JsonHttpResponse> &));
    void handleWatchResponse(const Result<JsonHttpResponse> &response);
    void listAgain();
    // Takes notice of the era of a response. Returns false for one of an earlier era, which is not
    // applied; the call is repeated later.
    bool acceptEra(const JsonHttpResponse &response);
    void recordEra(std::uint64_t era);
    void callAgainLater();
    void retryLater(const std::string &reason);
    void setReachable(bool reachable, const std::string &reason);
    void replaceAll(std::map<std::string, StoredObject> objects, const StoreVersion &version);
    void apply(ObjectChange change, std::uint64_t batchRevision);
    void logChange(const StoredObject &object, std::uint64_t batchRevision);

    // A change and the revision of the replica after it. What the object became is in the objects.
    struct LoggedChange
    {
        std::uint64_t revision; // in the era of the replica
        std::string name;
        std::uint64_t objectRevision;
    };

    // Revisions of which a list skipped the changes. What differed between them may be an object
    // that only replicas inside the gap have.
    struct Gap
    {
        std::uint64_t after;
        std::uint64_t before;
    };

    EventLoop &m_loop;
    const ObjectProtocol &m_protocol;
    Address m_store;
    std::string m_kind;
    UnreadableEntryLog m_unreadableLog;
    Callbacks m_callbacks;
    WatchTimes m_watchTimes;
    JsonHttpClient m_client;
    Timer m_retryTimer;
    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, StoredObject> m_listed; // pages of the current list call
    std::string m_listContinuation;
    std::set<std::string> m_listContinuations; // of the current list call
    std::deque<LoggedChange> m_log;            // oldest first
    std::uint64_t m_logStart = 0; // the log has all changes after this revision, but for the gaps
    std::deque<Gap> m_gaps;       // oldest first
    StoreVersion m_version;
    StoreVersion m_lastChange;
    StoreVersion m_listVersion;   // of the first page
    std::uint64_t m_storeEra = 0; // the highest that was seen
    std::uint64_t m_watchEra = 0; // of the version from which changes are watched
    std::uint64_t m_callCount = 0;
    Time m_calledAt{};
    std::optional<Time> m_confirmedAt;
    Time m_listCalledAt{}; // of the first page
    Time m_watchEndsAt{};  // when the store answers the current watch at the latest
    bool m_isWatchPending = false;
    // How long the store holds the next watch open.
    milliseconds m_nextWait = m_watchTimes.maxWait;
    bool m_isUnresponsive = false; // the last call got no response
    bool m_isWatching = false;
    bool m_reachable = false;
    bool m_hasReportedReachability = false;
    bool m_needsFullList = true;
    Duration m_backoff = initialBackoff;
};

} // namespace basildeck
