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

// What this VM knows of the fleet from the store: configuration, targets, evacuations and the other
// VMs. While the store does not answer, newer copies are fetched from VMs that it answers.
class FleetView
{
public:
    // Kind of the objects by which VMs find each other, one for each VM.
    static constexpr const char *vmKind = "basildeck-vms";
    // Time between a change of a target and the next watch of targets: they change in series, and a
    // quarter of the shortest bound by which a target's leaving is to be followed passes at most.
    static constexpr Duration targetPause = milliseconds(600);
    // How often copies of other VMs are considered.
    static constexpr Duration copyPeriod = milliseconds(500);
    // How long another VM may know of a change before this VM takes its copy, although the store
    // seems to answer. Longer than a watch takes after a change.
    static constexpr Duration longestLag = milliseconds(1200);

    struct Parts
    {
        EventLoop &loop;
        const EdgeSettings &settings;
        const ObjectProtocol &protocol;
        const FleetObjectFormat &format;
        TargetTable &targets;
        Forwarder &forwarder;
        PeerTable &peers;
    };

    FleetView(Parts parts, std::function<void(const FleetConfig &)> configured);
    ~FleetView();

    void start();
    // Removes this VM's own object, then calls a function.
    void leave(std::function<void()> left);

    bool isConfigured() const { return m_isConfigured; }
    // Store revision of the last change of each kind that is known here.
    std::map<std::string, std::uint64_t> revisions() const;
    std::uint64_t storeCalls() const;
    // The copy of a kind as text for another VM; empty if there is none.
    std::string copyText(const std::string &kind) const;

private:
    void takeConfig(const StoredObject &object);
    void useConfig();
    void takeTarget(const StoredObject &object);
    void takeVms();
    void noteReachable();
    void fetchCopies();
    void takeCopy(const std::string &kind, const Result<JsonHttpResponse> &answer);
    void registerSelf();
    void removeGoneVm();
    std::unique_ptr<ObjectReplica> makeReplica(const std::string &kind,
                                               ObjectReplica::Callbacks callbacks,
                                               Duration pause = ObjectReplica::minWatchDelay);
    ObjectReplica *replica(const std::string &kind) const;

    Parts m_parts;
    std::function<void(const FleetConfig &)> m_configured;
    std::vector<std::unique_ptr<ObjectReplica>> m_replicas;
    std::shared_ptr<RoutingTable> m_routing;
    JsonHttpClient m_writer; // of the own object
    JsonHttpClient m_copier;
    Timer m_copyTimer;
    std::map<std::string, Time> m_behindSince; // by kind
    bool m_isConfigured = false;
    bool m_isRegistered = false;
    bool m_leaving = false;
};

} // namespace basildeck
