#include "decide/SlotLoans.h"

#include "decide/TokenBucketShare.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

// Measured on a clock that may run faster than the borrower's.
constexpr Duration loanLife = std::chrono::duration_cast<Duration>(
        SlotLender::leaseLife * (TokenBucketShare::maxClockDrift * TokenBucketShare::maxClockDrift));

} // namespace

void SlotLender::lend(const std::string &borrower, const SlotGrant &grant, Time now)
{
    if (!grant.targets.empty())
        m_loans[{ borrower, grant.nonce }] = { grant.targets, now + loanLife };
}

bool SlotLender::acceptReturn(const std::string &borrower, const SlotReturn &back)
{
    const auto loan = m_loans.find({ borrower, back.nonce });
    if (loan == m_loans.end())
        return false;
    std::vector<std::string> &targets = loan->second.targets;
    const auto slot = std::find(targets.begin(), targets.end(), back.target);
    if (slot == targets.end())
        return false;
    targets.erase(slot);
    if (targets.empty())
        m_loans.erase(loan);
    return true;
}

bool SlotLender::hasLoan(const std::string &borrower, std::uint64_t nonce) const
{
    return m_loans.contains({ borrower, nonce });
}

int SlotLender::lent(const std::string &target) const
{
    long count = 0;
    for (const auto &[key, loan] : m_loans)
        count += std::count(loan.targets.begin(), loan.targets.end(), target);
    return static_cast<int>(count);
}

void SlotLender::expire(Time now)
{
    std::erase_if(m_loans, [&](const auto &entry) { return entry.second.ends <= now; });
}

std::optional<SlotBorrower::OutgoingRequest>
SlotBorrower::dueRequest(int missing, const std::vector<std::string> &lenders, Time now)
{
    if (missing <= 0 || lenders.empty())
        return std::nullopt;
    for (std::size_t i = 0; i < lenders.size(); ++i) {
        const std::string &name = lenders[(m_turn + i) % lenders.size()];
        Lender &lender = m_lenders[name];
        if (lender.pending != 0 && now - lender.askedAt > askTimeout) {
            m_lapsed[lender.pending] = now;
            lender.pending = 0;
        }
        if (lender.pending != 0 || lender.notBefore > now)
            continue;
        m_turn += i + 1;
        lender.pending = m_nextNonce++;
        lender.askedAt = now;
        return OutgoingRequest{ name, { lender.pending, std::min(missing, mostWanted) } };
    }
    return std::nullopt;
}

// The slots of an answer that comes after its timeout go back unused. A repeated answer is ignored:
// its slots may be in use.
void SlotBorrower::accept(const std::string &name, const SlotGrant &grant, Time now)
{
    const auto lender = m_lenders.find(name);
    const bool expected = lender != m_lenders.end() && lender->second.pending == grant.nonce
                          && grant.nonce != 0;
    if (!expected) {
        if (m_lapsed.erase(grant.nonce) == 0)
            return;
        for (const std::string &target : grant.targets)
            m_returns.push_back({ name, { grant.nonce, target } });
        return;
    }
    lender->second.pending = 0;
    if (grant.targets.empty())
        lender->second.notBefore = now + emptyBackoff;
    const Time expires = lender->second.askedAt + SlotLender::leaseLife;
    for (const std::string &target : grant.targets) {
        if (expires > now)
            m_held[m_nextSlot++] = { name, grant.nonce, target, expires, now, false };
    }
}

void SlotBorrower::finished(SlotId id, Time now)
{
    const auto held = m_held.find(id);
    if (held == m_held.end())
        return;
    held->second.busy = false;
    held->second.idleSince = now;
}

std::vector<SlotBorrower::OutgoingReturn> SlotBorrower::takeReturns(Time now)
{
    std::erase_if(m_lapsed,
                  [&](const auto &entry) { return now - entry.second > SlotLender::leaseLife; });
    std::erase_if(m_held, [&](const auto &entry) {
        const Held &held = entry.second;
        const bool old = held.expires - now < SlotLender::leaseLife / 2;
        if (held.busy || (now - held.idleSince < idleReturn && !old))
            return false;
        m_returns.push_back({ held.lender, { held.nonce, held.target } });
        return true;
    });
    return std::exchange(m_returns, {});
}

} // namespace basildeck
