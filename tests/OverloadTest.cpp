#include "OverloadSimulation.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// Traffic of a live service at its stated rates. If each request were the first one for its object,
// the work would exceed the capacity of the slots by a third.
LoadPattern statedTraffic()
{
    LoadPattern pattern;
    pattern.kinds = {
        { "level-check", 332, milliseconds(240), milliseconds(300), milliseconds(1200), 2, 246, 1 },
        { "custody-transfer", 159, milliseconds(312), milliseconds(300), milliseconds(1500), 1, 117,
          2 },
    };
    pattern.targetsByRegion = { { "khomas", 2 }, { "erongo", 10 }, { "karas", 12 } };
    pattern.vmsByRegion = { { "khomas", 3 }, { "erongo", 2 }, { "karas", 2 } };
    return pattern;
}

// Share of the value that has to be earned within the objective on days with incidents.
constexpr double minShareInObjective = 0.40;

} // namespace

TEST_SUITE_BEGIN("overload");

TEST_CASE("at the stated rates placement earns more value than least-loaded selection")
{
    const LoadPattern pattern = statedTraffic();
    const LoadResult placement = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const LoadResult baseline = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", placement.share(), ", least loaded ", baseline.share());
    CHECK(placement.share() > baseline.share());
    CHECK(placement.share() >= minShareInObjective);
}

TEST_CASE("at twice the stated rates placement still earns value within the objective")
{
    LoadPattern pattern = statedTraffic();
    for (LoadKind &kind : pattern.kinds)
        kind.perSecond *= 2;
    const LoadResult placement = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const LoadResult baseline = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", placement.share(), ", least loaded ", baseline.share());
    CHECK(placement.share() > baseline.share());
    CHECK(placement.share() >= minShareInObjective);
}

TEST_CASE("a fifth of the targets slowed down sixfold does not slow down the others")
{
    LoadPattern pattern = statedTraffic();
    pattern.slowTargetShare = 0.2;
    pattern.slowdownFactor = 6;
    const LoadResult placement = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const LoadResult baseline = simulateLoad(pattern, PlacementPolicy::LeastLoaded);
    MESSAGE("in objective: product ", placement.share(), ", least loaded ", baseline.share());
    CHECK(placement.share() > baseline.share());
    CHECK(placement.share() >= minShareInObjective);
}

TEST_CASE("the more urgent kind of a service is served at least as often as the less urgent one")
{
    LoadPattern pattern = statedTraffic();
    for (LoadKind &kind : pattern.kinds)
        kind.perSecond *= 2;
    const LoadResult result = simulateLoad(pattern, PlacementPolicy::UnderTest);
    const auto served = [&](const std::string &kind) {
        return 1 - static_cast<double>(result.refused.at(kind)) / result.asked.at(kind);
    };
    // The platform tolerates a difference of up to five percentage points.
    CHECK(served("custody-transfer") >= served("level-check") - 0.05);
}

TEST_SUITE_END();

} // namespace basildeck::test
