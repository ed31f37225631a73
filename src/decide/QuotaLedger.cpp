#include "decide/QuotaLedger.h"

#include <algorithm>

namespace basildeck {

void QuotaLedger::setLimits(const std::map<std::string, QuotaLimit> &limits, Time now)
{
    // One that requests wait for is dropped with a later configuration.
    std::erase_if(m_entries, [&](const auto &entry) {
        return !limits.contains(entry.first) && entry.second.waiting == 0;
    });
    for (const auto &[organisation, limit] : limits)
        m_entries.try_emplace(organisation, now).first->second.share.setLimit(limit, now);
}

void QuotaLedger::setPeers(std::size_t registeredVms,
                           const std::vector<const Heartbeat *> &reachable, Time now)
{
    for (auto &[organisation, entry] : m_entries) {
        QuotaDemand demand{ registeredVms, {} };
        for (const Heartbeat *peer : reachable) {
            const auto found = peer->demands.find(organisation);
            demand.ofPeers.push_back(found == peer->demands.end() ? 0 : found->second);
        }
        entry.share.setDemand(demand, now);
    }
}

QuotaAnswer QuotaLedger::admit(const std::string &organisation, std::uint64_t request, Time now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end())
        return QuotaAnswer::Admitted;
    Entry &entry = found->second;
    entry.share.count(now);
    const bool hasToken = entry.waiting == 0 && entry.share.take(now);
    if (now >= entry.askAgainAt && entry.share.wanted(now) > 0)
        m_isLow = true;
    if (hasToken)
        return QuotaAnswer::Admitted;
    if (entry.waiting >= mostWaiting || !isTokenExpected(entry))
        return QuotaAnswer::Refused;
    ++entry.waiting;
    m_waiting.push_back({ request, organisation, now + longestWait });
    return QuotaAnswer::Waits;
}

// Asks that brought tokens lately are likely to bring more.
bool QuotaLedger::isTokenExpected(const Entry &entry) const
{
    return entry.askPause <= 2 * askPeriod || entry.share.nextToken() <= longestWait;
}

std::vector<std::pair<std::uint64_t, QuotaAnswer>> QuotaLedger::settle(Time now)
{
    std::vector<std::pair<std::uint64_t, QuotaAnswer>> settled;
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        const auto found = m_entries.find(waiting.organisation);
        const bool isAdmitted = found == m_entries.end() || found->second.share.take(now);
        if (!isAdmitted && now < waiting.until)
            return false;
        if (found != m_entries.end())
            --found->second.waiting;
        settled.emplace_back(waiting.request,
                             isAdmitted ? QuotaAnswer::Admitted : QuotaAnswer::Refused);
        return true;
    });
    return settled;
}

void QuotaLedger::forget(std::uint64_t request)
{
    std::erase_if(m_waiting, [&](const Waiting &waiting) {
        if (waiting.request != request)
            return false;
        const auto found = m_entries.find(waiting.organisation);
        if (found != m_entries.end())
            --found->second.waiting;
        return true;
    });
}

QuotaShare *QuotaLedger::find(const std::string &organisation)
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? nullptr : &found->second.share;
}

void QuotaLedger::fillDemands(Heartbeat &beat, Time now)
{
    beat.demands.clear();
    for (auto &[organisation, entry] : m_entries) {
        const double demand = entry.share.tell(now);
        if (demand >= leastDemand)
            beat.demands[organisation] = demand;
    }
}

std::optional<QuotaLoanRequest> QuotaLedger::ask(const std::set<std::string> &lenders, Time now)
{
    m_isLow = false;
    m_askedAt = now;
    std::erase_if(m_asked, [&](const auto &asked) { return now - asked.second.first > loanLife; });
    QuotaLoanRequest ask{ m_self, {}, m_askNumber + 1, {} };
    for (auto &[organisation, entry] : m_entries) {
        const double wanted = entry.share.wanted(now);
        if (wanted <= 0 || now < entry.askAgainAt)
            continue;
        ask.tokens[organisation]
                = wanted / static_cast<double>(std::max<std::size_t>(1, lenders.size()));
        entry.askAgainAt = now + entry.askPause;
        entry.askPause = std::min(longestAskPeriod, entry.askPause * 2);
    }
    if (ask.tokens.empty() || lenders.empty())
        return std::nullopt;
    m_asked[++m_askNumber] = { now, lenders };
    return ask;
}

QuotaLoan QuotaLedger::lend(const QuotaLoanRequest &ask, Time now)
{
    QuotaLoan loan{ m_self, ask.requestId, {} };
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
    const auto asked = m_asked.find(loan.requestId);
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
