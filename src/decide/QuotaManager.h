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

// The decision on a request under its organisation's quota.
enum class QuotaDecision {
    Admitted,
    Waiting, // for a token that is expected soon
    Refused,
};

// Manages one VM's shares of the quotas of all organisations: the demand that it reports to other
// VMs, and the tokens that VMs lend to each other.
class QuotaManager
{
public:
    // Demand in requests per second below which a heartbeat omits an organisation.
    static constexpr double minReportedDemand = 0.05;
    // VMs that receive one request for tokens. A few are enough: under steady load most VMs have
    // tokens to spare.
    static constexpr std::size_t maxLenders = 6;
    // The shortest time between two requests for tokens.
    static constexpr Duration requestInterval = milliseconds(100);
    // The time between requests for an organisation doubles, up to this limit, while they bring no
    // tokens.
    static constexpr Duration maxRequestInterval = seconds(2);
    // Later loans are rejected: by then the lender may have accrued the same tokens again.
    static constexpr Duration maxLoanDelay = seconds(1);

    // How long a request may wait for a token. Covers a request for tokens, its answer and the time
    // until the request for tokens is sent.
    static constexpr Duration maxWait = milliseconds(150);
    // Requests of one organisation that may wait at the same time: no more than one loan can bring
    // tokens for.
    static constexpr std::size_t maxWaiting = 2;

    explicit QuotaManager(std::string self)
        : m_self(std::move(self))
    {}

    // Replaces the limits, by organisation. Organisations that remain keep their tokens.
    void setLimits(const std::map<std::string, QuotaLimit> &limits, Time now);
    // Recomputes the shares from the demand that the reachable VMs report.
    void setPeers(std::size_t registeredVms, const std::vector<const Heartbeat *> &reachable,
                  Time now);
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

    // Sets the demands that a periodic heartbeat reports.
    void fillDemands(Heartbeat &heartbeat, Time now);
    // Returns the request for tokens to send to each lender, if tokens are low and a request for
    // them is due.
    std::optional<QuotaLoanRequest> makeRequest(const std::set<std::string> &lenders, Time now);
    // Deducts tokens for another VM. They are gone even if the loan never arrives.
    QuotaLoan lend(const QuotaLoanRequest &loanRequest, Time now);
    // Adds the tokens of a loan. Only the first loan of each requested lender counts.
    void borrow(const QuotaLoan &loan, Time now);
    // Whether makeRequest() may have tokens to request.
    bool isRequestDue(Time now) const { return m_isLow && now - m_requestedAt >= requestInterval; }

    // Tokens lent and borrowed since the start.
    double lent() const { return m_lent; }
    double borrowed() const { return m_borrowed; }

private:
    struct Entry
    {
        explicit Entry(Time now)
            : share(now)
        {}
        QuotaShare share;
        Time nextRequestAt;
        Duration nextInterval = requestInterval; // doubles while requests bring no tokens
        std::size_t waiting = 0;
    };
    struct WaitingRequest
    {
        std::uint64_t request;
        std::string organisation;
        Time until;
    };
    bool isTokenExpected(const Entry &entry) const;

    std::string m_self;
    std::map<std::string, Entry> m_entries;
    std::deque<WaitingRequest> m_waiting; // oldest first
    bool m_isLow = false; // tokens of an organisation ran low since the last request
    Time m_requestedAt{};
    std::uint64_t m_requestNumber = 0;
    // Requests for tokens, by number: when they were sent and which lenders have yet to answer.
    std::map<std::uint64_t, std::pair<Time, std::set<std::string>>> m_openRequests;
    double m_lent = 0;
    double m_borrowed = 0;
};

} // namespace basildeck
