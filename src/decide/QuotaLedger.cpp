#include "decide/QuotaLedger.h"

namespace basildeck {

void QuotaLedger::setLimits(const std::map<std::string, QuotaLimit> &limits, Time now)
{
    std::erase_if(m_entries, [&](const auto &entry) { return !limits.contains(entry.first); });
    for (const auto &[organisation, limit] : limits)
        m_entries.try_emplace(organisation, now).first->second.share.setLimit(limit, now);
}

void QuotaLedger::setPeers(std::size_t registeredVms,
                           const std::vector<const PeerBeat *> &reachable, Time now)
{
    for (auto &[organisation, entry] : m_entries) {
        QuotaDemand demand{ registeredVms, {} };
        entry.lenders = 1;
        for (const PeerBeat *peer : reachable) {
            const auto found = peer->demands.find(organisation);
            demand.ofPeers.push_back(found == peer->demands.end() ? 0 : found->second);
            if (!peer->wants.contains(organisation))
                ++entry.lenders;
        }
        entry.share.setDemand(demand, now);
    }
}

bool QuotaLedger::admit(const std::string &organisation, Time now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end())
        return true;
    Entry &entry = found->second;
    const bool isAdmitted = entry.share.admit(now);
    if (!entry.hasAsked && entry.share.wanted(now) > 0)
        m_asksNow = true;
    return isAdmitted;
}

QuotaShare *QuotaLedger::find(const std::string &organisation)
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? nullptr : &found->second.share;
}

void QuotaLedger::fillDemands(PeerBeat &beat, Time now)
{
    beat.demands.clear();
    for (auto &[organisation, entry] : m_entries) {
        const double demand = entry.share.tell(now);
        if (demand >= leastDemand)
            beat.demands[organisation] = demand;
    }
}

void QuotaLedger::fillWants(PeerBeat &beat, Time now)
{
    beat.wants.clear();
    for (auto &[organisation, entry] : m_entries) {
        const double tokens = entry.share.wanted(now);
        entry.hasAsked = tokens > 0;
        if (entry.hasAsked)
            beat.wants[organisation] = tokens;
    }
    m_asksNow = false;
}

std::map<std::string, double> QuotaLedger::take(const PeerBeat &beat, Time now)
{
    for (const auto &[organisation, tokens] : beat.loans) {
        if (QuotaShare *share = find(organisation)) {
            share->borrow(tokens, now);
            m_borrowed += tokens;
        }
    }
    std::map<std::string, double> loans;
    for (const auto &[organisation, tokens] : beat.wants) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end())
            continue;
        const double lent = found->second.share.lend(
                tokens / static_cast<double>(found->second.lenders), now);
        if (lent > 0)
            loans[organisation] = lent;
        m_lent += lent;
    }
    return loans;
}

} // namespace basildeck
