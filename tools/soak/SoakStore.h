#pragma once

#include "edge/EdgeServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basildeck::soak {

// How the store treats requests. Open watches are told of changes only in Normal mode.
enum class StoreMode {
    Normal,
    Unavailable,  // answers new requests with 503
    Unresponsive, // leaves new requests unanswered
    DropResponses // carries out writes, but aborts the connection instead of responding
};

// An in-memory implementation of the platform's store API as the platform documents it: objects by
// kind and name, a single revision counter, lists, watches and conditional writes.
class SoakStore
{
public:
    static std::unique_ptr<SoakStore> make(EventLoop &loop, const Address &address);

    // Serves another address as well. Responses there have a text replaced by another one of the
    // same length. False if the address is in use.
    bool addView(const Address &address, const std::string &text, const std::string &replacement);

    // Changes made meanwhile are reported to open watches when the mode becomes Normal again.
    void setMode(StoreMode mode);
    // Discards all changes so far. Watches from an older revision are answered with 410.
    void compactHistory();
    // Aborts the connections of open watches.
    void cutWatches();
    // Leaves the open watches unanswered, on connections that stay open: those of one kind, or all.
    void loseWatches(const std::string &kind = {});
    // Goes back to the objects and the revision of an earlier time, and begins a new era. Revisions
    // given out since are given out again; watches from a revision above the store's receive 410.
    void restore(Time time);

    std::uint64_t callCount() const { return m_nextRequestId - 1; }
    std::uint64_t revision() const { return m_revision; }

    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json object;
        bool deleted;
    };
    struct Copy
    {
        Time time;
        std::uint64_t revision = 0;
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    };
    struct Watch
    {
        std::uint64_t id;
        std::string kind;
        std::uint64_t afterRevision;
        ResponseSink sink;
    };

    explicit SoakStore(EventLoop &loop);
    // Serves an address; responses pass through a function.
    bool listen(const Address &address, const std::function<void(ResponseSink &)> &adaptSink);
    void keepCopy();
    std::uint64_t handleRequest(const IncomingRequest &request);
    void handleObjectRequest(const IncomingRequest &request);
    void sendList(const std::string &kind, const ResponseSink &sink);
    bool respondToWatch(const Watch &watch, bool timedOut);
    void recordChange(const std::string &kind, const nlohmann::json &object, bool deleted);
    void notifyWatches();
    void sendResponse(const ResponseSink &sink, int status, const nlohmann::json &body);

    EventLoop &m_loop;
    MemoryBudget m_memory{ 1 << 20 }; // for request bodies
    std::vector<std::unique_ptr<EdgeServer>> m_servers;
    StoreMode m_mode = StoreMode::Normal;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 1;
    std::uint64_t m_nextRequestId = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_changes;
    std::vector<Watch> m_watches;
    std::deque<Copy> m_copies; // of the last seconds, oldest first
    Timer m_copyTimer;
};

} // namespace basildeck::soak
