#include "decide/TokenBucketShare.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace basildeck {

namespace {

constexpr Duration minPlanningHorizon = milliseconds(20);
constexpr Duration maxPlanningHorizon = milliseconds(400);
constexpr Duration initialBackoff = milliseconds(20);
constexpr int maxBackoffDoublings = 5;
constexpr double demandTimeConstantSeconds = 0.5;
constexpr double requestHeadroom = 1.25; // tokens requested per token of expected shortfall
// Large enough that rounding errors cannot keep a caller waiting for the last fraction of its
// token.
constexpr double minRequest = 0.01;
constexpr double minWeight = 1e-3;         // weight of a holder that had nothing to lend
constexpr double roundingTolerance = 1e-9; // tokens
constexpr std::size_t maxConsumedLeases = 32;

// Longer than a borrower may use a lease, because the lender's clock may run faster.
constexpr Duration loanDuration = std::chrono::duration_cast<Duration>(
        TokenBucketShare::leaseDuration
        * (TokenBucketShare::maxClockDrift * TokenBucketShare::maxClockDrift));

} // namespace

TokenBucketShare::TokenBucketShare(TokenBucketLimit limit, std::uint64_t nonceSeed,
                                   Time processStart)
    : m_limit(limit)
    , m_accruedTo(processStart + startupDelay)
    , m_nextNonce(nonceSeed)
    , m_demandAt(processStart)
{}

double TokenBucketShare::ownCapacity() const
{
    return std::max(0.0, m_fraction * m_limit.burst - m_lentTotal);
}

void TokenBucketShare::limitToCapacity()
{
    m_ownTokens = std::min(m_ownTokens, ownCapacity());
}

void TokenBucketShare::advance(Time now)
{
    std::erase_if(m_loans, [&](const auto &entry) {
        if (entry.second.expires > now)
            return false;
        m_lentTotal -= entry.second.amount;
        return true;
    });
    if (m_loans.empty())
        m_lentTotal = 0;
    dropExpiredTokens(now);
    if (now <= m_accruedTo)
        return;
    const double rate = m_fraction * m_limit.rate / maxClockDrift;
    m_ownTokens += rate * toSeconds(now - m_accruedTo);
    m_accruedTo = now;
    limitToCapacity();
}

void TokenBucketShare::dropExpiredTokens(Time now)
{
    std::erase_if(m_borrowed, [&](const BorrowedTokens &tokens) {
        if (tokens.expires > now)
            return false;
        recordConsumed(tokens);
        return true;
    });
}

void TokenBucketShare::recordConsumed(const BorrowedTokens &tokens)
{
    const auto holder = m_holders.find(tokens.holder);
    if (holder != m_holders.end() && holder->second.consumedLeases.size() < maxConsumedLeases)
        holder->second.consumedLeases.push_back(tokens.nonce);
}

void TokenBucketShare::setLimit(TokenBucketLimit limit, Time now)
{
    advance(now);
    m_limit = limit;
    limitToCapacity();
}

void TokenBucketShare::setFraction(double fraction, Time now)
{
    assert(fraction >= 0 && fraction <= 1);
    advance(now);
    m_fraction = fraction;
    limitToCapacity();
}

void TokenBucketShare::setHolders(const std::vector<std::string> &holders)
{
    std::map<std::string, Holder> next;
    for (const std::string &name : holders) {
        const auto known = m_holders.find(name);
        next.emplace(name, known == m_holders.end() ? Holder{} : known->second);
    }
    m_holders = std::move(next);
}

double TokenBucketShare::demandRate(Time now) const
{
    return m_demand * std::exp(-toSeconds(now - m_demandAt) / demandTimeConstantSeconds);
}

void TokenBucketShare::recordDemand(double amount, Time now)
{
    m_demand = demandRate(now) + amount / demandTimeConstantSeconds;
    m_demandAt = now;
}

double TokenBucketShare::borrowed() const
{
    double sum = 0;
    for (const BorrowedTokens &tokens : m_borrowed)
        sum += tokens.amount;
    return sum;
}

double TokenBucketShare::available(Time now)
{
    advance(now);
    return m_ownTokens + borrowed();
}

bool TokenBucketShare::isWithinFraction(Time now)
{
    advance(now);
    return m_ownTokens + m_lentTotal <= m_fraction * m_limit.burst + roundingTolerance;
}

bool TokenBucketShare::tryAcquire(double amount, Time now)
{
    if (available(now) + roundingTolerance < amount)
        return false;
    while (amount > 0 && !m_borrowed.empty()) {
        BorrowedTokens &tokens = m_borrowed.front();
        const double part = std::min(tokens.amount, amount);
        tokens.amount -= part;
        amount -= part;
        if (tokens.amount > 0)
            break;
        recordConsumed(tokens);
        m_borrowed.pop_front();
    }
    m_ownTokens = std::max(0.0, m_ownTokens - amount);
    return true;
}

// A quarter of the time in which the burst accrues, within bounds. Tokens lent count against the
// lender's capacity, so a small burst needs a short horizon.
Duration TokenBucketShare::planningHorizon() const
{
    if (m_limit.rate <= 0)
        return maxPlanningHorizon;
    const std::chrono::duration<double> quarterBurstTime(m_limit.burst / m_limit.rate / 4);
    const auto bounded = std::chrono::duration_cast<Duration>(
            std::min<std::chrono::duration<double>>(quarterBurstTime, maxPlanningHorizon));
    return std::clamp<Duration>(bounded, minPlanningHorizon, maxPlanningHorizon);
}

TokenLease TokenBucketShare::grantLease(const std::string &borrower,
                                        const TokenLeaseRequest &request, Time now)
{
    advance(now);
    for (const std::uint64_t nonce : request.consumedLeases) {
        const auto loan = m_loans.find({ borrower, nonce });
        if (loan == m_loans.end())
            continue;
        m_lentTotal -= loan->second.amount;
        m_loans.erase(loan);
    }
    const double reserve = demandRate(now) * toSeconds(planningHorizon());
    const double spare = std::max(0.0, m_ownTokens - reserve);
    const bool repeated = m_loans.contains({ borrower, request.nonce });
    const double amount = repeated ? 0 : std::clamp(request.amount, 0.0, spare);
    if (amount > 0) {
        m_ownTokens -= amount;
        m_lentTotal += amount;
        m_loans[{ borrower, request.nonce }] = { amount, now + loanDuration };
    }
    return { request.nonce, amount, spare - amount };
}

double TokenBucketShare::pendingAmount(Time now)
{
    double sum = 0;
    for (auto &[name, holder] : m_holders) {
        if (holder.pendingNonce != 0 && now - holder.requestedAt > requestTimeout) {
            holder.pendingNonce = 0;
            holder.retryAt = now + initialBackoff;
        }
        if (holder.pendingNonce != 0)
            sum += holder.pendingAmount;
    }
    return sum;
}

std::vector<TokenBucketShare::OutgoingRequest> TokenBucketShare::dueRequests(double waiting,
                                                                             Time now)
{
    advance(now);
    const double horizonSeconds = toSeconds(planningHorizon());
    const double expected = demandRate(now) * horizonSeconds;
    const double accrual = m_fraction * m_limit.rate / maxClockDrift * horizonSeconds;
    const double have = m_ownTokens + borrowed() + pendingAmount(now);
    const double lowWatermark = std::max(waiting, (expected - accrual) / 2);
    if (have >= lowWatermark)
        return {};
    const double target = std::max(waiting, (expected - accrual) * requestHeadroom);
    const double shortfall = std::min(target, m_limit.burst) - have;

    std::vector<Holder *> candidates;
    std::vector<std::string> names;
    double weight = 0;
    for (auto &[name, holder] : m_holders) {
        if (holder.pendingNonce != 0 || holder.retryAt > now)
            continue;
        candidates.push_back(&holder);
        names.push_back(name);
        weight += std::max(holder.spare, minWeight);
    }
    std::vector<OutgoingRequest> requests;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        Holder &holder = *candidates[i];
        const double part = shortfall * std::max(holder.spare, minWeight) / weight;
        const double amount = std::max(part, minRequest);
        holder.pendingNonce = m_nextNonce++;
        holder.pendingAmount = amount;
        holder.requestedAt = now;
        requests.push_back(
                { names[i],
                  { holder.pendingNonce, amount, std::exchange(holder.consumedLeases, {}) } });
    }
    return requests;
}

double TokenBucketShare::acceptLease(const std::string &name, const TokenLease &lease, Time now)
{
    const auto found = m_holders.find(name);
    if (found == m_holders.end() || found->second.pendingNonce != lease.nonce || lease.nonce == 0)
        return 0;
    Holder &holder = found->second;
    holder.pendingNonce = 0;
    holder.spare = lease.spare;
    if (lease.amount <= 0) {
        const int doublings = std::min(holder.consecutiveDeclines++, maxBackoffDoublings);
        holder.retryAt = now + initialBackoff * (1 << doublings);
        return 0;
    }
    holder.consecutiveDeclines = 0;
    const Time expires = holder.requestedAt + leaseDuration;
    if (expires <= now)
        return 0;
    m_borrowed.push_back({ lease.amount, expires, name, lease.nonce });
    return lease.amount;
}

} // namespace basildeck
