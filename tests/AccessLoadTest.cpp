#include "AccessSimulation.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// At most this share of the sends may be rejected by targets (docs/design/uneven-load.md).
constexpr double maxRejectedShare = 0.02;
// Share of the targets' capacity that is in use under overload.
constexpr double minUse = 0.9;

AccessResult play(const AccessLoad &load)
{
    const AccessResult result = playAccessLoad(load);
    MESSAGE("vms=" << load.vms << " permits=" << load.usesPermits
                   << " failure=" << static_cast<int>(load.failure) << " sent=" << result.sent
                   << " rejected=" << result.rejected << " of_last_third="
                   << result.rejectedInLastThird << "/" << result.sentInLastThird
                   << " served=" << result.servedShare(0) << "," << result.servedShare(1)
                   << " use_in_last_third=" << 3 * result.servedInLastThird / result.capacity
                   << " peak=" << result.peak << " unanswered=" << result.unanswered
                   << " datagrams=" << result.datagrams);
    // A request that never ends, or a permit that is never returned.
    CHECK(result.open == 0);
    CHECK(result.permitsLeft == 0);
    // Capacity that is lost for good.
    CHECK(3 * result.servedInLastThird >= minUse * result.capacity);
    return result;
}

} // namespace

TEST_SUITE_BEGIN("access load");

// More VMs than slots each send a request of their own, and the targets' queues overflow.
TEST_CASE("targets reject requests when the demand exceeds their capacity")
{
    for (const int vms : { 7, 31, 72, 300 }) {
        const AccessResult result = play({ .vms = vms });
        CHECK(result.rejectedShare() <= maxRejectedShare);
        CHECK(result.servedShare(0) >= result.servedShare(1));
    }
    // The load is one that the VMs' own limiters do not master.
    const AccessResult without = play({ .vms = 300, .usesPermits = false });
    CHECK(without.rejectedShare() > maxRejectedShare);
}

TEST_CASE("the access to a target ends with its coordinator")
{
    const AccessResult result = play({ .failure = AccessFailure::CoordinatorDies });
    CHECK(result.unanswered > 0);
    CHECK(result.rejectedShareInLastThird() <= maxRejectedShare);
}

TEST_CASE("a lost message blocks a request or a slot")
{
    const AccessResult result = play({ .failure = AccessFailure::MessagesLost });
    CHECK(result.unanswered > 0);
    CHECK(result.rejectedShare() <= maxRejectedShare);
}

TEST_CASE("the permits of a VM that died are lost")
{
    const AccessResult result = play({ .vms = 7, .failure = AccessFailure::HolderDies });
    CHECK(result.rejectedShare() <= maxRejectedShare);
}

TEST_CASE("requests that VMs of an earlier build send without permits are not counted")
{
    const AccessResult result = play({ .failure = AccessFailure::EarlierBuild });
    CHECK(result.rejectedShare() <= maxRejectedShare);
}

TEST_SUITE_END();

} // namespace basildeck::test
