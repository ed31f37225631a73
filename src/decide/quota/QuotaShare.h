#pragma once

#include "basildeck/Time.h"

#include <algorithm>
#include <vector>

namespace basildeck {

// The fleet-wide limit of one organisation.
struct QuotaLimit
{
    double rate = 0;  // requests per second, 0: no limit
    double burst = 0; // requests
    // Requests that starting VMs may admit, all together, before tokens have accrued.
    double startupTokens = 0;
    // Requests by which a window may exceed rate and burst.
    double windowOvershoot = 0;
    bool operator==(const QuotaLimit &other) const = default;

    // The fraction of the allowed relative overshoot that is used under steady load, to compensate
    // for the uneven distribution of requests over VMs. The rest is reserved for VMs that disagree
    // on which VMs are reachable.
    static constexpr double balancingFraction = 0.7;
    // The fractions of the allowed overshoot in requests that are used to compensate for the uneven
    // distribution and that starting VMs may use. The rest is reserved as above.
    static constexpr double balancingRequestFraction = 0.2;
    static constexpr double startupRequestFraction = 0.5;

    // Returns the limit that the VMs divide among themselves, where a window may exceed this limit
    // by a fraction of it and a number of requests.
    QuotaLimit withOvershoot(double fraction, double requests, Duration window) const
    {
        return { rate * (1 + fraction * balancingFraction),
                 burst * (1 + fraction * balancingFraction) + requests * balancingRequestFraction,
                 requests * startupRequestFraction,
                 fraction * (rate * toSeconds(window) + burst) + requests };
    }
};

// The demand of the reachable holders of one organisation's tokens.
struct QuotaDemand
{
    std::size_t holders = 1;         // VMs that may hold tokens, including this one
    std::vector<double> peerDemands; // requests per second, for each other reachable holder
    // The fraction of the registered VMs that this VM reaches, including itself. The rest may be
    // partitioned and use their reserved parts.
    double reachableFraction = 1;
};

// One holder's share of an organisation's quota.
//
// Each holder uses a fraction of the rate equal to its fraction of the total demand. Half of the
// burst is divided in the same way and half equally, because a VM with few requests sees larger
// fluctuations relative to its rate. A VM that is not reachable may be partitioned and still
// serving, so an equal part stays reserved for it. A VM that reaches no other VM therefore uses one
// such part, and the parts on all sides of a partition add up to one.
class QuotaShare
{
public:
    // Time constants of the two demand averages, of which the higher one counts: the slow one keeps
    // shares steady under steady load, the fast one follows callers that move between VMs.
    static constexpr Duration slowTimeConstant = milliseconds(2500);
    static constexpr Duration fastTimeConstant = milliseconds(500);
    // The demand that is assumed of every VM in addition to what it reports, as a fraction of an
    // equal part of the rate, so that a first request finds a token.
    static constexpr double baseDemandFraction = 0.5;
    // The factor by which the reported demand, with that base, may grow from one heartbeat to the
    // next. A VM's own share grows two heartbeats after its demand, while the shares of the others
    // shrink at once. So while demand rises everywhere, as after a start of the whole fleet, the
    // shares of all VMs add up to less than one, by this factor per heartbeat.
    static constexpr double maxDemandGrowth = 2;
    // Tokens that a VM may hold in addition to its share of the burst, so that two consecutive
    // requests find tokens in a large fleet: twice an equal part of the window's overshoot, within
    // these bounds. Under steady load few VMs hold all of it, and when demand rises everywhere the
    // shares of the rate shrink for a second. Simulations of that with 7 to 38 VMs stay within the
    // window's limit.
    static constexpr double overshootFactor = 2;
    static constexpr double minSpareTokens = 1;
    static constexpr double maxSpareTokens = 2;
    // A VM that holds less than this fraction of its capacity requests tokens from other VMs, and a
    // lender lends only what it holds above this fraction.
    static constexpr double lowWatermark = 0.5;
    // A VM requests tokens up to this fraction of its capacity. Not up to the capacity: requests
    // that are repeated before the first answers arrive would bring in more than that, and the
    // excess is lost.
    static constexpr double refillTarget = 0.75;
    // Upper limit of the tokens of one loan to a VM that holds none.
    static constexpr double maxTokensPerLoan = 32;

    explicit QuotaShare(Time now);

    void setLimit(const QuotaLimit &limit, Time now);
    void setDemand(const QuotaDemand &demand, Time now);
    // Sets a fixed fraction of the limit as this VM's share, zero for a VM that holds no tokens.
    void setFixedFraction(double fraction, Time now);
    // Records a request as demand.
    void recordRequest(Time now);
    // Takes a token for one request. Returns false if there is none.
    bool tryAcquire(Time now);
    // Records a request and takes a token for it.
    bool admit(Time now);
    // Tokens that this VM should borrow, 0 if it has enough.
    double tokensToBorrow(Time now);
    // Deducts up to the given number of tokens for another VM and returns how many. They are gone
    // even if the loan never arrives, so that no token is used twice.
    double lend(double maxTokens, Time now);
    // The same, but keeps a remainder of less than one token: if holders without tokens exchanged
    // these, they could not tell that an organisation has none left.
    double lendSurplus(double maxTokens, Time now);
    // Deducts up to the given number of whole tokens for a VM that holds none itself, without
    // keeping a reserve. The tokens requested count as demand at this holder.
    double lendToBorrower(double maxTokens, Time now);
    // Adds borrowed tokens, up to this VM's capacity.
    void borrow(double tokens, Time now);
    // Demand at this VM, in requests per second.
    double demand(Time now);
    // Returns the demand to report to the other VMs now, in requests per second. This VM's own
    // share grows only with demand that was reported before; otherwise all VMs would take more at
    // once when demand rises everywhere.
    double reportDemand(Time now);
    // The fraction of the fleet's rate that this VM uses, between 0 and 1.
    double rateFraction() const { return m_rateFraction; }
    bool isUnlimited() const { return m_limit.rate <= 0; }
    // The time until the next token is available.
    Duration timeToNextToken() const;

private:
    void advance(Time now);
    double baseDemand() const { return baseDemandFraction * m_limit.rate / m_holders; }
    // The most tokens that this VM may hold.
    double capacity() const { return m_limit.burst * m_burstFraction + spareTokens(); }
    // Tokens that this VM does not lend: at least one, for the next request.
    double lendingReserve() const { return std::max(1.0, capacity() * lowWatermark); }
    double spareTokens() const
    {
        return std::clamp(overshootFactor * m_limit.windowOvershoot / m_holders, minSpareTokens,
                          maxSpareTokens);
    }

    QuotaLimit m_limit;
    double m_rateFraction = 0;
    double m_burstFraction = 0;
    double m_holders = 1;
    double m_reportedDemand = 0;         // in the last heartbeat
    double m_previousReportedDemand = 0; // in the heartbeat before
    double m_tokens = 0;
    bool m_hasStarted = false; // its share of the startup tokens was granted
    double m_slowCount = 0;    // decaying counts of requests
    double m_fastCount = 0;
    Time m_updated;
};

} // namespace basildeck
