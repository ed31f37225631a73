#pragma once

#include "decide/RelaySelection.h"
#include "edge/JsonHttpClient.h"
#include "edge/ObjectReplica.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

// Keeps this VM's replicas up to date by the changes that a relay serves (see ReplicaRelay).
class ReplicaFollower
{
public:
    // How long a relay that works may wait for a change.
    static constexpr milliseconds pollWait{ 1000 };
    // Time limit for the beginning of a response, in addition to the wait, and for each further
    // part.
    static constexpr Duration responseTimeout = milliseconds(800);
    // Time limit for the whole response. A large one takes seconds on a narrow or busy link, and
    // one that was given up would take as long again.
    static constexpr Duration maxTransferTime = seconds(10);
    // Time limit for a response with all objects, when many VMs start at the same time.
    static constexpr Duration snapshotTimeout = seconds(3);
    // Delay between two requests, so that changes in quick succession need one response.
    static constexpr Duration pollDelay = milliseconds(100);
    // Delay after a relay that could not be followed.
    static constexpr Duration retryDelay = milliseconds(100);
    // How often a VM that follows another relay tries its preferred one again.
    static constexpr Duration preferencePeriod = seconds(2);

    struct Callbacks
    {
        // Address of a VM for requests of other VMs; empty if it is not known.
        std::function<std::string(const std::string &vm)> relayAddress;
        // Whether a relay can be followed has changed, or which VMs watch the store.
        std::function<void()> onStateChanged;
    };

    // The replicas and the selection must outlive the follower.
    ReplicaFollower(EventLoop &loop, RelaySelection &selection,
                    const std::vector<std::unique_ptr<ObjectReplica>> &replicas,
                    Callbacks callbacks);

    // Starts or stops following.
    void setActive(bool active);
    // Whether the last request to a relay succeeded.
    bool isFollowing() const { return m_isFollowing; }
    // Whether a response of a relay arrives.
    bool isReceiving() const { return m_client.isReceiving(); }
    // Follows another relay, because this one is behind the store.
    void skipRelay();

private:
    void poll();
    // The response is that to a request whose wait ends at a time.
    void handleResponse(const std::string &relay, Time waitEndsAt,
                        const Result<JsonHttpResponse> &response);
    void handleFailure(const std::string &relay, const std::string &reason);
    void setFollowing(bool following, const std::string &relay, const std::string &reason);

    EventLoop &m_loop;
    RelaySelection &m_selection;
    const std::vector<std::unique_ptr<ObjectReplica>> &m_replicas;
    Callbacks m_callbacks;
    JsonHttpClient m_client;
    Timer m_timer;
    bool m_isActive = false;
    bool m_isFollowing = false;
    std::string m_followed;     // the relay that responded last, empty after a failure
    std::size_t m_position = 0; // of the current relay in the order of preference
    Time m_preferenceCheckedAt{};
};

} // namespace basildeck
