#pragma once

#include "config/FleetConfig.h"
#include "decide/HolderTable.h"
#include "decide/LinkPacer.h"
#include "decide/RateLimiter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

// One VM's shares of the fleet-wide limits: the rates of organisations and the caps of links
// between regions. One table of holders applies to all of them.
class FleetLimits
{
public:
    FleetLimits(std::string vm, std::uint64_t processNumber, Time processStart);

    void setConfig(const FleetConfig &config, Time now);
    void setTable(const HolderTable &table, Time now);
    // Records that another VM uses no more than its fraction under a version of the table.
    void acknowledge(const std::string &vm, const StoreVersion &version, Time now);
    // Records that this VM uses no more than its fraction under the current version.
    void acknowledgeOwn(Time now);
    // Whether all tokens that this VM holds and has lent are within its fraction.
    bool isWithinFraction(Time now);
    const HolderView &holders() const { return m_holders; }
    // The other VMs that own a fraction.
    std::vector<std::string> otherHolders() const;

    // Returns null if the organisation has no limit.
    RateLimiter *rateLimiter(const std::string &organisation) const;
    // Returns null within a region and for links without a cap.
    LinkPacer *pacer(const std::string &from, const std::string &to) const;
    // Returns the share of a budget, by its name in messages of other VMs, or null if it is
    // unknown.
    TokenBucketShare *share(const std::string &budget) const;
    const std::map<std::string, std::unique_ptr<RateLimiter>> &rateLimiters() const
    {
        return m_rateLimiters;
    }

    struct OutgoingRequest
    {
        std::string holder;
        std::string budget;
        TokenLeaseRequest request;
    };
    // Returns the requests for tokens to send now, given the number of reads that wait for each
    // link.
    std::vector<OutgoingRequest> dueRequests(const std::map<const LinkPacer *, int> &waitingReads,
                                             Time now);

private:
    template <typename Visit>
    void forEachShare(Visit visit);
    void applyFractions(Time now);
    std::uint64_t nonceSeed(const std::string &budget) const;

    std::string m_vm;
    std::uint64_t m_processNumber;
    Time m_processStart;
    HolderView m_holders;
    std::map<std::string, std::unique_ptr<RateLimiter>> m_rateLimiters; // by organisation
    std::map<std::string, std::unique_ptr<LinkPacer>> m_pacers;         // by budget name
};

} // namespace basildeck
