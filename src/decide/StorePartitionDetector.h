#pragma once

#include "basildeck/Time.h"

#include <map>
#include <string>

namespace basildeck {

// What is known about the store: how long ago it was reached, and how long ago a VM of the store's
// own region found that it does not answer. Ages only grow when evidence is passed on.
struct StoreContactAges
{
    Duration sinceSuccess = Duration::max(); // age of the last successful contact of anyone
    Duration sinceRegionalFailure
            = Duration::max(); // age of the last failed contact from the store's region
};

// Tells a store that is down for everyone from a VM that is cut off.
//
// A withdrawn key is a write to the store. If a VM reached the store, directly or through others,
// within the maxAge, it knows of every withdrawal older than that. If a VM of the store's region
// found the store down within the maxAge, nothing could be withdrawn there. With neither, this VM
// may be cut off from a withdrawal that has taken effect, and refuses requests that need a key.
class StorePartitionDetector
{
public:
    // How old evidence may be for requests with keys to be served.
    static constexpr Duration maxAge = milliseconds(2500);

    StorePartitionDetector(bool inStoreRegion, Time now);

    void recordSuccess(Time now);
    // A contact of this VM failed. It counts only if this VM is in the store's region.
    void recordFailure(Time now);
    // Evidence that another VM passed on; the ages are those at the moment of sending.
    void mergePeerAges(const StoreContactAges &ages, Time now);

    StoreContactAges ages(Time now) const;
    bool isPartitioned(Time now) const;
    // Until when requests with keys may be served, without further evidence.
    Time serveUntil() const;

private:
    bool m_inStoreRegion;
    Time m_reached;
    Time m_foundDown;
};

} // namespace basildeck
