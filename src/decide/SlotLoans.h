#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace basildeck {

// Requests slots of a service's targets from another VM.
struct SlotRequest
{
    std::uint64_t nonce = 0;
    int wanted = 0;
};

// Lends slots, each listed by the name of its target.
struct SlotGrant
{
    std::uint64_t nonce = 0; // of the request
    std::vector<std::string> targets;
};

// Returns a borrowed slot.
struct SlotReturn
{
    std::uint64_t nonce = 0; // of the grant
    std::string target;
};

// The slots that this VM has lent to others. A loan ends when the borrower returns the slot or can
// no longer use it.
class SlotLender
{
public:
    // How long a borrower may use a slot, from when it sent its request.
    static constexpr Duration leaseDuration = seconds(40);

    void lend(const std::string &borrower, const SlotGrant &grant, Time now);
    // Returns false if the slot was not lent or has already been returned.
    bool acceptReturn(const std::string &borrower, const SlotReturn &slotReturn);
    bool hasLoan(const std::string &borrower, std::uint64_t nonce) const;
    // The number of a target's slots that are lent.
    int lent(const std::string &target) const;
    void expire(Time now);

private:
    struct Loan
    {
        std::vector<std::string> targets;
        Time expires;
    };
    std::map<std::pair<std::string, std::uint64_t>, Loan> m_loans;
};

// The slots that this VM has borrowed. Each serves one request at a time.
class SlotBorrower
{
public:
    using SlotId = std::uint64_t;

    static constexpr Duration requestTimeout = milliseconds(300);
    static constexpr Duration emptyBackoff = milliseconds(100);
    // A borrowed slot that is idle for this long is returned.
    static constexpr Duration idleTimeout = milliseconds(1000);
    static constexpr int maxSlotsPerRequest = 8;

    struct OutgoingRequest
    {
        std::string lender;
        SlotRequest request;
    };
    struct OutgoingReturn
    {
        std::string lender;
        SlotReturn slotReturn;
    };

    explicit SlotBorrower(std::uint64_t nonceSeed = 1)
        : m_nextNonce(nonceSeed)
    {}

    // Returns the next request for slots if some are missing and a lender may be asked. Lenders are
    // asked in round-robin order.
    std::optional<OutgoingRequest> dueRequest(int missing, const std::vector<std::string> &lenders,
                                              Time now);
    // Adds the slots of a grant. Slots that cannot be used are returned through takeReturns().
    void accept(const std::string &lender, const SlotGrant &grant, Time now);

    struct Slot
    {
        SlotId id = 0;
        std::string target;
    };
    // Returns a free slot that does not expire before the given time, on a target that the filter
    // accepts.
    template <typename Usable>
    std::optional<Slot> choose(Time until, Usable usable) const
    {
        for (const auto &[id, held] : m_held) {
            if (!held.busy && held.expires >= until && usable(held.target))
                return Slot{ id, held.target };
        }
        return std::nullopt;
    }
    void started(SlotId id) { m_held.at(id).busy = true; }
    void finished(SlotId id, Time now);
    Time expires(SlotId id) const { return m_held.at(id).expires; }
    // Removes and returns the slots to give back now.
    std::vector<OutgoingReturn> takeReturns(Time now);
    int held() const { return static_cast<int>(m_held.size()); }

private:
    struct HeldSlot
    {
        std::string lender;
        std::uint64_t nonce;
        std::string target;
        Time expires;
        Time idleSince;
        bool busy = false;
    };
    struct Lender
    {
        std::uint64_t pendingNonce = 0; // 0: no pending request
        Time requestedAt;
        Time retryAt;
    };

    std::map<SlotId, HeldSlot> m_held;
    std::map<std::string, Lender> m_lenders;
    std::vector<OutgoingReturn> m_returns;
    std::map<std::uint64_t, Time> m_timedOut; // nonces of requests without an answer in time
    std::uint64_t m_nextNonce;
    SlotId m_nextSlot = 1;
    std::size_t m_nextLender = 0;
};

} // namespace basildeck
