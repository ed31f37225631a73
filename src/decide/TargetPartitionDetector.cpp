#include "decide/TargetPartitionDetector.h"

#include <algorithm>
#include <array>
#include <set>

namespace basildeck {

namespace {

// Signs older than this do not count.
constexpr Duration signRetention = seconds(5);

Time laterOf(Time time, Time now, Duration age)
{
    return std::max(time, age > now.time_since_epoch() ? Time{} : now - age);
}

} // namespace

std::string_view partitionSignName(PartitionSign sign)
{
    static constexpr std::array<std::string_view, 3> names
            = { "none", "no-contact", "connects-refused" };
    return names.at(static_cast<std::size_t>(sign));
}

TargetPartitionDetector::TargetRecord &TargetPartitionDetector::record(const TargetPlace &target)
{
    const auto found = m_records.find(target.id);
    if (found != m_records.end())
        return found->second;
    TargetRecord &made = m_records[std::string(target.id)];
    made.service = target.service;
    made.zone = target.zone;
    return made;
}

void TargetPartitionDetector::recordSent(const TargetPlace &target, Time now)
{
    TargetRecord &sent = record(target);
    if (sent.openRequests++ == 0)
        sent.silentSince = now;
}

void TargetPartitionDetector::recordEnded(std::string_view target, Time now)
{
    const auto found = m_records.find(target);
    if (found == m_records.end() || found->second.openRequests == 0)
        return;
    TargetRecord &ended = found->second;
    --ended.openRequests;
    if (now - std::max(ended.silentSince, m_lastContact) >= currentSilenceBound(now))
        ended.failedAt = now;
}

void TargetPartitionDetector::recordContact(std::string_view target, Time now)
{
    m_lastContact = now;
    const auto found = m_records.find(target);
    if (found != m_records.end())
        found->second.silentSince = now;
}

void TargetPartitionDetector::recordBytes(std::string_view target, Time now)
{
    recordContact(target, now);
}

void TargetPartitionDetector::recordConnected(std::string_view target, Time now)
{
    recordContact(target, now);
    m_lastConnect = now;
    if (!m_unreachableSince)
        return;
    m_connectsSinceLost.insert_or_assign(std::string(target), now);
    if (!m_firstConnectSinceLost)
        m_firstConnectSinceLost = now;
}

void TargetPartitionDetector::recordConnectFailure(const TargetPlace &target,
                                                   ConnectFailure failure, Time now)
{
    TargetRecord &failed = record(target);
    failed.failedAt = now;
    failed.connectFailedAt = now;
    if (failure == ConnectFailure::Refused)
        failed.connectRefusedAt = now;
    if (isRecentlyPartitioned(now))
        m_firstConnectSinceLost.reset();
    evaluate(now);
}

void TargetPartitionDetector::recordConnectionLost(const TargetPlace &target, Time now)
{
    record(target).failedAt = now;
    evaluate(now);
}

TargetPartitionDetector::Failures
TargetPartitionDetector::connectFailuresSince(Time time, Time TargetRecord::*failedAt) const
{
    Failures failures;
    std::set<std::string_view> services;
    std::set<std::string_view> zones;
    for (const auto &[id, target] : m_records) {
        if (target.*failedAt <= time)
            continue;
        services.insert(target.service);
        zones.insert(target.zone);
        if (failures.targets++ == 0 || target.*failedAt < failures.first)
            failures.first = target.*failedAt;
    }
    failures.services = services.size();
    failures.zones = zones.size();
    return failures;
}

bool TargetPartitionDetector::covers(const Failures &failures, std::size_t targets) const
{
    // A single target that fails shows nothing about this VM.
    return failures.targets >= std::max<std::size_t>(2, std::min(targets, m_counts.targets))
           && failures.services >= std::min(failedServices, m_counts.services)
           && failures.zones >= std::min(failedZones, m_counts.zones);
}

bool TargetPartitionDetector::isRecentlyPartitioned(Time now) const
{
    return m_reachedAgainAt && now - *m_reachedAgainAt < flapWindow;
}

Duration TargetPartitionDetector::currentSilenceBound(Time now) const
{
    if (isRecentlyPartitioned(now))
        return repeatedSilenceBound;
    return now - m_silenceRefutedAt < refutationMemory ? m_silenceBound : silenceBound;
}

std::size_t TargetPartitionDetector::suspiciousTargetCount(Time now) const
{
    const Duration bound = currentSilenceBound(now);
    const Time since = laterOf(m_lastContact, now, signRetention);
    return static_cast<std::size_t>(
            std::count_if(m_records.begin(), m_records.end(), [&](const auto &entry) {
                const TargetRecord &target = entry.second;
                const bool isSilent = target.openRequests > 0
                                      && now - std::max(target.silentSince, m_lastContact) >= bound;
                return isSilent || target.failedAt > since;
            }));
}

void TargetPartitionDetector::forgetOldRecords(Time now)
{
    std::erase_if(m_records, [&](const auto &entry) {
        return entry.second.openRequests == 0 && now - entry.second.failedAt > signRetention;
    });
}

void TargetPartitionDetector::evaluate(Time now)
{
    forgetOldRecords(now);
    if (m_unreachableSince)
        evaluateUnreachable(now);
    else
        evaluateReachable(now);
}

void TargetPartitionDetector::evaluateReachable(Time now)
{
    const Failures withoutContact = connectFailuresSince(laterOf(m_lastContact, now, signRetention),
                                                         &TargetRecord::connectFailedAt);
    const Failures withoutConnect = connectFailuresSince(laterOf(m_lastConnect, now, signRetention),
                                                         &TargetRecord::connectRefusedAt);
    const std::size_t required
            = isRecentlyPartitioned(now) ? suspiciousTargets : failedTargetsWithoutContact;
    if (covers(withoutContact, required) && now - m_lastContact >= minSilence) {
        m_sign = PartitionSign::NoContact;
    } else if (covers(withoutConnect, failedTargetsWithContact)
               && now - withoutConnect.first >= minRefusedTime) {
        m_sign = PartitionSign::ConnectsRefused;
    } else {
        const bool wasSilenceSuspected = m_isSilenceSuspected;
        const std::size_t suspicious = suspiciousTargetCount(now);
        const bool isWithoutContact
                = suspicious >= suspiciousTargets
                  || (suspicious > 0 && now - m_lastContact >= currentSilenceBound(now));
        m_isSilenceSuspected = isWithoutContact && withoutContact.targets == 0;
        m_isSuspected = isWithoutContact || withoutConnect.targets >= suspiciousRefusals;
        if (wasSilenceSuspected && !isWithoutContact) {
            m_silenceBound = std::min(maxSilenceBound, 2 * currentSilenceBound(now));
            m_silenceRefutedAt = now;
        }
        return;
    }
    ++m_partitionCount;
    m_unreachableSince = now;
    m_isSuspected = true;
    m_isSilenceSuspected = false;
    m_silenceBound = silenceBound;
    m_connectsSinceLost.clear();
    m_firstConnectSinceLost.reset();
}

void TargetPartitionDetector::evaluateUnreachable(Time now)
{
    std::erase_if(m_connectsSinceLost,
                  [&](const auto &entry) { return now - entry.second > recentContact; });
    const bool isLastConnectRecent = !m_connectsSinceLost.empty();
    if (!isLastConnectRecent)
        m_firstConnectSinceLost.reset();
    const Duration connected
            = m_firstConnectSinceLost ? now - *m_firstConnectSinceLost : Duration::zero();
    const Duration required = isRecentlyPartitioned(now) ? minContactAfterFlap : Duration::zero();
    const bool severalReached = m_connectsSinceLost.size() >= reachedTargets
                                && m_firstConnectSinceLost && connected >= required;
    const bool oneReached = isLastConnectRecent && connected >= minContactWithOneTarget;
    if (!severalReached && !oneReached)
        return;
    m_unreachableSince.reset();
    m_reachedAgainAt = now;
    m_isSuspected = false;
    m_sign = PartitionSign::None;
    // What was seen during the partition does not count towards the next one.
    for (auto &[id, target] : m_records) {
        target.failedAt = {};
        target.connectFailedAt = {};
        target.connectRefusedAt = {};
        target.silentSince = now;
    }
}

TargetContact TargetPartitionDetector::contact(Time now) const
{
    if (m_unreachableSince)
        return TargetContact::Lost;
    const bool isRecent = m_lastContact != Time{} && now - m_lastContact <= recentContact;
    return isRecent && !m_isSuspected ? TargetContact::Reached : TargetContact::Unknown;
}

bool TargetPartitionDetector::mayBlameTarget(Time sentAt) const
{
    return !m_isSuspected && !m_unreachableSince
           && (!m_reachedAgainAt || sentAt >= *m_reachedAgainAt);
}

std::size_t TargetPartitionDetector::failedTargetCount() const
{
    return m_sign == PartitionSign::ConnectsRefused
                   ? connectFailuresSince(m_lastConnect, &TargetRecord::connectRefusedAt).targets
                   : connectFailuresSince(m_lastContact, &TargetRecord::connectFailedAt).targets;
}

Duration TargetPartitionDetector::silence(Time now) const
{
    return m_lastContact == Time{} ? Duration::zero() : now - m_lastContact;
}

} // namespace basildeck
