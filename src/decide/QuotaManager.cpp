#include "decide/QuotaManager.h"

#include <algorithm>

namespace basildeck {

void QuotaManager::setLimits(const std::map<std::string, QuotaLimit> &limits, Time now)
{
    // An organisation with waiting requests is removed by a later configuration.
    std::erase_if(m_entries, [&](const auto &entry) {
        return !limits.contains(entry.first) && entry.second.waiting == 0;
    });
    for (const auto &[organisation, limit] : limits)
        m_entries.try_emplace(organisation, now).first->second.share.setLimit(limit, now);
}

void QuotaManager::setPeers(std::size_t registeredVms,
                            const std::vector<const Heartbeat *> &reachable, Time now)
{
    for (auto &[organisation, entry] : m_entries) {
        QuotaDemand demand{ registeredVms, {} };
        for (const Heartbeat *peer : reachable) {
            const auto found = peer->demands.find(organisation);
            demand.peerDemands.push_back(found == peer->demands.end() ? 0 : found->second);
        }
        entry.share.setDemand(demand, now);
    }
}

QuotaDecision QuotaManager::admit(const std::string &organisation, std::uint64_t request, Time now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end())
        return QuotaDecision::Admitted;
    Entry &entry = found->second;
    entry.share.recordRequest(now);
    const bool hasToken = entry.waiting == 0 && entry.share.tryAcquire(now);
    if (now >= entry.nextRequestAt && entry.share.tokensToBorrow(now) > 0)
        m_isLow = true;
    if (hasToken)
        return QuotaDecision::Admitted;
    if (entry.waiting >= maxWaiting || !isTokenExpected(entry))
        return QuotaDecision::Refused;
    ++entry.waiting;
    m_waiting.push_back({ request, organisation, now + maxWait });
    return QuotaDecision::Waiting;
}

// Requests that recently brought tokens are likely to bring more.
bool QuotaManager::isTokenExpected(const Entry &entry) const
{
    return entry.nextInterval <= 2 * requestInterval || entry.share.timeToNextToken() <= maxWait;
}

std::vector<std::pair<std::uint64_t, QuotaDecision>> QuotaManager::resolveWaiting(Time now)
{
    std::vector<std::pair<std::uint64_t, QuotaDecision>> resolved;
    std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
        const auto found = m_entries.find(waiting.organisation);
        const bool isAdmitted = found == m_entries.end() || found->second.share.tryAcquire(now);
        if (!isAdmitted && now < waiting.until)
            return false;
        if (found != m_entries.end())
            --found->second.waiting;
        resolved.emplace_back(waiting.request,
                              isAdmitted ? QuotaDecision::Admitted : QuotaDecision::Refused);
        return true;
    });
    return resolved;
}

void QuotaManager::cancel(std::uint64_t request)
{
    std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
        if (waiting.request != request)
            return false;
        const auto found = m_entries.find(waiting.organisation);
        if (found != m_entries.end())
            --found->second.waiting;
        return true;
    });
}

QuotaShare *QuotaManager::find(const std::string &organisation)
{
    const auto found = m_entries.find(organisation);
    return found == m_entries.end() ? nullptr : &found->second.share;
}

void QuotaManager::fillDemands(Heartbeat &heartbeat, Time now)
{
    heartbeat.demands.clear();
    for (auto &[organisation, entry] : m_entries) {
        const double demand = entry.share.reportDemand(now);
        if (demand >= minReportedDemand)
            heartbeat.demands[organisation] = demand;
    }
}

std::optional<QuotaLoanRequest> QuotaManager::makeRequest(const std::set<std::string> &lenders,
                                                          Time now)
{
    m_isLow = false;
    m_requestedAt = now;
    std::erase_if(m_openRequests, [&](const auto &openRequest) {
        return now - openRequest.second.first > maxLoanDelay;
    });
    QuotaLoanRequest tokenRequest{ m_self, {}, m_requestNumber + 1, {} };
    for (auto &[organisation, entry] : m_entries) {
        const double wanted = entry.share.tokensToBorrow(now);
        if (wanted <= 0 || now < entry.nextRequestAt)
            continue;
        tokenRequest.tokens[organisation]
                = wanted / static_cast<double>(std::max<std::size_t>(1, lenders.size()));
        entry.nextRequestAt = now + entry.nextInterval;
        entry.nextInterval = std::min(maxRequestInterval, entry.nextInterval * 2);
    }
    if (tokenRequest.tokens.empty() || lenders.empty())
        return std::nullopt;
    m_openRequests[++m_requestNumber] = { now, lenders };
    return tokenRequest;
}

QuotaLoan QuotaManager::lend(const QuotaLoanRequest &loanRequest, Time now)
{
    QuotaLoan loan{ m_self, loanRequest.requestId, {} };
    for (const auto &[organisation, tokens] : loanRequest.tokens) {
        QuotaShare *share = find(organisation);
        const double lent = share == nullptr ? 0 : share->lend(tokens, now);
        if (lent > 0)
            loan.tokens[organisation] = lent;
        m_lent += lent;
    }
    return loan;
}

void QuotaManager::borrow(const QuotaLoan &loan, Time now)
{
    const auto openRequest = m_openRequests.find(loan.requestId);
    if (openRequest == m_openRequests.end() || now - openRequest->second.first > maxLoanDelay
        || openRequest->second.second.erase(loan.lender) == 0)
        return;
    for (const auto &[organisation, tokens] : loan.tokens) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end())
            continue;
        found->second.share.borrow(tokens, now);
        found->second.nextInterval = requestInterval;
        m_borrowed += tokens;
    }
}

} // namespace basildeck
