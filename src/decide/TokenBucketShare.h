#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// The limit that a token bucket enforces over the whole fleet: at most burst + rate * t tokens are
// taken in any interval of length t.
struct TokenBucketLimit
{
    double rate = 0;  // tokens per second
    double burst = 0; // tokens
    bool operator==(const TokenBucketLimit &other) const = default;
};

// A borrower's request for tokens.
struct TokenLeaseRequest
{
    std::uint64_t nonce = 0;
    double amount = 0;
    std::vector<std::uint64_t> consumedLeases; // nonces of earlier leases that are used or expired
};

// A holder's answer to a request.
struct TokenLease
{
    std::uint64_t nonce = 0; // of the request
    double amount = 0;       // 0: the request is declined
    double spare = 0;        // tokens that the holder could still lend
};

// One VM's share of a fleet-wide token bucket.
//
// A holder owns a fraction of the rate and of the burst and accrues tokens locally. A VM that runs
// short leases tokens from holders. The sum over all VMs of tokens held, lent and in flight never
// exceeds the burst, even if messages are lost, duplicated, reordered or delayed and VMs pause or
// restart:
//
//   - A holder deducts a lease from its tokens before it sends the lease. The lease counts against
//     the holder's capacity until the borrower reports it as consumed or it has expired.
//   - A lease expires a fixed time after the borrower sent its request. The holder sends its answer
//     later than that and waits for the same time plus a margin for clock drift.
//   - A process starts without tokens and accrues none until every lease that an earlier process of
//     the same VM granted has expired.
class TokenBucketShare
{
public:
    // How long leased tokens may be used, from when the borrower sent its request.
    static constexpr Duration leaseDuration = milliseconds(2000);
    // The rates of two VMs' clocks differ by at most this factor.
    static constexpr double maxClockDrift = 1.01;
    // How long a new process holds no tokens of its own.
    static constexpr Duration startupDelay = milliseconds(2100);
    // A request that is not answered within this time counts as lost.
    static constexpr Duration requestTimeout = milliseconds(250);

    // The nonce seed has to differ between processes.
    TokenBucketShare(TokenBucketLimit limit, std::uint64_t nonceSeed, Time processStart);

    void setLimit(TokenBucketLimit limit, Time now);
    // Sets the owned fraction of the bucket, between 0 and 1.
    void setFraction(double fraction, Time now);
    // Sets the other VMs that own a fraction and can lend tokens.
    void setHolders(const std::vector<std::string> &holders);

    // Records demand, whether or not tokens are acquired for it.
    void recordDemand(double amount, Time now);
    // Recent demand at this VM, in tokens per second.
    double demandRate(Time now) const;
    // Takes tokens. Returns false, without taking any, if there are too few.
    bool tryAcquire(double amount, Time now);
    // Own and leased tokens that tryAcquire() can take now.
    double available(Time now);
    // Whether own tokens and tokens lent fit the owned fraction. False for a while after the
    // fraction was reduced.
    bool isWithinFraction(Time now);

    // Answers a borrower's request from the tokens that this VM can spare.
    TokenLease grantLease(const std::string &borrower, const TokenLeaseRequest &request, Time now);

    struct OutgoingRequest
    {
        std::string holder;
        TokenLeaseRequest request;
    };
    // Returns the requests to send now, given the demand that waits for tokens.
    std::vector<OutgoingRequest> dueRequests(double waiting, Time now);
    // Adds the tokens of a lease and returns how many. An unknown or late lease adds none.
    double acceptLease(const std::string &holder, const TokenLease &lease, Time now);

    const TokenBucketLimit &limit() const { return m_limit; }
    double fraction() const { return m_fraction; }
    double lent() const { return m_lentTotal; }

private:
    struct BorrowedTokens
    {
        double amount;
        Time expires;
        std::string holder;
        std::uint64_t nonce;
    };
    struct Loan
    {
        double amount;
        Time expires;
    };
    struct Holder
    {
        std::uint64_t pendingNonce = 0; // 0: no pending request
        double pendingAmount = 0;
        Time requestedAt;
        Time retryAt;
        int consecutiveDeclines = 0;
        double spare = 1; // as last reported
        std::vector<std::uint64_t> consumedLeases;
    };

    void advance(Time now);
    void dropExpiredTokens(Time now);
    double ownCapacity() const;
    void limitToCapacity();
    double borrowed() const;
    Duration planningHorizon() const;
    void recordConsumed(const BorrowedTokens &tokens);
    double pendingAmount(Time now);

    TokenBucketLimit m_limit;
    double m_fraction = 0;
    double m_ownTokens = 0;
    Time m_accruedTo;
    std::deque<BorrowedTokens> m_borrowed; // earliest first
    std::map<std::pair<std::string, std::uint64_t>, Loan> m_loans;
    double m_lentTotal = 0;
    std::map<std::string, Holder> m_holders;
    std::uint64_t m_nextNonce;
    double m_demand = 0; // exponential moving average, in tokens per second
    Time m_demandAt;
};

} // namespace basildeck
