#include "edge/ReplicaFollower.h"

#include "core/Log.h"
#include "edge/ReplicaRelay.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "relay";
constexpr int statusOk = 200;

} // namespace

ReplicaFollower::ReplicaFollower(EventLoop &loop, RelaySelection &selection,
                                 const std::vector<std::unique_ptr<ObjectReplica>> &replicas,
                                 Callbacks callbacks)
    : m_loop(loop)
    , m_selection(selection)
    , m_replicas(replicas)
    , m_callbacks(std::move(callbacks))
    , m_client(loop)
    , m_timer(loop, [this] { poll(); })
{
    m_client.acceptGzip();
    m_client.setTransferTimes(responseTimeout, maxTransferTime);
}

void ReplicaFollower::setActive(bool active)
{
    if (std::exchange(m_isActive, active) == active)
        return;
    if (active) {
        m_timer.startOnce(Duration::zero());
        return;
    }
    m_timer.stop();
    m_client.cancel();
    setFollowing(false, {}, "this VM watches the store");
    m_position = 0;
}

void ReplicaFollower::skipRelay()
{
    ++m_position;
    m_preferenceCheckedAt = m_loop.now();
}

void ReplicaFollower::poll()
{
    const Time now = m_loop.now();
    if (m_position > 0 && now - m_preferenceCheckedAt > preferencePeriod) {
        m_position = 0;
        m_preferenceCheckedAt = now;
    }
    const std::vector<std::string> relays = m_selection.relays();
    if (m_position >= relays.size()) {
        m_position = 0;
        m_preferenceCheckedAt = now;
        m_selection.recordFailure(now);
        setFollowing(false, {}, "no relay could be followed");
        m_callbacks.onStateChanged();
        if (m_isActive)
            m_timer.startOnce(retryDelay);
        return;
    }
    const std::string &relay = relays[m_position];
    const auto address = Address::parse(m_callbacks.relayAddress(relay));
    if (!address) {
        handleFailure(relay, "unknown address");
        return;
    }
    // A relay that has not responded yet may be gone, so it is not given time to wait.
    const milliseconds wait = relay == m_followed ? pollWait : milliseconds(0);
    const bool isEmpty = std::any_of(m_replicas.begin(), m_replicas.end(),
                                     [](const auto &replica) { return !replica->isListed(); });
    m_client.call(address.value(), "GET", ReplicaRelay::requestPath(m_replicas, wait), {},
                  wait + (isEmpty ? snapshotTimeout : responseTimeout),
                  [this, relay, waitEndsAt = now + wait](const Result<JsonHttpResponse> &response) {
                      handleResponse(relay, waitEndsAt, response);
                  });
}

void ReplicaFollower::handleResponse(const std::string &relay, Time waitEndsAt,
                                     const Result<JsonHttpResponse> &response)
{
    if (!response || response.value().status != statusOk) {
        handleFailure(relay, response ? "status " + std::to_string(response.value().status)
                                      : response.error().detail);
        return;
    }
    m_selection.recordSuccess(relay);
    setFollowing(true, relay, "followed");
    const bool isValid = ReplicaRelay::apply(response.value().body, m_replicas,
                                             std::min(m_loop.now(), waitEndsAt));
    if (!isValid)
        ++m_position;
    m_callbacks.onStateChanged();
    if (m_isActive)
        m_timer.startOnce(isValid ? pollDelay : retryDelay);
}

void ReplicaFollower::handleFailure(const std::string &relay, const std::string &reason)
{
    setFollowing(false, relay, reason);
    if (m_position++ == 0)
        m_preferenceCheckedAt = m_loop.now();
    m_callbacks.onStateChanged();
    if (m_isActive)
        m_timer.startOnce(retryDelay);
}

void ReplicaFollower::setFollowing(bool following, const std::string &relay,
                                   const std::string &reason)
{
    m_followed = following ? relay : std::string();
    if (std::exchange(m_isFollowing, following) == following)
        return;
    BASILDECK_INFO(logComponent) << (following ? "following a relay" : "not following a relay")
                                 << " relay=" << relay << " reason=\"" << reason << '"';
}

} // namespace basildeck
