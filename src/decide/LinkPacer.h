#pragma once

#include "basildeck/Time.h"
#include "decide/TokenBucketShare.h"

#include <cstddef>

namespace basildeck {

// Keeps the bytes that all VMs together read over a link between two regions below its cap in any
// second. The cap is a budget like an organisation's rate, so VMs lend its tokens to each other.
class LinkPacer
{
public:
    // Bytes that one read may bring.
    static constexpr double chunkBytes = 64 * 1024;
    // Part of the cap that may come at once; the rest accrues over the second.
    static constexpr double burstShare = 0.2;

    LinkPacer(double bytesPerSecond, std::uint64_t nonceSeed, Time processStart);

    void setCap(double bytesPerSecond, Time now);
    // Permits one read of a chunk, if there are tokens for it besides those already permitted.
    bool reserveRead(Time now);
    // A permission is not used.
    void cancelRead();
    // Bytes were read, with a permission or before one could be asked for. What tokens do not cover
    // is a debt that later reads wait for.
    void recordRead(std::size_t bytes, bool permitted, Time now);
    // Bytes for which tokens are to be borrowed, given how many reads wait.
    double missing(int waitingReads) const;
    TokenBucketShare &share() { return m_share; }

private:
    static TokenBucketLimit limitOf(double bytesPerSecond);

    TokenBucketShare m_share;
    int m_permitted = 0;
    double m_debt = 0; // bytes
};

} // namespace basildeck
