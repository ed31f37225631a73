#pragma once

#include "edge/JsonHttpClient.h"
#include "store/ObjectProtocol.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// A local replica of all store objects of one kind, kept up to date with list and watch calls, or
// with the changes that another VM relays. While this VM cannot reach the store, newer snapshots
// from other VMs can be adopted. The revision of the replica never decreases.
class ObjectReplica
{
public:
    // How long the store holds a watch call open without changes. Each call to the store is billed,
    // so this is long; a watch that hangs is detected by the revisions that other VMs announce.
    static constexpr milliseconds watchTimeout{ 10000 };
    // Delay between a change and the next watch, so that a burst of changes costs one call.
    static constexpr Duration minWatchDelay = milliseconds(250);
    static constexpr Duration callTimeout = milliseconds(1500);
    static constexpr Duration initialBackoff = milliseconds(150);
    static constexpr Duration maxBackoff = milliseconds(1000);
    // Changes that are kept for VMs that follow this replica.
    static constexpr std::size_t maxLoggedChanges = 4096;

    struct Callbacks
    {
        std::function<void(const StoredObject &)> onStored;
        std::function<void(const std::string &name)> onDeleted;
        // Called after all changes of one response or snapshot were reported.
        std::function<void()> onBatchApplied;
        // Called when the store became reachable or unreachable from this VM.
        std::function<void(bool reachable)> onReachabilityChanged;
    };

    ObjectReplica(EventLoop &loop, const ObjectProtocol &protocol, Address store, std::string kind,
                  Callbacks callbacks, Duration watchDelay = minWatchDelay);

    // Starts to list and watch the store, from the revision of the replica if there is one.
    void start();
    // Ends the calls to the store. The replica remains.
    void stop();
    bool isWatching() const { return m_isWatching; }

    const std::string &kind() const { return m_kind; }
    // Store revision of the replica; 0 before the first list.
    std::uint64_t revision() const { return m_revision; }
    // Revision of the last known change. Deletions before the first list are not known.
    std::uint64_t lastChangeRevision() const { return m_lastChangeRevision; }
    bool isReachable() const { return m_reachable; }
    const std::map<std::string, StoredObject> &objects() const { return m_objects; }
    // Number of calls to the store, for the metrics.
    std::uint64_t callCount() const { return m_callCount; }

    // Replaces the replica by a snapshot from another VM if that is newer. Returns whether it was.
    bool adoptSnapshot(std::map<std::string, StoredObject> objects, std::uint64_t revision);
    // Applies changes from another VM, which lead from this replica's revision to a newer one.
    void adoptChanges(const std::vector<ObjectChange> &changes, std::uint64_t revision);
    // The changes after a revision, oldest first; nothing if they are no longer known.
    std::optional<std::vector<ObjectChange>> changesSince(std::uint64_t revision) const;
    bool hasChangesSince(std::uint64_t revision) const { return m_lastChangeRevision > revision; }

private:
    void list();
    void handleListResponse(const Result<JsonHttpResponse> &response);
    void watch();
    void handleWatchResponse(const Result<JsonHttpResponse> &response);
    void retryLater(const std::string &reason);
    void setReachable(bool reachable, const std::string &reason);
    void replaceAll(std::map<std::string, StoredObject> objects);
    void apply(const ObjectChange &change, std::uint64_t batchRevision);
    void logChange(ObjectChange change, std::uint64_t batchRevision);

    // A change and the revision of the replica after it.
    struct LoggedChange
    {
        std::uint64_t revision;
        ObjectChange change;
    };

    const ObjectProtocol &m_protocol;
    Address m_store;
    std::string m_kind;
    Callbacks m_callbacks;
    Duration m_watchDelay;
    JsonHttpClient m_client;
    Timer m_retryTimer;
    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, StoredObject> m_listed; // pages of the current list call
    std::string m_listContinuation;
    std::deque<LoggedChange> m_log; // oldest first
    std::uint64_t m_logStart = 0;   // the log has all changes after this revision
    std::uint64_t m_revision = 0;
    std::uint64_t m_lastChangeRevision = 0;
    std::uint64_t m_listRevision = 0; // of the first page
    std::uint64_t m_callCount = 0;
    bool m_isWatching = false;
    bool m_reachable = false;
    bool m_hasReportedReachability = false;
    bool m_needsFullList = true;
    Duration m_backoff = initialBackoff;
};

} // namespace basildeck
