#pragma once

#include "soak/SoakCallers.h"
#include "soak/SoakLongCallers.h"
#include "soak/SoakPartitions.h"
#include "soak/SoakProbes.h"
#include "soak/SoakStoreFaults.h"
#include "soak/SoakTargets.h"

#include <string>
#include <vector>

namespace basildeck::soak {

// What callers, targets and the soak itself recorded.
struct SoakRecords
{
    const SoakCallers &callers;
    const SoakLongCallers &longCallers;
    const SoakProbes &probes;
    const SoakTargets &targets;
    const SoakVms &vms;
    const SoakPartitions &partitions;
    const SoakStoreFaults &storeFaults;
    Time steadyPhaseStart; // after the recovery from all faults
    Time steadyPhaseEnd;
};

// Returns descriptions of the violated invariants.
std::vector<std::string> checkInvariants(const SoakRecords &records);

} // namespace basildeck::soak
