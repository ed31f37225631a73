#pragma once

#include "core/EventLoop.h"
#include "edge/ChangesText.h"
#include "edge/ForwardedRequest.h"
#include "edge/ObjectReplica.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// Serves the changes of this VM's replicas to the VMs that do not watch the store themselves.
//
// A follower names the version of each of its replicas. The response is sent when one of the kinds
// has changed since then, or after the time that the follower is willing to wait.
class ReplicaRelay
{
public:
    using RequestId = std::uint64_t;

    // Longest time that a follower may wait for a change.
    static constexpr Duration maxWait = seconds(2);
    // The path of requests. The query has "wait_ms" and, for each kind, its name and version.
    static constexpr std::string_view path = "/changes?";
    // The path of requests of VMs that are behind this one. They are served by every VM.
    static constexpr std::string_view catchUpPath = "/newer?";

    // The key of a response under which the relay states, for each kind, its version and how long
    // ago the store confirmed that. Requests name kinds as parameters, so no kind has a '='.
    static constexpr std::string_view confirmedKey = "=confirmed";

    // The replicas must outlive the relay.
    ReplicaRelay(EventLoop &loop, const std::vector<std::unique_ptr<ObjectReplica>> &replicas);

    // Whether requests are served, or refused because this VM does not reach the store.
    void setServing(bool serving);
    bool isServing() const { return m_isServing; }
    // Returns the id of a request that waits, or 0 if the response was sent. The response may be
    // compressed if the follower accepts that.
    RequestId handle(std::string_view query, const ResponseSink &sink, bool acceptsGzip = false);
    void handleCatchUp(std::string_view query, const ResponseSink &sink, bool acceptsGzip = false);
    // The follower has disconnected: its sink is no longer used.
    void cancel(RequestId id);
    // Responds to the followers that wait for changes. Called after each change.
    void publish();
    // How often a large object was formatted for followers.
    std::uint64_t formattedCount() const { return m_texts.formattedCount(); }

    // The path and query of a request for changes.
    static std::string requestPath(const std::vector<std::unique_ptr<ObjectReplica>> &replicas,
                                   milliseconds wait);
    static std::string
    catchUpRequestPath(const std::vector<std::unique_ptr<ObjectReplica>> &replicas);
    // Applies a response to the replicas of a follower. Returns false if it is invalid. What the
    // relay states about confirmations is counted from the time at which it responded, at the
    // earliest, and ignored without one.
    static bool apply(const std::string &body,
                      const std::vector<std::unique_ptr<ObjectReplica>> &replicas,
                      std::optional<Time> respondedAt = std::nullopt);

private:
    struct Waiting
    {
        std::map<std::string, StoreVersion> versions; // of the follower, by kind
        ResponseSink sink;
        Time until;
        bool acceptsGzip = false;
    };
    Waiting parseQuery(std::string_view query, const ResponseSink &sink, bool acceptsGzip) const;
    bool hasChanges(const std::map<std::string, StoreVersion> &versions) const;
    void respond(const Waiting &request);
    static void refuse(const ResponseSink &sink);
    void handleTimeouts();

    EventLoop &m_loop;
    const std::vector<std::unique_ptr<ObjectReplica>> &m_replicas;
    Timer m_timer; // active while followers wait
    bool m_isServing = false;
    std::map<RequestId, Waiting> m_waiting;
    ObjectTexts m_texts;
    RequestId m_nextId = 1;
};

} // namespace basildeck
