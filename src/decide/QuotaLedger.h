#pragma once

#include "decide/PeerTable.h"
#include "decide/QuotaShare.h"

#include <map>
#include <string>
#include <vector>

namespace basildeck {

// One VM's parts of the quotas of all organisations, and what it tells the other VMs of them.
class QuotaLedger
{
public:
    // Demand in requests per second below which a beat says nothing of an organisation.
    static constexpr double leastDemand = 0.05;

    // Replaces the limits, by organisation. Organisations that stay keep their tokens.
    void setLimits(const std::map<std::string, QuotaLimit> &limits, Time now);
    // Sets the parts anew by what the VMs that are heard from want.
    void setPeers(std::size_t registeredVms, const std::vector<const PeerBeat *> &reachable,
                  Time now);
    // Takes a token of an organisation's quota; true if it has no limit here. False if there is
    // none.
    bool admit(const std::string &organisation, Time now);
    // The share of an organisation, null if it has no limit here.
    QuotaShare *find(const std::string &organisation);
    // Whether tokens of an organisation ran low that the others have not been asked for yet.
    bool asksNow() const { return m_asksNow; }
    // Tokens that were lent and borrowed since the start.
    double lent() const { return m_lent; }
    double borrowed() const { return m_borrowed; }

    // Sets what a regular beat tells of demands.
    void fillDemands(PeerBeat &beat, Time now);
    // Sets what any beat tells of wants.
    void fillWants(PeerBeat &beat, Time now);
    // Takes the loans of another VM's beat, and returns the tokens that are lent to it, by
    // organisation. To be called once for each beat, or a loan would count twice.
    std::map<std::string, double> take(const PeerBeat &beat, Time now);

private:
    struct Entry
    {
        explicit Entry(Time now)
            : share(now)
        {}
        QuotaShare share;
        std::size_t lenders = 1; // VMs that are heard from and want no tokens
        bool hasAsked = false;   // in the last beat
    };

    std::map<std::string, Entry> m_entries;
    bool m_asksNow = false;
    double m_lent = 0;
    double m_borrowed = 0;
};

} // namespace basildeck
