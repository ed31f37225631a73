#pragma once

#include "decide/PeerTable.h"
#include "decide/QuotaShare.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace basildeck {

// What becomes of a request by its organisation's quota.
enum class QuotaAnswer {
    Admitted,
    Waits, // for a token that is about to come
    Refused,
};

// One VM's parts of the quotas of all organisations, what it tells the other VMs of them, and the
// tokens that they lend each other.
class QuotaLedger
{
public:
    // Demand in requests per second below which a beat says nothing of an organisation.
    static constexpr double leastDemand = 0.05;
    // VMs that are asked at once. A few are enough: in calm most have tokens to spare.
    static constexpr std::size_t maxLenders = 6;
    // Shortest time between two asks of a VM.
    static constexpr Duration askPeriod = milliseconds(100);
    // An organisation whose asks bring no tokens is asked for after twice the time, up to this.
    static constexpr Duration longestAskPeriod = seconds(2);
    // Loans that come later than this are not taken: the lender may hold as much again by then.
    static constexpr Duration loanLife = seconds(1);

    // How long a request may wait for a token: an ask and its answer, with what passes before the
    // ask.
    static constexpr Duration longestWait = milliseconds(150);
    // Requests of an organisation that may wait at once: no more than a loan can bring tokens for.
    static constexpr std::size_t mostWaiting = 2;

    explicit QuotaLedger(std::string self)
        : m_self(std::move(self))
    {}

    // Replaces the limits, by organisation. Organisations that stay keep their tokens.
    void setLimits(const std::map<std::string, QuotaLimit> &limits, Time now);
    // Sets the parts anew by what the VMs that are heard from want.
    void setPeers(std::size_t registeredVms, const std::vector<const Heartbeat *> &reachable,
                  Time now);
    // Takes a token of an organisation's quota for a request. Without one, the request waits if a
    // token is expected in time, from the organisation's rate or from VMs that have lent before.
    QuotaAnswer admit(const std::string &organisation, std::uint64_t request, Time now);
    // Requests that have waited and are now admitted, or refused because no token came.
    std::vector<std::pair<std::uint64_t, QuotaAnswer>> settle(Time now);
    bool isAnyWaiting() const { return !m_waiting.empty(); }
    // A request does not wait any more.
    void forget(std::uint64_t request);
    // The share of an organisation, null if it has no limit here.
    QuotaShare *find(const std::string &organisation);

    // Sets what a regular beat tells of demands.
    void fillDemands(Heartbeat &beat, Time now);
    // What to ask each of some other VMs for, if tokens ran low that are due to be asked for.
    std::optional<QuotaLoanRequest> ask(const std::set<std::string> &lenders, Time now);
    // Tokens for another VM. They are gone here, whether or not it ever hears of them.
    QuotaLoan lend(const QuotaLoanRequest &ask, Time now);
    // Takes in a loan, once for each VM that was asked.
    void borrow(const QuotaLoan &loan, Time now);
    // Whether ask() may have something to ask for.
    bool isAskDue(Time now) const { return m_isLow && now - m_askedAt >= askPeriod; }

    // Tokens that were lent and borrowed since the start.
    double lent() const { return m_lent; }
    double borrowed() const { return m_borrowed; }

private:
    struct Entry
    {
        explicit Entry(Time now)
            : share(now)
        {}
        QuotaShare share;
        Time askAgainAt;
        Duration askPause = askPeriod; // doubles while asks bring nothing
        std::size_t waiting = 0;
    };
    struct Waiting
    {
        std::uint64_t request;
        std::string organisation;
        Time until;
    };
    bool isTokenExpected(const Entry &entry) const;

    std::string m_self;
    std::map<std::string, Entry> m_entries;
    std::deque<Waiting> m_waiting; // oldest first
    bool m_isLow = false;          // of some organisation, tokens ran low since the last ask
    Time m_askedAt{};
    std::uint64_t m_askNumber = 0;
    std::map<std::uint64_t, std::pair<Time, std::set<std::string>>> m_asked; // VMs yet to answer
    double m_lent = 0;
    double m_borrowed = 0;
};

} // namespace basildeck
