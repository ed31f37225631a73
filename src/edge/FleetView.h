#pragma once

#include "decide/PeerTable.h"
#include "edge/FleetObjects.h"
#include "edge/Forwarder.h"
#include "edge/ObjectReplica.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

// This VM's view of the fleet, replicated from the store: configuration, targets, evacuations and
// VMs. While the store is unreachable, newer snapshots are fetched from VMs that can reach it.
class FleetView
{
public:
    // The kind of the objects by which VMs discover each other, one per VM.
    static constexpr const char *vmKind = "basildeck-vms";
    // Delay between a target change and the next watch, because targets change in bursts. At most a
    // quarter of the shortest time in which VMs have to react to a leaving target.
    static constexpr Duration targetWatchDelay = milliseconds(600);
    // How often to check whether another VM has a newer snapshot.
    static constexpr Duration snapshotCheckPeriod = milliseconds(500);
    // How long another VM may be ahead before this VM fetches its snapshot although the store seems
    // reachable. Longer than a watch takes to report a change.
    static constexpr Duration maxReplicaLag = milliseconds(1200);

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

    FleetView(Dependencies dependencies, std::function<void(const FleetConfig &)> onConfig);
    ~FleetView();

    void start();
    // Removes this VM's registration, then calls a function.
    void deregister(std::function<void()> onDeregistered);

    bool isConfigured() const { return m_isConfigured; }
    // The store revision of the last known change of each kind.
    std::map<std::string, std::uint64_t> revisions() const;
    std::uint64_t storeCallCount() const;
    // The replica of a kind as JSON for another VM; empty if there is none.
    std::string snapshotJson(const std::string &kind) const;

private:
    void handleConfig(const StoredObject &object);
    void activateConfig();
    void handleTarget(const StoredObject &object);
    void handleVms();
    void updateStoreReachability();
    void fetchSnapshot();
    void handleSnapshot(const std::string &kind, const Result<JsonHttpResponse> &response);
    void registerSelf();
    void deregisterLostVm();
    std::unique_ptr<ObjectReplica> makeReplica(const std::string &kind,
                                               ObjectReplica::Callbacks callbacks,
                                               Duration watchDelay = ObjectReplica::minWatchDelay);
    ObjectReplica *replica(const std::string &kind) const;

    Dependencies m_dependencies;
    std::function<void(const FleetConfig &)> m_onConfig;
    std::vector<std::unique_ptr<ObjectReplica>> m_replicas;
    std::shared_ptr<RoutingTable> m_routing;
    JsonHttpClient m_registrationClient;
    JsonHttpClient m_snapshotClient;
    Timer m_snapshotTimer;
    std::map<std::string, Time> m_behindSince; // by kind
    bool m_isConfigured = false;
    bool m_isRegistered = false;
    bool m_isDeregistering = false;
};

} // namespace basildeck
