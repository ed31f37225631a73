#include "decide/Membership.h"

#include "core/Hash.h"

#include <algorithm>
#include <bit>

namespace basildeck {

namespace {

// Number of times that an update is sent per doubling of the number of members (SWIM, section 4.1).
constexpr int retransmitMultiplier = 3;

// Orders updates about one member: a higher incarnation wins, then the later state.
bool overrides(const Member &update, const Member &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

} // namespace

Membership::Membership(Member self, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_random(randomSeed)
{
    enqueueUpdate(m_self.vm);
}

int Membership::retransmitLimit() const
{
    return retransmitMultiplier * static_cast<int>(std::bit_width(m_members.size() + 1));
}

void Membership::enqueueUpdate(const std::string &vm)
{
    m_pendingUpdates[vm] = {};
}

void Membership::setState(MemberRecord &known, MemberState state, Time now)
{
    known.member.state = state;
    known.changedAt = now;
    ++m_revision;
    enqueueUpdate(known.member.vm);
}

Membership::Probes Membership::tick(Time now)
{
    Probes probes;
    m_firstTick = m_firstTick.value_or(now);
    m_lastTick = now;
    checkTimeouts(now);
    for (auto &[vm, probe] : m_probes) {
        if (probe.indirect || now - probe.sent < directProbeTimeout)
            continue;
        probe.indirect = true;
        for (const std::string &relay : randomLiveMembers(indirectProbeCount + 1)) {
            if (relay != vm && probes.requests.size() < indirectProbeCount)
                probes.requests.push_back({ relay, { probe.sequence, vm } });
        }
    }
    const auto ping = [&](const std::string &vm) {
        const std::uint64_t sequence = m_nextSequence++;
        m_probes[vm] = { sequence, now, false };
        probes.pings.push_back({ vm, { sequence } });
    };
    if (now - m_lastProbe >= probePeriod) {
        m_lastProbe = now;
        if (const auto vm = nextToProbe(); vm && !m_probes.contains(*vm))
            ping(*vm);
    }
    if (now - m_lastDeadProbe >= deadProbePeriod) {
        m_lastDeadProbe = now;
        std::vector<std::string> dead;
        for (const auto &[vm, known] : m_members) {
            if (known.member.state == MemberState::Dead)
                dead.push_back(vm);
        }
        if (!dead.empty())
            probes.pings.push_back({ dead[m_random() % dead.size()], { m_nextSequence++ } });
    }
    return probes;
}

void Membership::checkTimeouts(Time now)
{
    std::erase_if(m_probes, [&](const auto &entry) {
        if (now - entry.second.sent < probeTimeout)
            return false;
        const auto known = m_members.find(entry.first);
        if (known != m_members.end() && known->second.member.state == MemberState::Alive)
            setState(known->second, MemberState::Suspect, now);
        return true;
    });
    for (auto &[vm, known] : m_members) {
        const bool hasTimedOut = now - known.changedAt >= suspicionTimeout;
        if (known.member.state == MemberState::Suspect && hasTimedOut)
            setState(known, MemberState::Dead, now);
    }
    std::erase_if(m_members, [&](const auto &entry) {
        const MemberRecord &known = entry.second;
        return known.member.state == MemberState::Dead
               && now - known.changedAt >= deadMemberRetention;
    });
}

std::optional<std::string> Membership::nextToProbe()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const auto &[vm, known] : m_members) {
                if (known.member.state != MemberState::Dead)
                    m_probeOrder.push_back(vm);
            }
            if (m_probeOrder.empty())
                return std::nullopt;
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
        }
        std::string vm = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const auto known = m_members.find(vm);
        if (known != m_members.end() && known->second.member.state != MemberState::Dead)
            return vm;
    }
}

void Membership::acknowledged(const std::string &vm, std::uint64_t sequence, Time)
{
    const auto probe = m_probes.find(vm);
    if (probe != m_probes.end() && probe->second.sequence == sequence)
        m_probes.erase(probe);
}

void Membership::onMessageFrom(const std::string &vm, std::uint64_t incarnation, Time)
{
    // Tells a suspected or dead VM its state, which it refutes with a higher incarnation.
    const auto known = m_members.find(vm);
    if (known == m_members.end() || known->second.member.incarnation > incarnation)
        return;
    const MemberState state = known->second.member.state;
    if (state == MemberState::Suspect || state == MemberState::Dead)
        enqueueUpdate(vm);
}

bool Membership::applyUpdate(const Member &update, Time now)
{
    if (update.vm == m_self.vm) {
        const bool isSuspected
                = update.incarnation >= m_self.incarnation
                  && (update.state == MemberState::Suspect || update.state == MemberState::Dead);
        if (!isSuspected)
            return false;
        m_self.incarnation = update.incarnation + 1;
        ++m_revision;
        enqueueUpdate(m_self.vm);
        return true;
    }
    const auto known = m_members.find(update.vm);
    if (known == m_members.end()) {
        m_members[update.vm] = { update, now };
        ++m_revision;
        enqueueUpdate(update.vm);
        return true;
    }
    if (!overrides(update, known->second.member))
        return false;
    known->second = { update, now };
    if (update.state != MemberState::Suspect)
        m_probes.erase(update.vm);
    ++m_revision;
    enqueueUpdate(update.vm);
    return true;
}

std::uint64_t Membership::digest() const
{
    if (m_digestRevision == m_revision)
        return m_digest;
    const auto memberHash = [](const Member &member) {
        const std::string state = std::to_string(member.incarnation)
                                  + (member.state == MemberState::Leaving ? "l" : "a");
        return stableHash(member.vm, state);
    };
    m_digest = memberHash(m_self);
    for (const auto &[vm, known] : m_members) {
        if (known.member.state != MemberState::Dead)
            m_digest ^= memberHash(known.member);
    }
    m_digestRevision = m_revision;
    return m_digest;
}

bool Membership::needsFullSync(std::uint64_t otherDigest, Time now)
{
    if (m_convergingRevision != m_revision) {
        m_convergingRevision = m_revision;
        m_convergingSince = now;
    }
    if (otherDigest == digest() || now - m_convergingSince < convergenceTime
        || now - m_lastFullSync < fullSyncInterval)
        return false;
    m_lastFullSync = now;
    return true;
}

std::vector<Member> Membership::takeUpdates(const std::string &to)
{
    std::vector<std::pair<int, std::string>> order;
    for (const auto &[vm, pending] : m_pendingUpdates)
        order.emplace_back(vm == to ? -1 : pending.sends, vm);
    std::sort(order.begin(), order.end());
    std::vector<Member> updates;
    for (const auto &[sends, vm] : order) {
        if (updates.size() == maxUpdatesPerMessage)
            break;
        if (const Member *member = find(vm))
            updates.push_back(*member);
        if (++m_pendingUpdates[vm].sends >= retransmitLimit())
            m_pendingUpdates.erase(vm);
    }
    const bool includesSelf
            = std::any_of(updates.begin(), updates.end(),
                          [&](const Member &member) { return member.vm == m_self.vm; });
    if (!includesSelf && m_lastTick - m_firstTick.value_or(m_lastTick) < selfAnnouncementPeriod)
        updates.push_back(m_self);
    return updates;
}

void Membership::leave()
{
    m_self.state = MemberState::Leaving;
    ++m_revision;
    enqueueUpdate(m_self.vm);
}

void Membership::setLoad(const std::string &vm, std::uint32_t loadPermille)
{
    const auto known = m_members.find(vm);
    if (known != m_members.end())
        known->second.member.loadPermille = loadPermille;
}

const Member *Membership::find(const std::string &vm) const
{
    if (vm == m_self.vm)
        return &m_self;
    const auto known = m_members.find(vm);
    return known == m_members.end() ? nullptr : &known->second.member;
}

MemberList Membership::members() const
{
    MemberList list{ m_self };
    for (const auto &[vm, known] : m_members)
        list.push_back(known.member);
    std::sort(list.begin(), list.end(),
              [](const Member &a, const Member &b) { return a.vm < b.vm; });
    return list;
}

std::vector<std::string> Membership::randomLiveMembers(std::size_t count)
{
    std::vector<std::string> live;
    for (const auto &[vm, known] : m_members) {
        if (known.member.state != MemberState::Dead)
            live.push_back(vm);
    }
    std::vector<std::string> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count, m_random);
    std::shuffle(chosen.begin(), chosen.end(), m_random);
    return chosen;
}

} // namespace basildeck
