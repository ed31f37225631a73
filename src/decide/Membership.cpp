#include "decide/Membership.h"

#include "core/Hash.h"

#include <algorithm>
#include <bit>

namespace basildeck {

namespace {

// Messages that carry an update, for each doubling of the number of members (SWIM, section 4.1).
constexpr int sendsPerDoubling = 3;

// Orders what is known of one VM: a higher incarnation wins, then the later state.
bool overrides(const Member &news, const Member &known)
{
    if (news.incarnation != known.incarnation)
        return news.incarnation > known.incarnation;
    return news.state > known.state;
}

} // namespace

Membership::Membership(Member self, std::uint64_t randomSeed)
    : m_self(std::move(self))
    , m_random(randomSeed)
{
    spread(m_self.vm);
}

int Membership::sendLimit() const
{
    return sendsPerDoubling * static_cast<int>(std::bit_width(m_known.size() + 1));
}

void Membership::spread(const std::string &vm)
{
    m_rumours[vm] = {};
}

void Membership::setState(Known &known, MemberState state, Time now)
{
    known.member.state = state;
    known.changed = now;
    ++m_revision;
    spread(known.member.vm);
}

Membership::Probes Membership::tick(Time now)
{
    Probes probes;
    m_firstTick = m_firstTick.value_or(now);
    m_lastTick = now;
    expire(now);
    for (auto &[vm, probe] : m_probes) {
        if (probe.indirect || now - probe.sent < directProbeTimeout)
            continue;
        probe.indirect = true;
        for (const std::string &helper : randomLiveMembers(indirectProbeCount + 1)) {
            if (helper != vm && probes.requests.size() < indirectProbeCount)
                probes.requests.push_back({ helper, { probe.sequence, vm } });
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
        for (const auto &[vm, known] : m_known) {
            if (known.member.state == MemberState::Dead)
                dead.push_back(vm);
        }
        if (!dead.empty())
            probes.pings.push_back({ dead[m_random() % dead.size()], { m_nextSequence++ } });
    }
    return probes;
}

void Membership::expire(Time now)
{
    std::erase_if(m_probes, [&](const auto &entry) {
        if (now - entry.second.sent < probeTimeout)
            return false;
        const auto known = m_known.find(entry.first);
        if (known != m_known.end() && known->second.member.state == MemberState::Alive)
            setState(known->second, MemberState::Suspect, now);
        return true;
    });
    for (auto &[vm, known] : m_known) {
        const bool waited = now - known.changed >= suspicionTimeout;
        if (known.member.state == MemberState::Suspect && waited)
            setState(known, MemberState::Dead, now);
    }
    std::erase_if(m_known, [&](const auto &entry) {
        const Known &known = entry.second;
        return known.member.state == MemberState::Dead
               && now - known.changed >= deadMemberRetention;
    });
}

std::optional<std::string> Membership::nextToProbe()
{
    while (true) {
        if (m_probeOrder.empty()) {
            for (const auto &[vm, known] : m_known) {
                if (known.member.state != MemberState::Dead)
                    m_probeOrder.push_back(vm);
            }
            if (m_probeOrder.empty())
                return std::nullopt;
            std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
        }
        std::string vm = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const auto known = m_known.find(vm);
        if (known != m_known.end() && known->second.member.state != MemberState::Dead)
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
    // A dead or suspected VM that speaks is told so, and answers with a higher incarnation.
    const auto known = m_known.find(vm);
    if (known == m_known.end() || known->second.member.incarnation > incarnation)
        return;
    const MemberState state = known->second.member.state;
    if (state == MemberState::Suspect || state == MemberState::Dead)
        spread(vm);
}

bool Membership::applyUpdate(const Member &news, Time now)
{
    if (news.vm == m_self.vm) {
        const bool doubted
                = news.incarnation >= m_self.incarnation
                  && (news.state == MemberState::Suspect || news.state == MemberState::Dead);
        if (!doubted)
            return false;
        m_self.incarnation = news.incarnation + 1;
        ++m_revision;
        spread(m_self.vm);
        return true;
    }
    const auto known = m_known.find(news.vm);
    if (known == m_known.end()) {
        m_known[news.vm] = { news, now };
        ++m_revision;
        spread(news.vm);
        return true;
    }
    if (!overrides(news, known->second.member))
        return false;
    known->second = { news, now };
    if (news.state != MemberState::Suspect)
        m_probes.erase(news.vm);
    ++m_revision;
    spread(news.vm);
    return true;
}

std::uint64_t Membership::digest() const
{
    if (m_digestRevision == m_revision)
        return m_digest;
    const auto part = [](const Member &member) {
        const std::string state = std::to_string(member.incarnation)
                                  + (member.state == MemberState::Leaving ? "l" : "a");
        return stableHash(member.vm, state);
    };
    m_digest = part(m_self);
    for (const auto &[vm, known] : m_known) {
        if (known.member.state != MemberState::Dead)
            m_digest ^= part(known.member);
    }
    m_digestRevision = m_revision;
    return m_digest;
}

bool Membership::needsFullSync(std::uint64_t otherDigest, Time now)
{
    if (m_settlingRevision != m_revision) {
        m_settlingRevision = m_revision;
        m_settlingSince = now;
    }
    if (otherDigest == digest() || now - m_settlingSince < convergenceTime
        || now - m_lastCompare < fullSyncInterval)
        return false;
    m_lastCompare = now;
    return true;
}

std::vector<Member> Membership::takeUpdates(const std::string &to)
{
    std::vector<std::pair<int, std::string>> order;
    for (const auto &[vm, rumour] : m_rumours)
        order.emplace_back(vm == to ? -1 : rumour.sends, vm);
    std::sort(order.begin(), order.end());
    std::vector<Member> updates;
    for (const auto &[sends, vm] : order) {
        if (updates.size() == maxUpdatesPerMessage)
            break;
        if (const Member *member = find(vm))
            updates.push_back(*member);
        if (++m_rumours[vm].sends >= sendLimit())
            m_rumours.erase(vm);
    }
    const bool named = std::any_of(updates.begin(), updates.end(),
                                   [&](const Member &member) { return member.vm == m_self.vm; });
    if (!named && m_lastTick - m_firstTick.value_or(m_lastTick) < selfAnnouncementPeriod)
        updates.push_back(m_self);
    return updates;
}

void Membership::leave()
{
    m_self.state = MemberState::Leaving;
    ++m_revision;
    spread(m_self.vm);
}

void Membership::setLoad(const std::string &vm, std::uint32_t loadPermille)
{
    const auto known = m_known.find(vm);
    if (known != m_known.end())
        known->second.member.loadPermille = loadPermille;
}

const Member *Membership::find(const std::string &vm) const
{
    if (vm == m_self.vm)
        return &m_self;
    const auto known = m_known.find(vm);
    return known == m_known.end() ? nullptr : &known->second.member;
}

MemberList Membership::members() const
{
    MemberList list{ m_self };
    for (const auto &[vm, known] : m_known)
        list.push_back(known.member);
    std::sort(list.begin(), list.end(),
              [](const Member &a, const Member &b) { return a.vm < b.vm; });
    return list;
}

std::vector<std::string> Membership::randomLiveMembers(std::size_t count)
{
    std::vector<std::string> live;
    for (const auto &[vm, known] : m_known) {
        if (known.member.state != MemberState::Dead)
            live.push_back(vm);
    }
    std::vector<std::string> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count, m_random);
    std::shuffle(chosen.begin(), chosen.end(), m_random);
    return chosen;
}

} // namespace basildeck
