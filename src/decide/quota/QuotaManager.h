#pragma once

#include "decide/PeerTable.h"
#include "decide/quota/BorrowedTokens.h"
#include "decide/quota/QuotaHolders.h"
#include "decide/quota/QuotaShare.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace basildeck {

// The decision on a request under its organisation's quota.
enum class QuotaDecision {
    Admitted,
    Waiting, // for a token that is expected soon
    Refused,
};

// The VMs among which quotas are divided.
struct QuotaFleet
{
    std::map<std::string, std::string> vmRegions; // region of each registered VM, by name
    std::size_t knownVms = 1; // VMs that may be serving, including this one and unregistered ones
    std::vector<const Heartbeat *> reachable; // the other VMs that this one reaches
};

// Manages one VM's shares of the quotas of all organisations: the demand that it reports to other
// VMs, and the tokens that VMs lend to each other.
//
// Holders of an organisation's tokens (see QuotaHolders) lend each other tokens when they run low.
// The other VMs borrow a token for each request, from a holder in their region if one is reachable.
// A VM that reaches no holder uses an equal part of the limit, which the holders leave unused.
class QuotaManager
{
public:
    // Demand in requests per second below which a heartbeat omits an organisation.
    static constexpr double minReportedDemand = 0.05;
    // Holders that receive one request for tokens from another holder. A few are enough: under
    // steady load most holders have tokens to spare.
    static constexpr std::size_t maxLenders = 6;
    // The shortest time between two requests for tokens of a holder.
    static constexpr Duration requestInterval = milliseconds(100);
    // The time between requests for an organisation doubles, up to this limit, while they bring no
    // tokens.
    static constexpr Duration maxRequestInterval = seconds(2);
    // Later loans are rejected: by then the lender may have accrued the same tokens again.
    static constexpr Duration maxLoanDelay = seconds(1);

    // How long a request may wait for a token. Covers a request for tokens, its answer and the time
    // until the request for tokens is sent.
    static constexpr Duration maxWait = milliseconds(150);
    // Requests of one organisation that may wait at the same time at a holder: no more than one
    // loan can bring tokens for.
    static constexpr std::size_t maxWaiting = 2;

    // How long a request may wait for a borrowed token: for a holder of the region that does not
    // answer, and then for one elsewhere.
    static constexpr Duration maxBorrowerWait = milliseconds(300);
    // Requests of one organisation that may wait for borrowed tokens at the same time.
    static constexpr std::size_t maxBorrowerWaiting = 24;
    // Time after which a borrower requests the tokens from the next holder instead: more than a
    // round trip between two regions.
    static constexpr Duration answerTimeout = milliseconds(130);
    // Lower limit of that time for a holder of the region, which otherwise is twice the slowest
    // recent answer from there. With a fixed short time, VMs with a fraction of a core, which
    // answer late, would lend several tokens for one request.
    static constexpr Duration minAnswerTimeout = milliseconds(25);
    // A holder that did not answer in time is asked again after this time, or when it has answered.
    static constexpr Duration silenceRetention = seconds(1);
    // Holders in a row without tokens after which a borrower backs off.
    static constexpr int maxRefusals = 3;
    // A holder without tokens whose interval between requests for tokens exceeds this reports the
    // organisation as exhausted: its last two requests brought none. Borrowers then do not ask
    // holders of other regions.
    static constexpr Duration exhaustedInterval = 2 * requestInterval;
    // Lower limit of the retry delay of a request over the quota.
    static constexpr Duration minRetryAfter = milliseconds(200);

    explicit QuotaManager(std::string self, std::string region = {})
        : m_self(std::move(self))
        , m_region(std::move(region))
    {}

    // Replaces the limits, by organisation. Organisations that remain keep their tokens.
    void setLimits(const std::map<std::string, QuotaLimit> &limits, Time now);
    // Recomputes the shares from the registered VMs and the demand that the reachable ones report.
    void setFleet(const QuotaFleet &fleet, Time now);
    // Takes a token of an organisation's quota for a request. Without a token, the request waits if
    // one is expected in time, from the organisation's rate or from VMs that have lent before.
    QuotaDecision admit(const std::string &organisation, std::uint64_t request, Time now);
    // Returns the waiting requests that are now admitted, or refused because no token arrived in
    // time.
    std::vector<std::pair<std::uint64_t, QuotaDecision>> resolveWaiting(Time now);
    bool isAnyWaiting() const { return !m_waiting.empty(); }
    // Removes a waiting request.
    void cancel(std::uint64_t request);
    // Returns the share of an organisation, or null if the organisation has no limit.
    QuotaShare *find(const std::string &organisation);
    // Time after which a refused request of an organisation may find a token.
    Duration retryAfter(const std::string &organisation, Time now) const;

    // Sets the demands that a periodic heartbeat reports.
    void fillDemands(Heartbeat &heartbeat, Time now);
    // Returns the requests for tokens to send now, by lender.
    std::map<std::string, QuotaLoanRequest> makeRequests(Time now);
    // Deducts tokens for another VM. They are gone even if the loan never arrives.
    QuotaLoan lend(const QuotaLoanRequest &loanRequest, Time now);
    // Adds the tokens of a loan. Only the first loan of each requested lender counts.
    void borrow(const QuotaLoan &loan, Time now);
    // Whether makeRequests() may have tokens to request.
    bool isRequestDue(Time now) const
    {
        return m_isBorrowingDue || (m_isLow && now - m_requestedAt >= requestInterval);
    }

    // Tokens lent and borrowed since the start.
    double lent() const { return m_lent; }
    double borrowed() const { return m_borrowed; }
    // Requests that waited for a token and that were refused, at once or after waiting.
    std::uint64_t waited() const { return m_waited; }
    std::uint64_t refused() const { return m_refused; }

private:
    using PeerHeartbeats = std::map<std::string, const Heartbeat *>; // by VM
    // When the next request for tokens may be sent. The interval doubles while requests bring none.
    struct Backoff
    {
        Time nextAt;
        Duration interval = requestInterval;

        void start(Time now)
        {
            nextAt = now + interval;
            interval = std::min(maxRequestInterval, interval * 2);
        }
        void reset() { interval = requestInterval; }
    };
    struct Entry
    {
        explicit Entry(Time now)
            : share(now)
        {}
        QuotaShare share;
        bool usesShare = true;      // a holder, or a VM that reaches no holder
        Backoff replenishing;       // of requests that refill a holder's share
        double replenishTokens = 0; // requested of each lender by the last one
        std::size_t waiting = 0;
        std::vector<std::string> lenders; // reachable holders, those of the region first
        // The state of borrowing for waiting requests.
        Backoff borrowing;
        std::size_t lender = 0;   // index of the one to try next
        int refusals = 0;         // by holders in a row
        bool isExhausted = false; // as one of these holders said
        BorrowedTokens borrowed;
        std::optional<Time> answerDueAt; // of an open request for tokens
        std::string askedLender;         // by that request
        std::uint64_t askedRequest = 0;  // number of that request
    };
    struct WaitingRequest
    {
        std::uint64_t request;
        std::string organisation;
        Time until;
    };
    // Whether this VM borrows a token for each request that finds none here: always if it holds
    // none, and in large fleets also if it holds some.
    bool borrowsForRequests(const Entry &entry) const
    {
        return !entry.usesShare || (!m_holdAll && !entry.lenders.empty());
    }
    // Records that a holder's share should be refilled.
    void noteIfLow(Entry &entry, Time now);
    bool isTokenExpected(const Entry &entry, Time now) const;
    bool tryAcquire(Entry &entry, Time now) const;
    void updateShare(const std::string &organisation, Entry &entry, const QuotaFleet &fleet,
                     const PeerHeartbeats &heartbeats, Time now);
    // The reachable holders of an organisation, those of this VM's region first.
    std::vector<std::string> reachableHolders(const std::string &organisation,
                                              const PeerHeartbeats &heartbeats) const;
    void addHolderRequests(const std::string &organisation, Entry &entry, Time now,
                           std::map<std::string, QuotaLoanRequest> &requests);
    void addBorrowerRequest(const std::string &organisation, Entry &entry, Time now,
                            std::map<std::string, QuotaLoanRequest> &requests);
    Duration answerTimeoutOf(const std::string &lender) const;
    // The next holder to ask for a waiting request, not one that did not answer lately.
    const std::string &chooseLender(Entry &entry, Time now);
    // A holder had no tokens, and if exhausted, the holders that it asked had none either.
    void handleRefusal(Entry &entry, bool isExhausted, Time now);

    std::string m_self;
    std::string m_region;
    QuotaHolders m_holders;
    std::map<std::string, Time> m_silentUntil;   // holders that did not answer lately
    Duration m_regionAnswerTime = answerTimeout; // the slowest recent one, decaying
    bool m_holdAll = true;                       // the fleet is so small that every VM holds tokens
    std::map<std::string, Entry> m_entries;
    std::deque<WaitingRequest> m_waiting; // oldest first
    bool m_isLow = false; // a holder's tokens of an organisation ran low since the last request
    bool m_isBorrowingDue = false; // a borrower's request waits for a token not yet requested
    Time m_requestedAt{};
    std::uint64_t m_requestNumber = 0;
    std::size_t m_rotation = 0; // of the holders that a holder requests tokens from
    // Requests for tokens, by number: when they were sent and which lenders have yet to answer.
    std::map<std::uint64_t, std::pair<Time, std::set<std::string>>> m_openRequests;
    double m_lent = 0;
    double m_borrowed = 0;
    std::uint64_t m_waited = 0;
    std::uint64_t m_refused = 0;
};

} // namespace basildeck
