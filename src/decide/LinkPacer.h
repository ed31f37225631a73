#pragma once

#include "basildeck/Time.h"
#include "decide/TokenBucketShare.h"

#include <cstddef>

namespace basildeck {

// Limits the bytes that all VMs together read over a link between two regions to the link's cap in
// any second. The cap is a fleet-wide token bucket, like the rate of an organisation, so VMs lend
// tokens to each other. One token is one byte.
class LinkPacer
{
public:
    // The most bytes that one read returns.
    static constexpr double maxReadBytes = 64 * 1024;
    // The fraction of the cap that may be used at once; the rest accrues over the second.
    static constexpr double burstFraction = 0.2;

    LinkPacer(double bytesPerSecond, std::uint64_t nonceSeed, Time processStart);

    void setCap(double bytesPerSecond, Time now);
    // Reserves one read. Returns false if there are too few tokens for it and the reads that are
    // already reserved.
    bool reserveRead(Time now);
    // Cancels a reservation.
    void cancelRead();
    // Records bytes that were read, with a reservation or before one could be made. Bytes without
    // tokens become a debt, which has to be paid before the next read is reserved.
    void recordRead(std::size_t bytes, bool reserved, Time now);
    // Tokens needed for the debt, the reserved reads and the waiting reads.
    double tokensNeeded(int waitingReads) const;
    TokenBucketShare &share() { return m_share; }

private:
    static TokenBucketLimit limitOf(double bytesPerSecond);

    TokenBucketShare m_share;
    int m_reservedReads = 0;
    double m_debt = 0; // bytes
};

} // namespace basildeck
