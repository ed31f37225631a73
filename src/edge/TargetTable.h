#pragma once

#include "decide/ColdTargetLimiter.h"
#include "decide/ConcurrencyLimiter.h"
#include "decide/OutlierDetector.h"
#include "decide/Placement.h"
#include "decide/TargetPartitionDetector.h"
#include "decide/hedge/ReportedLoad.h"
#include "edge/ConnectionPool.h"
#include "edge/EdgeSettings.h"
#include "edge/FleetObjects.h"
#include "edge/TargetNotice.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basildeck {

// A request whose connection closed while the target was executing it.
struct LostRun
{
    std::uint64_t fingerprint = 0;
    Duration ranFor{ 0 };
    Time at;
};

// A target and the state that this VM keeps about it.
struct TargetState
{
    TargetState(EventLoop &loop, RegisteredTarget target, std::string targetRegion);

    TargetPlace place() const
    {
        return { registration.id, registration.service, registration.zone };
    }

    RegisteredTarget registration;
    std::string region;
    ConcurrencyLimiter concurrencyLimiter;
    OutlierDetector outlierDetector;
    ConnectionPool connections;
    Time coldUntil{};
    std::optional<ColdTargetLimiter> coldLimiter;
    std::vector<LostRun> lostRuns;  // suspects if the target turns out to have crashed
    bool isCrashReportHeld = false; // until it is known whether this VM is partitioned
    std::optional<Time> removeAt;   // set if its entry expired during a store outage
    TargetNotice notice;
    ReportedLoad reportedLoad; // recorded only if second attempts are enabled
};

// All registered targets and their state as observed by this VM.
class TargetTable
{
public:
    // How long a target is kept after its entry expired during a store outage. The platform
    // guarantees that live targets are registered again within two seconds.
    static constexpr Duration expiryGrace = milliseconds(2100);
    // A store outage that ended longer ago than this cannot have caused an entry to expire.
    static constexpr Duration outageWindow = seconds(6);
    // How long the notice of a removed target is kept, in case its entry returns.
    static constexpr Duration noticeLifetime = std::chrono::minutes(10);

    TargetTable(EventLoop &loop, const EdgeSettings &settings);

    void registerTarget(const RegisteredTarget &target, Time now);
    void remove(const std::string &id, Time now);
    void setEvacuated(const std::string &zone, bool evacuated, Time now);
    void setServices(const FleetConfig &config);
    // A response of the target says that it is leaving. This holds until its entry names another
    // instance, even if the entry is removed and returns, or is rewritten as ready.
    void noteLeaving(TargetState &target);
    // A response of the target rules out requests from this VM for a while.
    void holdOff(TargetState &target, Duration duration, Time now);
    // A response of the target to this VM names the request rate that it takes, or none.
    void noteLimit(TargetState &target, const LimitNotice &notice, Time now);
    // Another VM reports the request rate that a target named.
    void learnLimit(const TargetLimitReport &report, Time now);
    // What this VM observed lately, for the other VMs.
    std::vector<TargetLimitReport> limitReports(Time now) const;
    // Called when a target has told this VM that it takes only a certain rate, or any again.
    // Another rate is not urgent, and may be named in each response.
    void setOnLimitChanged(std::function<void()> onLimitChanged)
    {
        m_onLimitChanged = std::move(onLimitChanged);
    }
    // Sets the region of each registered VM by its name. They share the rates that targets name.
    void setFleet(std::map<std::string, std::string> vmRegions, Time now);
    // Whether a target that has named a request rate may get one more request from this VM, at
    // once: requests do not wait for such a target.
    bool isWithinLimit(const TargetState &target, Time now) const;
    // The number of targets that have named a request rate.
    std::size_t limitedCount() const { return m_limitedCount; }
    // The time until the first target of a service takes requests again. Nothing if a target that
    // is not leaving is neither held off nor has named a rate.
    std::optional<Duration> holdOffLeft(const std::string &service,
                                        const std::vector<std::string> &allowedRegions,
                                        Time now) const;
    // The number of VMs in this region, which share the request rate of a cold target.
    void setRegionVmCount(std::size_t count) { m_regionVmCount = std::max<std::size_t>(1, count); }
    void setStoreReachable(bool reachable, Time now);
    // How long this VM has reached the store without interruption.
    Duration storeReachableFor(Time now) const;
    // How long any other VM has reached the store without interruption. An outage that one of the
    // VMs did not see is not an outage of the store, so no entry can have expired because of it.
    void setStoreReachableFromPeers(Duration duration) { m_storeReachableFromPeers = duration; }
    // Removes targets whose grace period is over, and closes expired idle connections.
    void tick(Time now);

    // Returns null if the target is not registered.
    TargetState *find(std::string_view id);
    // The placement of objects on the targets of a service, without draining targets.
    const Placement &placement(const std::string &service);
    // Whether a target may receive requests, not considering the rate limit of cold targets.
    bool isEligible(const TargetState &target, Time now) const;
    // Takes a permit from this VM's share of a cold target's request rate. Always succeeds for
    // targets that are not cold.
    bool acquireColdPermit(TargetState &target, Time now) const;
    // Whether a target is leaving, as its entry or its responses say, or in an evacuated zone, and
    // so receives no new requests.
    bool isDraining(const TargetState &target) const;
    bool isCold(const TargetState &target, Time now) const { return now < target.coldUntil; }

    // The targets that may be probed by connects: those that are neither draining nor cold.
    std::vector<const TargetState *> probeCandidates(Time now) const;
    // Forgets the failures of all targets, because they were this VM's own.
    void clearFailures();
    // Whether this VM reaches targets at all.
    TargetPartitionDetector &partitionDetector() { return m_partitionDetector; }
    const TargetPartitionDetector &partitionDetector() const { return m_partitionDetector; }

    // Called when a target becomes unavailable, so that its queued requests can be dispatched
    // elsewhere.
    void setOnUnavailable(std::function<void(TargetState &)> onUnavailable)
    {
        m_onUnavailable = std::move(onUnavailable);
    }

    std::size_t size() const { return m_targets.size(); }
    // The targets that are leaving, as their entries or their responses say.
    std::size_t leavingCount() const;
    std::size_t heldOffCount(Time now) const;
    const std::map<std::string, std::unique_ptr<TargetState>, std::less<>> &all() const
    {
        return m_targets;
    }

private:
    // The notice of a target that was removed.
    struct KeptNotice
    {
        RegisteredTarget registration;
        TargetNotice notice;
        Time removedAt;
    };

    void restoreNotice(TargetState &target);
    // Sets this VM's share of the rate that a target names.
    void updateLimitShare(TargetState &target, Time now);
    // A target has begun or ceased to name a rate. The requests that wait for one that has begun
    // are dispatched elsewhere.
    void handleLimitChange(TargetState &target);
    void countLimited();
    void expireLimits(Time now);
    void startColdPhase(TargetState &target, Duration coldRemaining, Time now);
    void removeNow(const std::string &id);
    bool isMajorityEjected(const std::string &service, Time now) const;

    EventLoop &m_loop;
    const EdgeSettings &m_settings;
    std::map<std::string, std::unique_ptr<TargetState>, std::less<>> m_targets;
    std::map<std::string, KeptNotice> m_keptNotices; // by target id
    std::map<std::string, Placement> m_placements;   // by service, built on demand
    std::set<std::string> m_evacuatedZones;
    std::map<std::string, Service> m_services;
    std::size_t m_regionVmCount = 1;
    std::map<std::string, std::string> m_vmRegions;
    std::size_t m_limitedCount = 0;
    bool m_isStoreReachable = true;
    Time m_storeReachableSince{};
    Duration m_storeReachableFromPeers{ 0 };
    TargetPartitionDetector m_partitionDetector;
    std::function<void(TargetState &)> m_onUnavailable;
    std::function<void()> m_onLimitChanged = [] {};
};

} // namespace basildeck
