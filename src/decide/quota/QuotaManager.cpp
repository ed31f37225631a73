#include "decide/quota/QuotaManager.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

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

void QuotaManager::setFleet(const QuotaFleet &fleet, Time now)
{
    const auto &known = m_holders.vmRegions();
    if (!std::equal(known.begin(), known.end(), fleet.vmRegions.begin(), fleet.vmRegions.end()))
        m_holders = QuotaHolders(fleet.vmRegions);
    m_reachable.clear();
    for (const Heartbeat *peer : fleet.reachable)
        m_reachable.insert(peer->vm);
    for (auto &[organisation, entry] : m_entries)
        updateShare(organisation, entry, fleet, now);
}

void QuotaManager::updateShare(const std::string &organisation, Entry &entry,
                               const QuotaFleet &fleet, Time now)
{
    const std::size_t vms = std::max<std::size_t>(1, fleet.knownVms);
    const bool holdAll = vms <= QuotaHolders::maxVmsHoldingAll;
    const auto isHolder = [&](const std::string &vm) {
        return holdAll || m_holders.isHolder(vm, organisation);
    };
    entry.lenders = reachableHolders(organisation);
    entry.usesShare = isHolder(m_self) || entry.lenders.empty();
    if (!isHolder(m_self)) {
        entry.share.setFixedFraction(entry.usesShare ? 1 / static_cast<double>(vms) : 0, now);
        return;
    }
    QuotaDemand demand;
    demand.holders = holdAll ? vms : m_holders.of(organisation).size();
    demand.reachableFraction = std::min(1.0, static_cast<double>(fleet.reachable.size() + 1)
                                                     / static_cast<double>(vms));
    for (const Heartbeat *peer : fleet.reachable) {
        if (!isHolder(peer->vm))
            continue;
        const auto found = peer->demands.find(organisation);
        demand.peerDemands.push_back(found == peer->demands.end() ? 0 : found->second);
    }
    entry.share.setDemand(demand, now);
}

std::vector<std::string> QuotaManager::reachableHolders(const std::string &organisation) const
{
    std::vector<std::string> holders;
    for (const std::string &vm : m_holders.of(organisation)) {
        if (vm != m_self && m_reachable.contains(vm))
            holders.push_back(vm);
    }
    // Each VM starts with another holder of its region.
    if (!holders.empty())
        std::rotate(holders.begin(),
                    holders.begin()
                            + static_cast<std::ptrdiff_t>(stableHash(m_self) % holders.size()),
                    holders.end());
    std::stable_partition(holders.begin(), holders.end(), [&](const std::string &vm) {
        return m_holders.regionOf(vm) == m_region;
    });
    return holders;
}

bool QuotaManager::tryAcquire(Entry &entry, Time now) const
{
    return entry.usesShare || entry.share.isUnlimited() ? entry.share.tryAcquire(now)
                                                        : entry.borrowed.tryAcquire(now);
}

QuotaDecision QuotaManager::admit(const std::string &organisation, std::uint64_t request, Time now)
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end())
        return QuotaDecision::Admitted;
    Entry &entry = found->second;
    entry.share.recordRequest(now);
    const bool hasToken = entry.waiting == 0 && tryAcquire(entry, now);
    if (entry.usesShare && now >= entry.nextRequestAt && entry.share.tokensToBorrow(now) > 0)
        m_isLow = true;
    if (hasToken)
        return QuotaDecision::Admitted;
    if (entry.waiting >= (entry.usesShare ? maxWaiting : maxBorrowerWaiting)
        || !isTokenExpected(entry, now))
        return QuotaDecision::Refused;
    ++entry.waiting;
    m_waiting.push_back(
            { request, organisation, now + (entry.usesShare ? maxWait : maxBorrowerWait) });
    m_isBorrowingDue = m_isBorrowingDue || !entry.usesShare;
    return QuotaDecision::Waiting;
}

bool QuotaManager::isTokenExpected(const Entry &entry, Time now) const
{
    if (!entry.usesShare)
        return entry.answerDueAt || now >= entry.nextRequestAt;
    // Requests that recently brought tokens are likely to bring more.
    return entry.nextInterval <= 2 * requestInterval || entry.share.timeToNextToken() <= maxWait;
}

std::vector<std::pair<std::uint64_t, QuotaDecision>> QuotaManager::resolveWaiting(Time now)
{
    std::vector<std::pair<std::uint64_t, QuotaDecision>> resolved;
    std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
        const auto found = m_entries.find(waiting.organisation);
        Entry *entry = found == m_entries.end() ? nullptr : &found->second;
        const bool isAdmitted = entry == nullptr || tryAcquire(*entry, now);
        if (!isAdmitted && !entry->usesShare) {
            if (entry->answerDueAt && now >= *entry->answerDueAt) {
                entry->answerDueAt.reset();
                ++entry->lender;
            }
            m_isBorrowingDue = m_isBorrowingDue || !entry->answerDueAt;
        }
        const bool isHopeless = entry != nullptr && !entry->usesShare && !entry->answerDueAt
                                && now < entry->nextRequestAt;
        if (!isAdmitted && !isHopeless && now < waiting.until)
            return false;
        if (entry != nullptr)
            --entry->waiting;
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

Duration QuotaManager::retryAfter(const std::string &organisation, Time now) const
{
    const auto found = m_entries.find(organisation);
    if (found == m_entries.end())
        return minRetryAfter;
    const Entry &entry = found->second;
    return std::max<Duration>(minRetryAfter, entry.usesShare ? entry.share.timeToNextToken()
                                                             : entry.nextRequestAt - now);
}

void QuotaManager::fillDemands(Heartbeat &heartbeat, Time now)
{
    heartbeat.demands.clear();
    for (auto &[organisation, entry] : m_entries) {
        const double demand = entry.share.reportDemand(now);
        if (entry.usesShare && demand >= minReportedDemand)
            heartbeat.demands[organisation] = demand;
    }
}

std::map<std::string, QuotaLoanRequest> QuotaManager::makeRequests(Time now)
{
    std::map<std::string, QuotaLoanRequest> requests;
    const bool isHolderDue = m_isLow && now - m_requestedAt >= requestInterval;
    if (isHolderDue) {
        m_isLow = false;
        m_requestedAt = now;
    }
    m_isBorrowingDue = false;
    std::erase_if(m_openRequests, [&](const auto &openRequest) {
        return now - openRequest.second.first > maxLoanDelay;
    });
    for (auto &[organisation, entry] : m_entries) {
        if (!entry.usesShare)
            addBorrowerRequest(organisation, entry, now, requests);
        else if (isHolderDue)
            addHolderRequests(organisation, entry, now, requests);
    }
    if (requests.empty())
        return requests;
    auto &[sentAt, lenders] = m_openRequests[++m_requestNumber];
    sentAt = now;
    for (auto &[lender, request] : requests) {
        request.borrower = m_self;
        request.requestId = m_requestNumber;
        lenders.insert(lender);
    }
    return requests;
}

void QuotaManager::addHolderRequests(const std::string &organisation, Entry &entry, Time now,
                                     std::map<std::string, QuotaLoanRequest> &requests)
{
    const double wanted = entry.share.tokensToBorrow(now);
    if (wanted <= 0 || now < entry.nextRequestAt)
        return;
    entry.nextRequestAt = now + entry.nextInterval;
    entry.nextInterval = std::min(maxRequestInterval, entry.nextInterval * 2);
    std::vector<std::string> lenders = entry.lenders;
    if (lenders.size() > maxLenders) {
        std::rotate(lenders.begin(),
                    lenders.begin() + static_cast<std::ptrdiff_t>(m_rotation++ % lenders.size()),
                    lenders.end());
        std::stable_partition(lenders.begin(), lenders.end(), [&](const std::string &vm) {
            return m_holders.regionOf(vm) == m_region;
        });
        lenders.resize(maxLenders);
    }
    for (const std::string &lender : lenders)
        requests[lender].tokens[organisation] = wanted / static_cast<double>(lenders.size());
}

void QuotaManager::addBorrowerRequest(const std::string &organisation, Entry &entry, Time now,
                                      std::map<std::string, QuotaLoanRequest> &requests)
{
    const double wanted = static_cast<double>(entry.waiting) - entry.borrowed.available(now);
    if (wanted <= 0 || entry.answerDueAt || now < entry.nextRequestAt || entry.lenders.empty())
        return;
    const std::string &lender = entry.lenders[entry.lender % entry.lenders.size()];
    requests[lender].tokens[organisation] = std::ceil(wanted);
    entry.answerDueAt = now + answerTimeout;
}

void QuotaManager::handleRefusal(Entry &entry, Time now)
{
    entry.answerDueAt.reset();
    ++entry.lender;
    if (++entry.refusals < maxRefusals)
        return;
    entry.refusals = 0;
    entry.nextRequestAt = now + entry.nextInterval;
    entry.nextInterval = std::min(maxRequestInterval, entry.nextInterval * 2);
}

QuotaLoan QuotaManager::lend(const QuotaLoanRequest &loanRequest, Time now)
{
    QuotaLoan loan{ m_self, loanRequest.requestId, {} };
    for (const auto &[organisation, tokens] : loanRequest.tokens) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end())
            continue;
        QuotaShare &share = found->second.share;
        const bool isHolder = m_holders.isHolder(loanRequest.borrower, organisation);
        const double lent = isHolder ? share.lend(tokens, now) : share.lendToBorrower(tokens, now);
        // A borrower that gets nothing tries the next holder without waiting for a timeout.
        if (lent > 0 || !isHolder)
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
        if (found == m_entries.end() || !(tokens >= 0)) // a faulty peer may send NaN
            continue;
        Entry &entry = found->second;
        if (!entry.usesShare && tokens < 1) {
            if (entry.answerDueAt)
                handleRefusal(entry, now);
            continue;
        }
        if (entry.usesShare)
            entry.share.borrow(tokens, now);
        else
            entry.borrowed.add(tokens, now);
        entry.answerDueAt.reset();
        entry.refusals = 0;
        entry.nextInterval = requestInterval;
        m_borrowed += tokens;
    }
}

} // namespace basildeck
