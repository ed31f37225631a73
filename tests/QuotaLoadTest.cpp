#include "QuotaLoadSimulation.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// Bounds of docs/design/uneven-load.md, part 1.
constexpr double maxLateFraction = 0.02;
constexpr double maxRefusedFraction = 0.005;

void checkServed(LoadFleet &fleet, Duration length, Duration before = LoadFleet::swingPeriod)
{
    fleet.simulate(before); // shares follow the swings
    fleet.startCounting();
    fleet.simulate(length);
    for (std::size_t i = 0; i < loadClasses.size(); ++i) {
        CAPTURE(loadClasses[i].rate);
        const LoadResult &result = fleet.results()[i];
        MESSAGE("offered=" << result.offered << " late=" << result.lateFraction() << " refused="
                           << result.refusedFraction() << " window=" << result.largestWindow);
        CHECK(result.lateFraction() <= maxLateFraction);
        CHECK(result.refusedFraction() <= maxRefusedFraction);
        CHECK(result.largestWindow <= 1);
    }
}

} // namespace

TEST_SUITE_BEGIN("quota load");

// A VM that had once borrowed from another region went on to do so: 24 in 100 requests of the
// deployments of docs/design/uneven-load.md waited 60 ms or more. Tokens ran out in regions because
// only requests at a holder itself, not its loans, made it request more.
TEST_CASE("requests of organisations below their limits wait for tokens or are refused")
{
    for (const std::size_t vms : { 31U, 72U }) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            CAPTURE(vms);
            CAPTURE(seed);
            LoadFleet fleet({ vms, seed });
            checkServed(fleet, 2 * LoadFleet::swingPeriod);
        }
    }
}

TEST_CASE("requests of organisations below their limits wait or are refused in a fleet of 300 VMs")
{
    LoadFleet fleet({ 300, 1 });
    checkServed(fleet, LoadFleet::swingPeriod);
}

// The other holder of the region takes over; until the fleet knows, requests time out at the dead
// one.
TEST_CASE("a holder that dies makes requests of its organisation wait or be refused")
{
    for (const std::size_t vms : { 31U, 72U }) {
        CAPTURE(vms);
        LoadFleet fleet({ vms });
        fleet.simulate(LoadFleet::swingPeriod);
        fleet.kill(fleet.holderOf(loadClasses.back().organisation(0)));
        checkServed(fleet, LoadFleet::swingPeriod, Duration::zero());
    }
}

TEST_CASE("VMs of an earlier build make requests wait or be refused")
{
    LoadFleet fleet({ 31, 1, 1, 0, true });
    checkServed(fleet, LoadFleet::swingPeriod);
}

// Tokens ran out in one region after the other, and each request asked three holders, up to 320 ms.
TEST_CASE("requests of organisations far above their limits are refused late")
{
    LoadFleet fleet({ 31, 1, 3 });
    fleet.simulate(LoadFleet::swingPeriod);
    fleet.startCounting();
    fleet.simulate(LoadFleet::swingPeriod);
    for (std::size_t i = 0; i < loadClasses.size(); ++i) {
        CAPTURE(loadClasses[i].rate);
        const LoadResult &result = fleet.results()[i];
        MESSAGE("refused=" << result.refusedFraction()
                           << " refused late=" << result.lateRefused / result.offered);
        CHECK(result.refused > 0);
        CHECK(result.lateRefused <= maxLateFraction * result.offered);
        CHECK(result.largestWindow <= 1);
    }
}

// Also guards against tokens that lost and late loans or shares that disagree would add.
TEST_CASE("a window of a large fleet is exceeded by faults while demand is above the limits")
{
    for (const std::size_t vms : { 31U, 72U }) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            CAPTURE(vms);
            CAPTURE(seed);
            LoadFleet fleet({ vms, seed, 1, 0.05, false, true });
            for (int rise = 0; rise < 2; ++rise) {
                fleet.setDemandFactor(1);
                fleet.simulate(seconds(10));
                fleet.setDemandFactor(4);
                fleet.simulate(seconds(20));
            }
            for (const LoadResult &result : fleet.results())
                CHECK(result.largestWindow <= 1);
        }
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
