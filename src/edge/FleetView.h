#pragma once

#include "decide/PeerTable.h"
#include "edge/FleetObjects.h"
#include "edge/Forwarder.h"
#include "edge/ObjectReplica.h"
#include "edge/ReplicaFollower.h"
#include "edge/ReplicaRelay.h"
#include "edge/RestoredObjectFilter.h"
#include "edge/VmRegistration.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// This VM's view of the fleet, replicated from the store: configuration, targets, evacuations and
// VMs. In a large fleet most VMs receive the changes from the few that watch the store (see
// RelaySelection). A VM that is behind others fetches the changes that it lacks from one of them.
class FleetView
{
public:
    // The kind of the objects by which VMs discover each other, one per VM.
    static constexpr const char *vmKind = "basildeck-vms";
    // Delay between a target change and the next watch, because targets change in bursts. At most a
    // quarter of the shortest time in which VMs have to react to a leaving target.
    static constexpr Duration targetWatchDelay = milliseconds(600);
    // How often to check whether another VM has newer objects.
    static constexpr Duration tickPeriod = milliseconds(500);
    // How long watches of a kind wait. Those of different VMs and kinds end at different times, so
    // that not all calls reach the store at once.
    struct WatchLimits
    {
        milliseconds maxWait;
        milliseconds spread; // they end up to this much earlier
        int firstWaitDivisor;
    };
    static constexpr WatchLimits watchLimits{ WatchTimes().maxWait, milliseconds(300), 2 };
    // VMs learn from heartbeats which others serve, so their registrations may be known later. Each
    // call to the store is billed.
    static constexpr WatchLimits vmWatchLimits{ milliseconds(10000), milliseconds(5000), 10 };
    // How long another VM may be ahead before this VM fetches its changes although the store, or a
    // relay, seems reachable. Longer than a watch takes to report a change.
    static constexpr Duration maxReplicaLag = milliseconds(1200);
    // Refusals are counted apart if the store last confirmed the configuration longer ago than
    // this.
    static constexpr Duration oldConfigAge = ObjectReplica::maxChangeLag;
    // How long a VM that is not registered yet waits for the registrations of VMs that start at the
    // same time, before it decides whether it watches the store.
    static constexpr Duration registrationSettleTime = milliseconds(1000);

    // How long the last known states stay in force after a restore of the store, unless they are
    // written again: a target reports within expiryGrace, and its entry is removed after three
    // missed reports, 1.5 s each. No configuration is withdrawn by the operator, so a lower version
    // in the copy is only used if the higher one seems lost for good.
    static constexpr RestoredObjectFilter::SettlingTimes targetSettlingTimes{
        TargetTable::expiryGrace, seconds(6)
    };
    static constexpr RestoredObjectFilter::SettlingTimes configSettlingTimes{ seconds(60),
                                                                              seconds(60) };
    // An evacuation in the store is in force at once. One that had been taken back is taken back
    // again by the operator, but one that was requested again must not be kept waiting.
    static constexpr RestoredObjectFilter::SettlingTimes evacuationSettlingTimes{
        seconds(10), Duration::zero()
    };
    static constexpr RestoredObjectFilter::SettlingTimes vmSettlingTimes{ seconds(10),
                                                                          seconds(10) };

    struct Dependencies
    {
        EventLoop &loop;
        const EdgeSettings &settings;
        const ObjectProtocol &protocol;
        const FleetObjectFormat &format;
        TargetTable &targets;
        Forwarder &forwarder;
        PeerTable &peers;
    };

    struct Callbacks
    {
        std::function<void(const FleetConfig &)> onConfig;
        // A relay has new changes that VMs which follow another relay may lack.
        std::function<void()> onRelayChanged;
    };

    FleetView(Dependencies dependencies, Callbacks callbacks);
    ~FleetView();

    void start();
    // Removes this VM's registration, then calls a function.
    void deregister(std::function<void()> onDeregistered);

    // How long the store holds the watches of a VM for a kind open.
    static WatchTimes watchTimes(const std::string &vm, const std::string &kind);

    bool isConfigured() const { return m_isConfigured; }
    // The store version of the last known change of each kind.
    std::map<std::string, StoreVersion> versions() const;
    std::uint64_t storeCallCount() const;
    // How long the current store call of each kind has been waiting for its response.
    std::map<std::string, Duration> storeCallAges() const;
    // How long ago the store confirmed the replica of each kind, unless that is unknown.
    std::map<std::string, Duration> confirmedAges() const;
    // Serves the changes of the replicas to VMs that follow this one.
    ReplicaRelay &relay() { return m_relay; }

private:
    // Another VM announced a version that this VM's replica of the kind lacks.
    struct Lag
    {
        Time since;
        StoreVersion announced;
    };

    // The store was seen in an era, which may be a new one.
    void raiseEra(std::uint64_t era);
    void handleConfig(const StoredObject &object);
    void activateConfig();
    void handleTarget(const StoredObject &object);
    void handleVms();
    void updateStoreReachability();
    // Decides whether this VM watches the store or follows a relay.
    void updateRole();
    void handleBatch();
    // Sends all watches again that the store may have lost while it did not respond, unless that
    // was done just before.
    void renewWatches();
    bool isStoreReachedDirectly() const;
    // Whether the changes of a replica arrive, from the store or from a relay.
    bool receivesChanges(const ObjectReplica &replica) const;
    void tick();
    // The VM to fetch changes from that this VM lacks; null if it is not behind. A watch that
    // should have reported the changes is sent again.
    const Heartbeat *peerToCatchUpWith(Time now);
    void fetchNewerChanges();
    void handleNewerChanges(const std::string &vm, Time requestedAt,
                            const Result<JsonHttpResponse> &response);
    void deregisterLostVm();
    // Adds the replica of a kind, whose changes pass through a filter.
    void addReplica(const std::string &kind, RestoredObjectFilter::SettlingTimes settlingTimes,
                    const ObjectOrder &order, const RestoredObjectFilter::Callbacks &callbacks);
    ObjectReplica *replica(const std::string &kind) const;
    void settle();

    Dependencies m_dependencies;
    Callbacks m_callbacks;
    std::map<std::string, RestoredObjectFilter> m_filters; // by kind
    std::vector<std::unique_ptr<ObjectReplica>> m_replicas;
    RelaySelection m_relaySelection;
    ReplicaRelay m_relay;
    ReplicaFollower m_follower;
    std::shared_ptr<RoutingTable> m_routing;
    VmRegistration m_registration;
    JsonHttpClient m_catchUpClient;
    Timer m_timer;
    Timer m_roleTimer; // active while the role is to be decided again, outside of callbacks
    std::map<std::string, Lag> m_lags; // by kind
    // VMs that sent changes, or failed to, since this VM fell behind.
    std::set<std::string> m_unhelpfulPeers;
    Time m_watchesRenewedAt{};
    std::optional<Time> m_listedAt; // when the registered VMs were known first
    bool m_hasRole = false;
    bool m_isConfigured = false;
    std::uint64_t m_storeEra = 0; // the highest that was seen
    bool m_isDeregistering = false;
};

} // namespace basildeck
