#pragma once

#include "decide/access/AccessClient.h"
#include "decide/access/AccessCoordinator.h"
#include "decide/access/CoordinatorSelection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace basildeck::test {

// The one failure of a simulated load.
enum class AccessFailure { None, CoordinatorDies, MessagesLost, HolderDies, EarlierBuild };

struct AccessLoad
{
    int vms = 72;
    int targets = 6;
    double demand = 1.3; // of the targets' capacity
    bool usesPermits = true;
    AccessFailure failure = AccessFailure::None;
    std::uint64_t seed = 1;
};

// Counts of one third of the simulated time, or of all of it.
struct AccessResult
{
    int arrived[2] = {};       // requests by priority, without retries
    int served[2] = {};        // by priority
    int sent = 0;              // to targets
    int rejected = 0;          // of them
    int servedInLastThird = 0; // by the time at which they ended
    int sentInLastThird = 0;
    int rejectedInLastThird = 0;
    int peak = 0;                // of the requests at one target, running or waiting
    int open = 0;                // requests that have not ended when the simulation does
    std::size_t permitsLeft = 0; // when all requests have ended
    std::uint64_t unanswered = 0;
    std::uint64_t datagrams = 0;
    double capacity = 0; // requests that the targets can serve in the simulated time

    double rejectedShare() const { return static_cast<double>(rejected) / sent; }
    double rejectedShareInLastThird() const
    {
        return static_cast<double>(rejectedInLastThird) / sentInLastThird;
    }
    double servedShare(int priority) const
    {
        return static_cast<double>(served[priority]) / arrived[priority];
    }
};

// Plays a load on targets with 9 slots and 27 queue places in virtual time.
AccessResult playAccessLoad(const AccessLoad &load);

} // namespace basildeck::test
