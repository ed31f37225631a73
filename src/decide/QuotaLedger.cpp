#include "decide/QuotaLedger.h"

#include <algorithm>

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
        for (const PeerBeat *peer : reachable) {
            const auto found = peer->demands.find(organisation);
            demand.ofPeers.push_back(found == peer->demands.end() ? 0 : found->second);
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
    if (now >= entry.askAgainAt && entry.share.wanted(now) > 0)
        m_isLow = true;
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

std::optional<QuotaAsk> QuotaLedger::ask(const std::set<std::string> &lenders, Time now)
{
    m_isLow = false;
    m_askedAt = now;
    std::erase_if(m_asked, [&](const auto &asked) { return now - asked.second.first > loanLife; });
    if (lenders.empty())
        return std::nullopt;
    QuotaAsk ask{ m_self, {}, m_askNumber + 1, {} };
    for (auto &[organisation, entry] : m_entries) {
        const double wanted = entry.share.wanted(now);
        if (wanted <= 0 || now < entry.askAgainAt)
            continue;
        ask.tokens[organisation] = wanted / static_cast<double>(lenders.size());
        entry.askAgainAt = now + entry.askPause;
        entry.askPause = std::min(longestAskPeriod, entry.askPause * 2);
    }
    if (ask.tokens.empty())
        return std::nullopt;
    m_asked[++m_askNumber] = { now, lenders };
    return ask;
}

QuotaLoan QuotaLedger::lend(const QuotaAsk &ask, Time now)
{
    QuotaLoan loan{ m_self, ask.number, {} };
    for (const auto &[organisation, tokens] : ask.tokens) {
        QuotaShare *share = find(organisation);
        const double lent = share == nullptr ? 0 : share->lend(tokens, now);
        if (lent > 0)
            loan.tokens[organisation] = lent;
        m_lent += lent;
    }
    return loan;
}

void QuotaLedger::borrow(const QuotaLoan &loan, Time now)
{
    const auto asked = m_asked.find(loan.number);
    if (asked == m_asked.end() || now - asked->second.first > loanLife
        || asked->second.second.erase(loan.lender) == 0)
        return;
    for (const auto &[organisation, tokens] : loan.tokens) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end())
            continue;
        found->second.share.borrow(tokens, now);
        found->second.askPause = askPeriod;
        m_borrowed += tokens;
    }
}

} // namespace basildeck
