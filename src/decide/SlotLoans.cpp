#include "decide/SlotLoans.h"

#include "decide/TokenBucketShare.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

// Longer than a borrower may use a slot, because the lender's clock may run faster.
constexpr Duration loanDuration = std::chrono::duration_cast<Duration>(
        SlotLender::leaseDuration
        * (TokenBucketShare::maxClockDrift * TokenBucketShare::maxClockDrift));

} // namespace

void SlotLender::lend(const std::string &borrower, const SlotGrant &grant, Time now)
{
    if (!grant.targets.empty())
        m_loans[{ borrower, grant.nonce }] = { grant.targets, now + loanDuration };
}

bool SlotLender::acceptReturn(const std::string &borrower, const SlotReturn &slotReturn)
{
    const auto loan = m_loans.find({ borrower, slotReturn.nonce });
    if (loan == m_loans.end())
        return false;
    std::vector<std::string> &targets = loan->second.targets;
    const auto slot = std::find(targets.begin(), targets.end(), slotReturn.target);
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
    std::erase_if(m_loans, [&](const auto &entry) { return entry.second.expires <= now; });
}

std::optional<SlotBorrower::OutgoingRequest>
SlotBorrower::dueRequest(int missing, const std::vector<std::string> &lenders, Time now)
{
    if (missing <= 0 || lenders.empty())
        return std::nullopt;
    for (std::size_t i = 0; i < lenders.size(); ++i) {
        const std::string &name = lenders[(m_nextLender + i) % lenders.size()];
        Lender &lender = m_lenders[name];
        if (lender.pendingNonce != 0 && now - lender.requestedAt > requestTimeout) {
            m_timedOut[lender.pendingNonce] = now;
            lender.pendingNonce = 0;
        }
        if (lender.pendingNonce != 0 || lender.retryAt > now)
            continue;
        m_nextLender += i + 1;
        lender.pendingNonce = m_nextNonce++;
        lender.requestedAt = now;
        return OutgoingRequest{ name,
                                { lender.pendingNonce, std::min(missing, maxSlotsPerRequest) } };
    }
    return std::nullopt;
}

// The slots of a grant that arrives after the timeout are returned unused. A duplicate grant is
// ignored, because its slots may be in use.
void SlotBorrower::accept(const std::string &name, const SlotGrant &grant, Time now)
{
    const auto lender = m_lenders.find(name);
    const bool isPending = lender != m_lenders.end() && lender->second.pendingNonce == grant.nonce
                           && grant.nonce != 0;
    if (!isPending) {
        if (m_timedOut.erase(grant.nonce) == 0)
            return;
        for (const std::string &target : grant.targets)
            m_returns.push_back({ name, { grant.nonce, target } });
        return;
    }
    lender->second.pendingNonce = 0;
    if (grant.targets.empty())
        lender->second.retryAt = now + emptyBackoff;
    const Time expires = lender->second.requestedAt + SlotLender::leaseDuration;
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
    std::erase_if(m_timedOut, [&](const auto &entry) {
        return now - entry.second > SlotLender::leaseDuration;
    });
    std::erase_if(m_held, [&](const auto &entry) {
        const HeldSlot &held = entry.second;
        const bool isExpiringSoon = held.expires - now < SlotLender::leaseDuration / 2;
        if (held.busy || (now - held.idleSince < idleTimeout && !isExpiringSoon))
            return false;
        m_returns.push_back({ held.lender, { held.nonce, held.target } });
        return true;
    });
    return std::exchange(m_returns, {});
}

} // namespace basildeck
