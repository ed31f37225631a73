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
    m_holdAll = std::max<std::size_t>(1, fleet.knownVms) <= QuotaHolders::maxVmsHoldingAll;
    PeerHeartbeats heartbeats;
    for (const Heartbeat *peer : fleet.reachable)
        heartbeats.emplace(peer->vm, peer);
    for (auto &[organisation, entry] : m_entries)
        updateShare(organisation, entry, fleet, heartbeats, now);
}

void QuotaManager::updateShare(const std::string &organisation, Entry &entry,
                               const QuotaFleet &fleet, const PeerHeartbeats &heartbeats, Time now)
{
    const std::size_t vms = std::max<std::size_t>(1, fleet.knownVms);
    const bool isHolder = m_holdAll || m_holders.isHolder(m_self, organisation);
    entry.lenders = reachableHolders(organisation, heartbeats);
    entry.usesShare = isHolder || entry.lenders.empty();
    if (!isHolder) {
        entry.share.setFixedFraction(entry.usesShare ? 1 / static_cast<double>(vms) : 0, now);
        return;
    }
    QuotaDemand demand;
    demand.holders = m_holdAll ? vms : m_holders.of(organisation).size();
    demand.reachableFraction = std::min(1.0, static_cast<double>(fleet.reachable.size() + 1)
                                                     / static_cast<double>(vms));
    const auto addDemandOf = [&](const Heartbeat &peer) {
        const auto found = peer.demands.find(organisation);
        demand.peerDemands.push_back(found == peer.demands.end() ? 0 : found->second);
    };
    if (m_holdAll) {
        for (const Heartbeat *peer : fleet.reachable)
            addDemandOf(*peer);
    } else {
        for (const std::string &holder : entry.lenders)
            addDemandOf(*heartbeats.at(holder));
    }
    entry.share.setDemand(demand, now);
}

std::vector<std::string> QuotaManager::reachableHolders(const std::string &organisation,
                                                        const PeerHeartbeats &heartbeats) const
{
    std::vector<std::string> holders;
    for (const std::string &vm : m_holders.of(organisation)) {
        if (vm != m_self && heartbeats.contains(vm))
            holders.push_back(vm);
    }
    // Each VM starts with another holder of its region. Rotating both parts on their own gives each
    // holder of a region the same number of VMs that start with it.
    const auto elsewhere
            = std::stable_partition(holders.begin(), holders.end(), [&](const std::string &vm) {
                  return m_holders.regionOf(vm) == m_region;
              });
    const auto rotate = [&](auto from, auto to) {
        if (from != to)
            std::rotate(
                    from,
                    from
                            + static_cast<std::ptrdiff_t>(stableHash(organisation, m_self)
                                                          % static_cast<std::uint64_t>(to - from)),
                    to);
    };
    rotate(holders.begin(), elsewhere);
    rotate(elsewhere, holders.end());
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
    noteIfLow(entry, now);
    if (hasToken)
        return QuotaDecision::Admitted;
    const bool borrows = borrowsForRequests(entry);
    if (entry.waiting >= (borrows ? maxBorrowerWaiting : maxWaiting)
        || !isTokenExpected(entry, now)) {
        ++m_refused;
        return QuotaDecision::Refused;
    }
    ++entry.waiting;
    ++m_waited;
    m_waiting.push_back({ request, organisation, now + (borrows ? maxBorrowerWait : maxWait) });
    m_isBorrowingDue = m_isBorrowingDue || borrows;
    return QuotaDecision::Waiting;
}

void QuotaManager::noteIfLow(Entry &entry, Time now)
{
    if (entry.usesShare && now >= entry.replenishing.nextAt && entry.share.tokensToBorrow(now) > 0)
        m_isLow = true;
}

bool QuotaManager::isTokenExpected(const Entry &entry, Time now) const
{
    if (borrowsForRequests(entry))
        return entry.answerDueAt || now >= entry.borrowing.nextAt;
    // Requests that recently brought tokens are likely to bring more.
    return entry.replenishing.interval <= 2 * requestInterval
           || entry.share.timeToNextToken() <= maxWait;
}

std::vector<std::pair<std::uint64_t, QuotaDecision>> QuotaManager::resolveWaiting(Time now)
{
    std::vector<std::pair<std::uint64_t, QuotaDecision>> resolved;
    std::erase_if(m_waiting, [&](const WaitingRequest &waiting) {
        const auto found = m_entries.find(waiting.organisation);
        Entry *entry = found == m_entries.end() ? nullptr : &found->second;
        const bool isAdmitted = entry == nullptr || tryAcquire(*entry, now);
        const bool borrows = entry != nullptr && borrowsForRequests(*entry);
        if (!isAdmitted && borrows) {
            if (entry->answerDueAt && now >= *entry->answerDueAt) {
                entry->answerDueAt.reset();
                ++entry->lender;
                m_silentUntil[entry->askedLender] = now + silenceRetention;
            }
            m_isBorrowingDue = m_isBorrowingDue || !entry->answerDueAt;
        }
        const bool isHopeless = borrows && !isTokenExpected(*entry, now);
        if (!isAdmitted && !isHopeless && now < waiting.until)
            return false;
        if (entry != nullptr)
            --entry->waiting;
        m_refused += isAdmitted ? 0 : 1;
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
                                                             : entry.borrowing.nextAt - now);
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
    std::erase_if(m_silentUntil, [&](const auto &silent) { return now >= silent.second; });
    std::erase_if(m_openRequests, [&](const auto &openRequest) {
        return now - openRequest.second.first > maxLoanDelay;
    });
    ++m_requestNumber;
    for (auto &[organisation, entry] : m_entries) {
        if (entry.usesShare && isHolderDue)
            addHolderRequests(organisation, entry, now, requests);
        if (borrowsForRequests(entry))
            addBorrowerRequest(organisation, entry, now, requests);
    }
    if (requests.empty())
        return requests;
    auto &[sentAt, lenders] = m_openRequests[m_requestNumber];
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
    if (wanted <= 0 || now < entry.replenishing.nextAt)
        return;
    entry.replenishing.start(now);
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
    entry.replenishTokens = wanted / static_cast<double>(lenders.size());
    for (const std::string &lender : lenders)
        requests[lender].tokens[organisation] = entry.replenishTokens;
}

Duration QuotaManager::answerTimeoutOf(const std::string &lender) const
{
    if (m_holders.regionOf(lender) != m_region)
        return answerTimeout;
    return std::clamp(2 * m_regionAnswerTime, minAnswerTimeout, answerTimeout);
}

const std::string &QuotaManager::chooseLender(Entry &entry, Time now)
{
    const auto isSilent = [&](const std::string &lender) {
        const auto found = m_silentUntil.find(lender);
        return found != m_silentUntil.end() && now < found->second;
    };
    entry.lender %= entry.lenders.size();
    const auto first = entry.lenders.begin() + static_cast<std::ptrdiff_t>(entry.lender);
    const auto chosen = std::find_if_not(first, entry.lenders.end(), isSilent);
    if (chosen != entry.lenders.end())
        entry.lender = static_cast<std::size_t>(chosen - entry.lenders.begin());
    return entry.lenders[entry.lender];
}

void QuotaManager::addBorrowerRequest(const std::string &organisation, Entry &entry, Time now,
                                      std::map<std::string, QuotaLoanRequest> &requests)
{
    const double wanted = static_cast<double>(entry.waiting) - entry.borrowed.available(now);
    if (wanted <= 0 || entry.answerDueAt || now < entry.borrowing.nextAt || entry.lenders.empty())
        return;
    const std::string &lender = chooseLender(entry, now);
    QuotaLoanRequest &request = requests[lender];
    request.tokens[organisation] += std::ceil(wanted);
    if (entry.usesShare)
        request.urgent.insert(organisation);
    entry.answerDueAt = now + answerTimeoutOf(lender);
    entry.askedLender = lender;
    entry.askedRequest = m_requestNumber;
}

void QuotaManager::handleRefusal(Entry &entry, bool isExhausted, Time now)
{
    entry.answerDueAt.reset();
    ++entry.lender;
    ++entry.refusals;
    entry.isExhausted = entry.isExhausted || isExhausted;
    const bool hasAskedAll = entry.lender >= entry.lenders.size();
    const bool hasAskedRegion
            = hasAskedAll || m_holders.regionOf(entry.lenders[entry.lender]) != m_region;
    if (entry.refusals < maxRefusals && !hasAskedAll && !(entry.isExhausted && hasAskedRegion))
        return;
    entry.refusals = 0;
    entry.isExhausted = false;
    entry.lender = 0;
    entry.borrowing.start(now);
}

QuotaLoan QuotaManager::lend(const QuotaLoanRequest &loanRequest, Time now)
{
    QuotaLoan loan{ m_self, loanRequest.requestId, {}, {} };
    for (const auto &[organisation, tokens] : loanRequest.tokens) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end())
            continue;
        Entry &entry = found->second;
        QuotaShare &share = entry.share;
        // A request waits at a borrower that holds no tokens, or says so.
        const bool isUrgent = !m_holders.isHolder(loanRequest.borrower, organisation)
                              || loanRequest.urgent.contains(organisation);
        const double lent = isUrgent    ? share.lendToBorrower(tokens, now)
                            : m_holdAll ? share.lend(tokens, now)
                                        : share.lendSurplus(tokens, now);
        // A borrower that gets nothing tries the next holder without waiting for a timeout.
        if (lent > 0 || isUrgent)
            loan.tokens[organisation] = lent;
        m_lent += lent;
        if (m_holdAll)
            continue;
        noteIfLow(entry, now);
        if (isUrgent && lent == 0 && entry.replenishing.interval > exhaustedInterval)
            loan.exhausted.insert(organisation);
    }
    return loan;
}

void QuotaManager::borrow(const QuotaLoan &loan, Time now)
{
    const auto openRequest = m_openRequests.find(loan.requestId);
    if (openRequest == m_openRequests.end() || now - openRequest->second.first > maxLoanDelay
        || openRequest->second.second.erase(loan.lender) == 0)
        return;
    m_silentUntil.erase(loan.lender);
    if (m_holders.regionOf(loan.lender) == m_region)
        m_regionAnswerTime
                = std::max(now - openRequest->second.first, m_regionAnswerTime * 19 / 20);
    for (const auto &[organisation, tokens] : loan.tokens) {
        const auto found = m_entries.find(organisation);
        if (found == m_entries.end() || !(tokens >= 0)) // a faulty peer may send NaN
            continue;
        Entry &entry = found->second;
        const bool isAnswer = entry.answerDueAt && entry.askedRequest == loan.requestId
                              && entry.askedLender == loan.lender;
        if (tokens < 1 && isAnswer)
            handleRefusal(entry, loan.exhausted.contains(organisation), now);
        if (tokens == 0 || (!entry.usesShare && tokens < 1))
            continue;
        if (entry.usesShare)
            entry.share.borrow(tokens, now);
        else
            entry.borrowed.add(tokens, now);
        if (isAnswer)
            entry.answerDueAt.reset();
        if (tokens >= 1) {
            entry.lender = 0; // the next request starts in the region again
            entry.refusals = 0;
            entry.isExhausted = false;
            entry.borrowing.reset();
        }
        if (m_holdAll || tokens >= entry.replenishTokens / 2)
            entry.replenishing.reset();
        m_borrowed += tokens;
    }
}

} // namespace basildeck
