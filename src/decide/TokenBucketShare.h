#pragma once

#include "basildeck/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// The limit that a budget enforces over the whole fleet: at most burst + rate * t units are taken
// in any interval of length t.
struct TokenBucketLimit
{
    double rate = 0;  // units per second
    double burst = 0; // units
    bool operator==(const TokenBucketLimit &other) const = default;
};

// A borrower's request for tokens. Settled names earlier grants whose tokens are used up.
struct TokenLeaseRequest
{
    std::uint64_t nonce = 0;
    double amount = 0;
    std::vector<std::uint64_t> consumedLeases;
};

// A holder's answer. Spare is what the holder could still lend.
struct TokenLease
{
    std::uint64_t nonce = 0;
    double amount = 0;
    double spare = 0;
};

// One VM's part of a fleet-wide token bucket.
//
// A holder owns a fraction of the rate and of the burst and accrues tokens locally. A VM that runs
// short borrows from holders. The sum over all VMs of tokens held, lent and in flight never exceeds
// the burst, whatever messages are lost, repeated, reordered or late and whoever pauses or
// restarts:
//
//   - A holder takes a grant off its tokens before it sends it, and counts it against its own cap
//     until the borrower reports it used or the borrower can no longer use it.
//   - Borrowed tokens expire a fixed life after the borrower sent its request. The holder waits
//     that life and a margin for clock drift after its answer, which is sent later.
//   - A process starts without tokens and accrues nothing until every grant of an earlier process
//     of the same VM has expired.
class TokenBucketShare
{
public:
    // Life of borrowed tokens, from the moment at which the borrower asks.
    static constexpr Duration grantLife = milliseconds(2000);
    // Clocks of two VMs run at rates that differ by at most this factor.
    static constexpr double clockDrift = 1.01;
    // How long a new process holds no tokens of its own.
    static constexpr Duration startupDelay = milliseconds(2100);
    // After this time an unanswered request counts as lost.
    static constexpr Duration askTimeout = milliseconds(250);

    // Nonces start at a seed that differs between processes.
    TokenBucketShare(TokenBucketLimit limit, std::uint64_t nonceSeed, Time processStart);

    void setLimit(TokenBucketLimit limit, Time now);
    // Sets the owned fraction of the budget, between 0 and 1.
    void setFraction(double fraction, Time now);
    // Names the other VMs that own a fraction.
    void setHolders(const std::vector<std::string> &holders);

    // Records that units were wanted, whether or not they are taken.
    void noteDemand(double amount, Time now);
    // Units wanted per second lately, at this VM.
    double demandRate(Time now) const;
    // Takes units if there are enough.
    bool tryAcquire(double amount, Time now);
    // Tokens that tryAcquire() can use now.
    double available(Time now);
    // Own tokens and loans fit the owned fraction. False for a while after a fraction shrank.
    bool isWithinFraction(Time now);

    // Answers a borrower.
    TokenLease grantLease(const std::string &borrower, const TokenLeaseRequest &ask, Time now);

    struct OutgoingRequest
    {
        std::string holder;
        TokenLeaseRequest request;
    };
    // The requests to send now, given how many units wait.
    std::vector<OutgoingRequest> dueRequests(double waiting, Time now);
    // Takes in an answer. Returns the units received; an unknown or late answer brings none.
    double acceptLease(const std::string &holder, const TokenLease &grant, Time now);

    const TokenBucketLimit &limit() const { return m_limit; }
    double fraction() const { return m_fraction; }
    double lent() const { return m_lentTotal; }

private:
    struct Lot
    {
        double amount;
        Time expires;
        std::string holder;
        std::uint64_t nonce;
    };
    struct Loan
    {
        double amount;
        Time ends;
    };
    struct Holder
    {
        std::uint64_t pendingNonce = 0; // 0: no request is open
        double pendingAmount = 0;
        Time askedAt;
        Time notBefore;
        int emptyAnswers = 0;
        double spare = 1;
        std::vector<std::uint64_t> consumedLeases;
    };

    void advance(Time now);
    void dropExpiredLots(Time now);
    double ownCap() const;
    void clipOwn();
    double borrowed() const;
    Duration horizon() const;
    void settle(const Lot &lot);
    double pendingAmount(Time now);

    TokenBucketLimit m_limit;
    double m_fraction = 0;
    double m_own = 0; // own tokens
    Time m_accruedTo;
    std::deque<Lot> m_lots; // borrowed tokens, earliest first
    std::map<std::pair<std::string, std::uint64_t>, Loan> m_loans;
    double m_lentTotal = 0;
    std::map<std::string, Holder> m_holders;
    std::uint64_t m_nextNonce;
    double m_demand = 0; // units per second, decaying
    Time m_demandAt;
};

} // namespace basildeck
