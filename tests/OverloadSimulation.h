#pragma once

#include "decide/ConcurrencyLimiter.h"
#include "decide/placement/Placement.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace basildeck::test {

// One kind of request of a load pattern.
struct LoadKind
{
    std::string name;
    double perSecond = 0;
    Duration work{ 0 };      // at a target without the object in its warm set
    Duration objective{ 0 }; // response time that earns the value
    Duration timeout{ 0 };
    int priority = 0;
    int objects = 1; // 0 if requests of the kind have no object
    double value = 1;
};

// The requests of a simulation and the fleet that serves them.
struct LoadPattern
{
    std::vector<LoadKind> kinds;
    std::map<std::string, int> targetsByRegion;
    std::map<std::string, int> vmsByRegion;
    int slots = 4;
    int targetQueueLimit = 12;
    int warmObjectLimit = 64; // per target, evicted by least recent use
    double warmFactor = 0.3;  // of the work for an object that is warm
    Duration interRegionDelay = milliseconds(55);
    Duration simulatedTime = seconds(30);
    // Share of the targets that are slower in the second third of the simulation.
    double slowTargetShare = 0;
    double slowdownFactor = 1;
    std::uint64_t seed = 1;
    Duration shiftWindow = seconds(2);
    // Whether VMs tell each other about slow targets, and how long that takes.
    bool sharesReports = true;
    Duration reportDelay = milliseconds(300);
    // Share of the targets, others in each period, whose machines are slower. They report that.
    double unevenShare = 0;
    double unevenFactor = 1;
    Duration unevenPeriod = milliseconds(600);
    // Whether requests leave the queue of a VM when they can no longer be served in time.
    bool hasQueueTimers = false;
    // Requests that arrive earlier are not part of the result.
    Duration warmUp{ 0 };
};

struct LoadResult
{
    double totalValue = 0;
    double valueInObjective = 0;
    std::map<std::string, int> asked;
    std::map<std::string, int> inObjective;
    std::map<std::string, int> late;
    std::map<std::string, int> refused;
    // The largest share of a region's requests by which the regions where they run differ between
    // two successive windows.
    double maxRegionShift = 0;

    int runs = 0;
    int coldRuns = 0;
    int rejected = 0;                       // by targets whose queue was full
    std::map<std::string, double> slotTime; // in seconds, by target

    double share() const { return valueInObjective / totalValue; }
    double coldShare() const { return static_cast<double>(coldRuns) / runs; }
    double rejectedShare() const { return static_cast<double>(rejected) / (runs + rejected); }
    // The slot time of the busiest target over the mean of all.
    double busiestOverMean() const;
};

// How a request is placed: by the code under test, or by a baseline that picks the target with the
// fewest requests in flight from its VM and never refuses. ByCompletion is the code under test for
// services whose targets report their speed.
enum class PlacementPolicy { UnderTest, LeastLoaded, ByCompletion };

// Simulates a load pattern in virtual time. Targets serve requests in slots, in order of arrival,
// are faster for objects that they handled recently, and report their load with each response.
LoadResult simulateLoad(const LoadPattern &pattern, PlacementPolicy policy);

} // namespace basildeck::test
