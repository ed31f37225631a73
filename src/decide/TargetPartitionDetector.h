#pragma once

#include "basildeck/Time.h"
#include "decide/TargetContact.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// A target as the partition detector tells it from others.
struct TargetPlace
{
    std::string_view id;
    std::string_view service;
    std::string_view zone;
};

// The targets that this VM could reach: those that are neither draining nor cold.
struct ReachableTargetCounts
{
    std::size_t targets = 0;
    std::size_t services = 0;
    std::size_t zones = 0;
};

enum class ConnectFailure { Refused, TimedOut };

// By what a loss of contact was found.
enum class PartitionSign {
    None,
    NoContact,       // connects fail, and nothing is received from any target
    ConnectsRefused, // connects fail everywhere, while kept connections work
};

// Returns "none", "no-contact" or "connects-refused".
std::string_view partitionSignName(PartitionSign sign);

// Detects that this VM reaches no target although other VMs do.
//
// Silence of several targets, lost connections or failed connects raise the suspicion, in which the
// caller probes targets by connects. The suspicion is confirmed if connects fail at several targets
// of more than one service and zone while no target is heard from. Contact with any target refutes
// it: then a service, a zone or some targets are down. The suspicion that connects are refused
// while kept connections work takes more failures, and only a connect refutes it, because a target
// that is short of connections refuses connects as well. If no other VM reaches targets either,
// the targets are down, and this VM is not partitioned from them.
class TargetPartitionDetector
{
public:
    // Silence of all targets that raises the suspicion, in general and after a recent partition.
    static constexpr Duration silenceBound = milliseconds(500);
    static constexpr Duration repeatedSilenceBound = milliseconds(250);
    // Silence that was refuted doubles the bound for a while, up to this.
    static constexpr Duration maxSilenceBound = seconds(4);
    static constexpr Duration refutationMemory = seconds(10);
    // Minimum numbers of distinct targets at which connects fail, and of the services and zones
    // that they belong to; fewer are enough if there are no more.
    static constexpr std::size_t failedTargetsWithoutContact = 3;
    static constexpr std::size_t failedTargetsWithContact = 5;
    static constexpr std::size_t failedServices = 2;
    static constexpr std::size_t failedZones = 2;
    // Silence of all targets without which failed connects do not count as loss of all contact:
    // under load, several targets may refuse connects between two responses.
    static constexpr Duration minSilence = milliseconds(250);
    // Time for which connects are refused before kept connections are no longer counted as contact.
    static constexpr Duration minRefusedTime = milliseconds(400);
    // Targets that raise the suspicion. A single one does if nothing else was heard of for the
    // silence bound.
    static constexpr std::size_t suspiciousTargets = 2;
    static constexpr std::size_t suspiciousRefusals = 3;
    // Age up to which contact counts as recent.
    static constexpr Duration recentContact = seconds(2);
    // For this time after a partition, another one is entered sooner and left later.
    static constexpr Duration flapWindow = seconds(10);
    static constexpr Duration minContactAfterFlap = seconds(1);
    // Distinct targets that must accept a connect before a partition ends. If all others are down,
    // one does after a longer time.
    static constexpr std::size_t reachedTargets = 2;
    static constexpr Duration minContactWithOneTarget = seconds(2);

    void setTargets(const ReachableTargetCounts &counts) { m_counts = counts; }
    // Whether any reachable VM has recent contact with targets.
    void setPeersReachTargets(bool reach) { m_peersReachTargets = reach; }

    // A request is sent to a target, and ends there in any way.
    void recordSent(const TargetPlace &target, Time now);
    void recordEnded(std::string_view target, Time now);
    // Bytes arrived from a target.
    void recordBytes(std::string_view target, Time now);
    void recordConnected(std::string_view target, Time now);
    // A connect was refused or timed out. A VM whose link is congested connects too late while its
    // connections work, so only refusals show that no new connection can be made.
    void recordConnectFailure(const TargetPlace &target, ConnectFailure failure, Time now);
    // An established connection ended during a request.
    void recordConnectionLost(const TargetPlace &target, Time now);

    // Draws the conclusions as of now.
    void evaluate(Time now);

    // Whether the signs call for probes, or are confirmed.
    bool isSuspected() const { return m_isSuspected; }
    // Whether no target is reached, or no new connection can be made.
    bool isUnreachable() const { return m_unreachableSince.has_value(); }
    // Whether no target is reached although other VMs reach some.
    bool isPartitioned() const { return isUnreachable() && m_peersReachTargets; }
    TargetContact contact(Time now) const;
    // Whether a failure of a request that was sent at a time says something about its target.
    bool mayBlameTarget(Time sentAt) const;

    PartitionSign sign() const { return m_sign; }
    // The distinct targets at which connects failed since the last contact.
    std::size_t failedTargetCount() const;
    // Time since anything was received from a target.
    Duration silence(Time now) const;
    std::size_t partitionCount() const { return m_partitionCount; }

private:
    struct TargetRecord
    {
        std::string service;
        std::string zone;
        int openRequests = 0;
        Time silentSince{}; // of the open requests
        Time failedAt{};    // by any sign
        Time connectFailedAt{};
        Time connectRefusedAt{};
    };

    struct Failures
    {
        std::size_t targets = 0;
        std::size_t services = 0;
        std::size_t zones = 0;
        Time first{};
    };

    TargetRecord &record(const TargetPlace &target);
    void recordContact(std::string_view target, Time now);
    // The targets at which connects failed after a time, or were refused, by the given field.
    Failures connectFailuresSince(Time time, Time TargetRecord::*failedAt) const;
    bool covers(const Failures &failures, std::size_t targets) const;
    std::size_t suspiciousTargetCount(Time now) const;
    void evaluateReachable(Time now);
    void evaluateUnreachable(Time now);
    bool isRecentlyPartitioned(Time now) const;
    Duration currentSilenceBound(Time now) const;
    void forgetOldRecords(Time now);

    std::map<std::string, TargetRecord, std::less<>> m_records;
    ReachableTargetCounts m_counts;
    bool m_peersReachTargets = false;
    Time m_lastContact{};
    Time m_lastConnect{};
    bool m_isSuspected = false;
    bool m_isSilenceSuspected = false;
    Duration m_silenceBound = silenceBound;
    Time m_silenceRefutedAt{};
    PartitionSign m_sign = PartitionSign::None;
    std::optional<Time> m_unreachableSince;
    std::optional<Time> m_reachedAgainAt;
    std::map<std::string, Time, std::less<>> m_connectsSinceLost; // by target
    std::optional<Time> m_firstConnectSinceLost;                  // without a failure since
    std::size_t m_partitionCount = 0;
};

} // namespace basildeck
