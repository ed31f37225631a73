#pragma once

#include "decide/ConcurrencyLimiter.h"
#include "decide/Placement.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace basildeck::test {

// One kind of requests of a load pattern.
struct LoadKind
{
    std::string name;
    double perSecond = 0;
    Duration work{ 0 };      // at a target that did not handle the object lately
    Duration objective{ 0 }; // for full worth
    Duration timeout{ 0 };
    int priority = 0;
    int objects = 1;
    double worth = 1;
};

// A load pattern and the targets that it meets.
struct LoadPattern
{
    std::vector<LoadKind> kinds;
    std::map<std::string, int> targetsByRegion;
    std::map<std::string, int> vmsByRegion;
    int slots = 4;
    int queueAtTarget = 12;
    int warmObjects = 64;    // that a target keeps warm, least recently used first out
    double warmFactor = 0.3; // of the work that is left for a warm object
    Duration regionDistance = milliseconds(55);
    Duration length = seconds(30);
    // Targets that take several times as long, from a third of the time to two thirds.
    double slowShare = 0;
    double slowFactor = 1;
    std::uint64_t seed = 1;
};

struct LoadResult
{
    double worthOwed = 0;
    double worthInObjective = 0;
    std::map<std::string, int> asked;
    std::map<std::string, int> inObjective;
    std::map<std::string, int> late;
    std::map<std::string, int> refused;

    double share() const { return worthInObjective / worthOwed; }
};

// How a request is placed: by the decisions of the product, or by a naive twin that picks the
// target with the fewest requests of its VM in flight and never refuses.
enum class PlacementPolicy { Product, LeastLoaded };

// Plays a load pattern in virtual time. Targets serve requests in slots, in order of arrival,
// faster for objects that they handled lately, and report their load with each answer.
LoadResult simulateLoad(const LoadPattern &pattern, PlacementPolicy policy);

} // namespace basildeck::test
