#pragma once

#include "CompletionPlacement.h"
#include "OverloadSimulation.h"
#include "decide/OutlierDetector.h"
#include "decide/placement/RunTimeEstimator.h"

#include <list>
#include <memory>
#include <set>

namespace basildeck::test {

struct SimulatedRequest
{
    std::uint64_t id = 0;
    const LoadKind *kind = nullptr;
    std::uint64_t object = 0;
    std::size_t vm = 0;
    Time arrivedAt;
    Time sentAt;
    bool hasObject = true;
    bool isCounted = true;
    std::string home;
};

struct SimulatedTarget
{
    std::string id;
    std::string region;
    int running = 0;
    std::deque<SimulatedRequest> waiting;
    std::list<std::uint64_t> warm; // most recent first
    double slowdown = 1;
    double uneven = 1;
};

struct SimulatedVm
{
    std::string region;
    Placement placement;
    std::map<std::string, std::unique_ptr<ConcurrencyLimiter>> limiters;
    RunTimeEstimator estimator;
    std::map<std::string, OutlierDetector> detectors;
    std::map<std::uint64_t, SimulatedRequest> waiting;
    CompletionPlacement completion;
    std::set<std::uint64_t> running; // requests whose run is watched
};

// Requests by the caller's region, window and region of the target.
using SentByWindow = std::map<std::string, std::map<std::int64_t, std::map<std::string, int>>>;

// The largest share of a region's requests that ran in other regions than in the window before.
double maxRegionShift(const SentByWindow &sent);

} // namespace basildeck::test
