#pragma once

#include "basildeck/Time.h"

#include <map>
#include <string>

namespace basildeck {

// Ages of the last contacts with the store that a VM knows of, its own or those of other VMs. Ages
// only grow when they are passed on.
struct StoreContactAges
{
    // Since the last successful contact of any VM.
    Duration sinceSuccess = Duration::max();
    // Since the last failed contact of a VM in the store's region.
    Duration sinceRegionalFailure = Duration::max();
};

// Distinguishes an outage of the store from a network partition between this VM and the store.
//
// Revoking a key is a write to the store. A VM that reached the store within maxAge, directly or
// through other VMs, knows every revocation that is older. If a VM in the store's region failed to
// reach the store within maxAge, the store was down and no key could be revoked. With neither, this
// VM may be unaware of a revocation that has taken effect, and refuses requests that need a key.
class StorePartitionDetector
{
public:
    // Maximum age of the last contact while requests with keys are served.
    static constexpr Duration maxAge = milliseconds(2500);

    StorePartitionDetector(bool inStoreRegion, Time now);

    void recordSuccess(Time now);
    // Counts only if this VM is in the store's region.
    void recordFailure(Time now);
    // Merges the ages that another VM sent, as of the time of sending.
    void mergePeerAges(const StoreContactAges &ages, Time now);

    StoreContactAges ages(Time now) const;
    bool isPartitioned(Time now) const;
    // Time until which requests with keys may be served if no other contact is recorded.
    Time serveUntil() const;

private:
    bool m_inStoreRegion;
    Time m_lastSuccess;
    Time m_lastRegionalFailure;
};

} // namespace basildeck
