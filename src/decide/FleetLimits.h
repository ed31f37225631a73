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

// What one VM may use of the limits that count over the whole fleet: the rates of organisations and
// the caps of links between regions. All of them follow one table of holders.
class FleetLimits
{
public:
    FleetLimits(std::string vm, std::uint64_t processNumber, Time processStart);

    void setConfig(const FleetConfig &config, Time now);
    void setTable(const HolderTable &table, Time now);
    // Another VM keeps to a version of the table.
    void acknowledge(const std::string &vm, std::uint64_t version, Time now);
    // This VM keeps to the current version.
    void acknowledgeOwn(Time now);
    // Everything that this VM holds and has lent fits its fraction.
    bool isWithinFraction(Time now);
    const HolderView &holders() const { return m_holders; }
    // The other VMs that own a part.
    std::vector<std::string> otherHolders() const;

    // Null if the organisation has no limit.
    RateLimiter *rateLimiter(const std::string &organisation) const;
    // Null within a region and for links without a cap.
    LinkPacer *pacer(const std::string &from, const std::string &to) const;
    // The budget that messages of other VMs name; null if it is not known here.
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
    // Requests for tokens to send now, given the reads that wait for each link.
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
