#pragma once

#include "edge/JsonHttpClient.h"
#include "store/ObjectProtocol.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace basildeck {

// A copy of all objects of one kind, kept up to date by a list and a watch of the store. While the
// store does not answer this VM, copies of other VMs are taken over, by store revision; the copy
// never goes back.
class ObjectReplica
{
public:
    // How long a watch waits for a change. Each watch is a call that is paid for; one that hangs is
    // found out by the revisions that other VMs tell.
    static constexpr milliseconds watchWait{ 10000 };
    // Time between a change and the next watch, so that changes that come together cost one call.
    static constexpr Duration shortestPause = milliseconds(250);
    static constexpr Duration callTimeout = milliseconds(1500);
    static constexpr Duration firstBackoff = milliseconds(150);
    static constexpr Duration longestBackoff = milliseconds(1000);

    struct Callbacks
    {
        std::function<void(const StoredObject &)> stored;
        std::function<void(const std::string &name)> deleted;
        // All changes that came together have been reported.
        std::function<void()> settled;
        // The store began or ceased to answer this VM.
        std::function<void(bool reached)> reachable;
    };

    ObjectReplica(EventLoop &loop, const ObjectProtocol &protocol, Address store, std::string kind,
                  Callbacks callbacks, Duration pause = shortestPause);

    void start();
    void stop();

    const std::string &kind() const { return m_kind; }
    // Revision of the store that the copy shows; 0 before the first list.
    std::uint64_t revision() const { return m_revision; }
    // Revision of the last change that the copy shows. A first list shows no deletions.
    std::uint64_t changeRevision() const { return m_changeRevision; }
    bool isReachable() const { return m_reachable; }
    const std::map<std::string, StoredObject> &objects() const { return m_objects; }
    // Calls made, for the metrics.
    std::uint64_t calls() const { return m_calls; }

    // Takes over another VM's copy if it is newer. Returns whether it was.
    bool adopt(std::map<std::string, StoredObject> objects, std::uint64_t revision);

private:
    void list();
    void takeListAnswer(const Result<JsonHttpResponse> &answer);
    void watch();
    void takeWatchAnswer(const Result<JsonHttpResponse> &answer);
    void retryLater(const std::string &reason);
    void setReachable(bool reachable, const std::string &reason);
    void replaceAll(std::map<std::string, StoredObject> objects);
    void apply(const ObjectChange &change);

    const ObjectProtocol &m_protocol;
    Address m_store;
    std::string m_kind;
    Callbacks m_callbacks;
    Duration m_pause;
    JsonHttpClient m_caller;
    Timer m_retry;
    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, StoredObject> m_listed; // pages of the list at hand
    std::string m_listAfter;
    std::uint64_t m_revision = 0;
    std::uint64_t m_changeRevision = 0;
    std::uint64_t m_listRevision = 0; // of the first page
    std::uint64_t m_calls = 0;
    bool m_reachable = false;
    bool m_reported = false;
    bool m_needsList = true;
    Duration m_backoff = firstBackoff;
};

} // namespace basildeck
