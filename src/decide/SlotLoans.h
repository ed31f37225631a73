#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace basildeck {

// Asks another VM for slots of a service's targets.
struct SlotRequest
{
    std::uint64_t nonce = 0;
    int wanted = 0;
};

// Lends slots: one target name for each.
struct SlotGrant
{
    std::uint64_t nonce = 0;
    std::vector<std::string> targets;
};

// Gives a borrowed slot back.
struct SlotReturn
{
    std::uint64_t nonce = 0; // of the grant
    std::string target;
};

// The slots that this VM has lent to others. A lent slot comes back by its return, or when the
// borrower can no longer use it.
class SlotLender
{
public:
    // How long a borrower may use a slot, from the moment at which it asked.
    static constexpr Duration leaseLife = seconds(40);

    void lend(const std::string &borrower, const SlotGrant &grant, Time now);
    // Returns false if the slot was not lent, or came back before.
    bool acceptReturn(const std::string &borrower, const SlotReturn &back);
    bool hasLoan(const std::string &borrower, std::uint64_t nonce) const;
    // Slots of a target that are lent.
    int lent(const std::string &target) const;
    void expire(Time now);

private:
    struct Loan
    {
        std::vector<std::string> targets;
        Time ends;
    };
    std::map<std::pair<std::string, std::uint64_t>, Loan> m_loans;
};

// The slots that this VM has borrowed. Each serves one request at a time.
class SlotBorrower
{
public:
    using SlotId = std::uint64_t;

    static constexpr Duration askTimeout = milliseconds(300);
    static constexpr Duration emptyBackoff = milliseconds(100);
    // A borrowed slot without work goes back after this time.
    static constexpr Duration idleReturn = milliseconds(1000);
    static constexpr int mostWanted = 8;

    struct OutgoingRequest
    {
        std::string lender;
        SlotRequest request;
    };
    struct OutgoingReturn
    {
        std::string lender;
        SlotReturn back;
    };

    explicit SlotBorrower(std::uint64_t nonceSeed = 1)
        : m_nextNonce(nonceSeed)
    {}

    // The next request for slots, if some are missing and a lender has not been asked lately.
    // Lenders are asked in turn.
    std::optional<OutgoingRequest> dueRequest(int missing, const std::vector<std::string> &lenders,
                                              Time now);
    // Takes in a grant. What cannot be used goes back through takeReturns().
    void accept(const std::string &lender, const SlotGrant &grant, Time now);

    struct Slot
    {
        SlotId id = 0;
        std::string target;
    };
    // A free slot that lasts until the given time, on a target that passes the filter.
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
    // Until when a slot may be used.
    Time expires(SlotId id) const { return m_held.at(id).expires; }
    // Slots to give back now.
    std::vector<OutgoingReturn> takeReturns(Time now);
    int held() const { return static_cast<int>(m_held.size()); }

private:
    struct Held
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
        std::uint64_t pending = 0; // 0: no request is open
        Time askedAt;
        Time notBefore;
    };

    std::map<SlotId, Held> m_held;
    std::map<std::string, Lender> m_lenders;
    std::vector<OutgoingReturn> m_returns;
    std::map<std::uint64_t, Time> m_lapsed; // requests whose answer did not come in time
    std::uint64_t m_nextNonce;
    SlotId m_nextSlot = 1;
    std::size_t m_turn = 0;
};

} // namespace basildeck
