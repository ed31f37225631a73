#include "decide/TokenBucketShare.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace basildeck {

namespace {

constexpr Duration minHorizon = milliseconds(20);
constexpr Duration maxHorizon = milliseconds(400);
constexpr Duration firstBackoff = milliseconds(20);
constexpr int maxBackoffDoublings = 5;
constexpr double demandMemorySeconds = 0.5;
constexpr double askHeadroom = 1.25;    // asked units for each unit of expected shortage
constexpr double smallestAsk = 0.01;    // units
constexpr double smallestWeight = 1e-3; // of a holder that had nothing to lend
constexpr double roundingSlack = 1e-9;  // units
constexpr std::size_t maxSettled = 32;

// Lends for longer than a borrower may use a grant, measured on a clock that may run faster.
constexpr Duration loanLife = std::chrono::duration_cast<Duration>(
        TokenBucketShare::grantLife
        * (TokenBucketShare::clockDrift * TokenBucketShare::clockDrift));

} // namespace

TokenBucketShare::TokenBucketShare(TokenBucketLimit limit, std::uint64_t nonceSeed,
                                   Time processStart)
    : m_limit(limit)
    , m_accruedTo(processStart + startupDelay)
    , m_nextNonce(nonceSeed)
    , m_demandAt(processStart)
{}

double TokenBucketShare::ownCap() const
{
    return std::max(0.0, m_fraction * m_limit.burst - m_lentTotal);
}

void TokenBucketShare::clipOwn()
{
    m_own = std::min(m_own, ownCap());
}

void TokenBucketShare::advance(Time now)
{
    std::erase_if(m_loans, [&](const auto &entry) {
        if (entry.second.ends > now)
            return false;
        m_lentTotal -= entry.second.amount;
        return true;
    });
    if (m_loans.empty())
        m_lentTotal = 0;
    dropExpiredLots(now);
    if (now <= m_accruedTo)
        return;
    const double rate = m_fraction * m_limit.rate / clockDrift;
    m_own += rate * toSeconds(now - m_accruedTo);
    m_accruedTo = now;
    clipOwn();
}

void TokenBucketShare::dropExpiredLots(Time now)
{
    std::erase_if(m_lots, [&](const Lot &lot) {
        if (lot.expires > now)
            return false;
        settle(lot);
        return true;
    });
}

void TokenBucketShare::settle(const Lot &lot)
{
    const auto holder = m_holders.find(lot.holder);
    if (holder != m_holders.end() && holder->second.consumedLeases.size() < maxSettled)
        holder->second.consumedLeases.push_back(lot.nonce);
}

void TokenBucketShare::setLimit(TokenBucketLimit limit, Time now)
{
    advance(now);
    m_limit = limit;
    clipOwn();
}

void TokenBucketShare::setFraction(double fraction, Time now)
{
    assert(fraction >= 0 && fraction <= 1);
    advance(now);
    m_fraction = fraction;
    clipOwn();
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
    return m_demand * std::exp(-toSeconds(now - m_demandAt) / demandMemorySeconds);
}

void TokenBucketShare::noteDemand(double amount, Time now)
{
    m_demand = demandRate(now) + amount / demandMemorySeconds;
    m_demandAt = now;
}

double TokenBucketShare::borrowed() const
{
    double sum = 0;
    for (const Lot &lot : m_lots)
        sum += lot.amount;
    return sum;
}

double TokenBucketShare::available(Time now)
{
    advance(now);
    return m_own + borrowed();
}

bool TokenBucketShare::isWithinFraction(Time now)
{
    advance(now);
    return m_own + m_lentTotal <= m_fraction * m_limit.burst + roundingSlack;
}

bool TokenBucketShare::tryAcquire(double amount, Time now)
{
    if (available(now) + roundingSlack < amount)
        return false;
    while (amount > 0 && !m_lots.empty()) {
        Lot &lot = m_lots.front();
        const double part = std::min(lot.amount, amount);
        lot.amount -= part;
        amount -= part;
        if (lot.amount > 0)
            break;
        settle(lot);
        m_lots.pop_front();
    }
    m_own = std::max(0.0, m_own - amount);
    return true;
}

// Short burst times need short horizons: what is lent counts against the lender's cap.
Duration TokenBucketShare::horizon() const
{
    if (m_limit.rate <= 0)
        return maxHorizon;
    const std::chrono::duration<double> quarter(m_limit.burst / m_limit.rate / 4);
    const auto exact = std::chrono::duration_cast<Duration>(
            std::min<std::chrono::duration<double>>(quarter, maxHorizon));
    return std::clamp<Duration>(exact, minHorizon, maxHorizon);
}

TokenLease TokenBucketShare::grantLease(const std::string &borrower, const TokenLeaseRequest &ask,
                                        Time now)
{
    advance(now);
    for (const std::uint64_t nonce : ask.consumedLeases) {
        const auto loan = m_loans.find({ borrower, nonce });
        if (loan == m_loans.end())
            continue;
        m_lentTotal -= loan->second.amount;
        m_loans.erase(loan);
    }
    const double reserve = demandRate(now) * toSeconds(horizon());
    const double spare = std::max(0.0, m_own - reserve);
    const bool repeated = m_loans.contains({ borrower, ask.nonce });
    const double amount = repeated ? 0 : std::clamp(ask.amount, 0.0, spare);
    if (amount > 0) {
        m_own -= amount;
        m_lentTotal += amount;
        m_loans[{ borrower, ask.nonce }] = { amount, now + loanLife };
    }
    return { ask.nonce, amount, spare - amount };
}

double TokenBucketShare::pendingAmount(Time now)
{
    double sum = 0;
    for (auto &[name, holder] : m_holders) {
        if (holder.pendingNonce != 0 && now - holder.askedAt > askTimeout) {
            holder.pendingNonce = 0;
            holder.notBefore = now + firstBackoff;
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
    const double ahead = toSeconds(horizon());
    const double expected = demandRate(now) * ahead;
    const double accrual = m_fraction * m_limit.rate / clockDrift * ahead;
    const double have = m_own + borrowed() + pendingAmount(now);
    const double lowWater = std::max(waiting, (expected - accrual) / 2);
    if (have >= lowWater)
        return {};
    const double wanted = std::max(waiting, (expected - accrual) * askHeadroom);
    const double missing = std::min(wanted, m_limit.burst) - have;

    std::vector<Holder *> open;
    std::vector<std::string> names;
    double weight = 0;
    for (auto &[name, holder] : m_holders) {
        if (holder.pendingNonce != 0 || holder.notBefore > now)
            continue;
        open.push_back(&holder);
        names.push_back(name);
        weight += std::max(holder.spare, smallestWeight);
    }
    std::vector<OutgoingRequest> asks;
    for (std::size_t i = 0; i < open.size(); ++i) {
        Holder &holder = *open[i];
        // Never so little that rounding keeps a request waiting for the rest of its token.
        const double part = missing * std::max(holder.spare, smallestWeight) / weight;
        const double amount = std::max(part, smallestAsk);
        holder.pendingNonce = m_nextNonce++;
        holder.pendingAmount = amount;
        holder.askedAt = now;
        asks.push_back(
                { names[i],
                  { holder.pendingNonce, amount, std::exchange(holder.consumedLeases, {}) } });
    }
    return asks;
}

double TokenBucketShare::acceptLease(const std::string &name, const TokenLease &grant, Time now)
{
    const auto found = m_holders.find(name);
    if (found == m_holders.end() || found->second.pendingNonce != grant.nonce || grant.nonce == 0)
        return 0;
    Holder &holder = found->second;
    holder.pendingNonce = 0;
    holder.spare = grant.spare;
    if (grant.amount <= 0) {
        const int doublings = std::min(holder.emptyAnswers++, maxBackoffDoublings);
        holder.notBefore = now + firstBackoff * (1 << doublings);
        return 0;
    }
    holder.emptyAnswers = 0;
    const Time expires = holder.askedAt + grantLife;
    if (expires <= now)
        return 0;
    m_lots.push_back({ grant.amount, expires, name, grant.nonce });
    return grant.amount;
}

} // namespace basildeck
