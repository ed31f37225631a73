#pragma once

#include "basildeck/Time.h"

#include <algorithm>
#include <vector>

namespace basildeck {

// The limit of one organisation over the whole fleet.
struct QuotaLimit
{
    double rate = 0;  // requests per second, 0: no limit
    double burst = 0; // requests
    // Requests that VMs that start may use at once, all together, before tokens have come in.
    double atStart = 0;
    // Requests by which a window may exceed rate and burst.
    double windowExcess = 0;
    bool operator==(const QuotaLimit &other) const = default;

    // Part of what a window may exceed a limit by that is used in calm, to even out how requests
    // fall on the VMs. The rest covers VMs that disagree on who is reachable.
    static constexpr double evenedOut = 0.7;
    // Of the requests that a window may hold beyond that: what is used to even out, and what starts
    // of VMs may use. The rest covers the same as above.
    static constexpr double evenedOutRequests = 0.2;
    static constexpr double requestsAtStart = 0.5;

    // The limit that the VMs divide among themselves, where a window may exceed the limit by a part
    // of it and a number of requests.
    QuotaLimit withOvershoot(double part, double requests, Duration window) const
    {
        return { rate * (1 + part * evenedOut),
                 burst * (1 + part * evenedOut) + requests * evenedOutRequests,
                 requests * requestsAtStart, part * (rate * toSeconds(window) + burst) + requests };
    }
};

// What the VMs that this one hears from want of one organisation's quota.
struct QuotaDemand
{
    std::size_t registeredVms = 1; // VMs that may be serving, this one included
    std::vector<double> ofPeers;   // requests per second wanted, of each VM heard from lately
};

// One VM's part of an organisation's quota.
//
// Each VM takes the part of the rate that its demand has of all demand. Of the burst, half is
// divided in that way and half equally, since a VM with few requests sees the larger swings for its
// rate. A VM that is not heard from may be cut off and serving, so an equal part stays reserved for
// it; a VM that hears from nobody therefore uses just one such part, and the parts of all sides of
// a partition add up to one.
class QuotaShare
{
public:
    // Time constants of the two demand averages. The higher one counts: the slow one keeps parts
    // steady in calm, the fast one follows callers that move.
    static constexpr Duration slowMemory = milliseconds(2500);
    static constexpr Duration fastMemory = milliseconds(500);
    // Each VM is taken to have this part of an equal part of the rate as demand, besides the demand
    // it reports, so that a first request finds a token.
    static constexpr double basePart = 0.5;
    // The demand that a VM reports, with that base, grows at most by this factor from beat to beat.
    // A VM's own part grows two beats after its demand and the parts of the others shrink at once,
    // so while demand rises everywhere, as after a start of the whole fleet, the parts of all add
    // up to less than one, by this factor a beat.
    static constexpr double mostGrowth = 2;
    // Tokens that a VM may hold besides its part of the burst, so that in a large fleet two
    // requests in a row find one: twice an equal part of the excess of a window, within these
    // limits. In calm few VMs hold all of it, and when demand rises everywhere the parts of the
    // rate shrink for a second; replays of that at 7 to 38 VMs stay in the window.
    static constexpr double excessUsed = 2;
    static constexpr double leastSpareTokens = 1;
    static constexpr double mostSpareTokens = 2;
    // A VM with less than this part of the tokens that it may hold asks the others for tokens, and
    // one lends only what it has beyond this part.
    static constexpr double keptPart = 0.5;
    // It asks for as many as bring it to this part. Not to all that it may hold: an ask that is
    // repeated before the first answers arrive would bring in more than that, and the rest is lost.
    static constexpr double askedPart = 0.75;

    explicit QuotaShare(Time now);

    void setLimit(const QuotaLimit &limit, Time now);
    void setDemand(const QuotaDemand &demand, Time now);
    // Counts a request as demand.
    void count(Time now);
    // Takes a token for one request. False if there is none.
    bool take(Time now);
    // Both.
    bool admit(Time now);
    // Tokens that this VM would borrow, 0 if it has enough.
    double wanted(Time now);
    // Takes at most so many tokens away, for another VM; returns how many. They are gone here even
    // if the other never hears of them, so that no token is spent twice.
    double lend(double most, Time now);
    // Adds tokens of another VM, as far as this one may hold them.
    void borrow(double tokens, Time now);
    // Demand at this VM, requests per second.
    double demand(Time now);
    // The demand to tell the other VMs now, requests per second. This VM's own part grows only with
    // what the others have been told before, or all would take more at once when demand rises
    // everywhere.
    double tell(Time now);
    // Part of the fleet's rate that this VM uses, between 0 and 1.
    double rateFraction() const { return m_part; }
    // When the next token is there.
    Duration timeToNextToken() const;

private:
    void advance(Time now);
    double baseDemand() const { return basePart * m_limit.rate / m_registeredVms; }
    // Tokens that this VM may hold.
    double capacity() const { return m_limit.burst * m_burstPart + spareTokens(); }
    // Tokens below which this VM lends none: one at least, for the next request.
    double keptTokens() const { return std::max(1.0, capacity() * keptPart); }
    double spareTokens() const
    {
        return std::clamp(excessUsed * m_limit.windowExcess / m_registeredVms, leastSpareTokens,
                          mostSpareTokens);
    }

    QuotaLimit m_limit;
    double m_part = 0;      // of the rate
    double m_burstPart = 0; // of the burst
    double m_registeredVms = 1;
    double m_told = 0;       // in the last beat
    double m_toldBefore = 0; // in the beat before
    double m_tokens = 0;
    bool m_hasStarted = false; // its part of the tokens for starts has been taken
    double m_slowCount = 0;    // decaying counts of requests
    double m_fastCount = 0;
    Time m_updated;
};

} // namespace basildeck
