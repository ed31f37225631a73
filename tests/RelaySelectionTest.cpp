#include "decide/RelaySelection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace basildeck {

namespace {

using Vms = std::map<std::string, RegisteredVm>;

constexpr std::uint64_t smallMemoryBytes = 400'000'000;
constexpr std::uint64_t largeMemoryBytes = 512'000'000;

// A fleet of the size of the largest site, in three regions. A quarter of the VMs is larger.
Vms largeFleet()
{
    Vms vms;
    for (int i = 0; i < 118; ++i)
        vms["vm-" + std::to_string(i)] = { "", "", "region-" + std::to_string(i % 3),
                                           i < 27 ? largeMemoryBytes : smallMemoryBytes };
    return vms;
}

std::vector<RelaySelection> selections(const Vms &vms)
{
    std::vector<RelaySelection> all;
    for (const auto &[vm, registered] : vms) {
        all.emplace_back(vm, registered.region);
        all.back().setVms(vms);
    }
    return all;
}

std::size_t watchingCount(const std::vector<RelaySelection> &all)
{
    return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [](const RelaySelection &s) { return s.isWatching(); }));
}

} // namespace

TEST_SUITE_BEGIN("relay selection");

TEST_CASE("in a small fleet every VM watches the store")
{
    RelaySelection selection("vm-0", "region-0");
    CHECK(selection.isWatching());
    selection.setVms({ { "vm-0", { "", "", "region-0" } }, { "vm-1", { "", "", "region-1" } } });
    CHECK(selection.isWatching());
    CHECK(selection.relays().empty());
}

TEST_CASE("in a large fleet two VMs of each region watch the store, and each follower knows four")
{
    const Vms vms = largeFleet();
    const std::vector<RelaySelection> all = selections(vms);
    CHECK(watchingCount(all) == 3 * RelaySelection::relaysPerRegion);
    std::set<std::string> preferred;
    for (const RelaySelection &selection : all) {
        if (selection.isWatching())
            continue;
        REQUIRE(selection.relays().size() == RelaySelection::relaysPerRegion + 2);
        preferred.insert(selection.relays().front());
        for (const std::string &relay : selection.relays())
            CHECK(vms.at(relay).memoryBytes == largeMemoryBytes);
    }
    CHECK(preferred.size() == 3 * RelaySelection::relaysPerRegion);
}

TEST_CASE("a VM that is not registered yet watches the store")
{
    RelaySelection selection("new", "region-0");
    selection.setVms(largeFleet());
    CHECK(selection.isWatching());
}

// The store rejects some VMs, the relays among them, or it is down for all.
TEST_CASE("while no relay can be followed more VMs watch the store, at increasing intervals")
{
    std::vector<RelaySelection> all = selections(largeFleet());
    Time now = Time() + seconds(1);
    const auto fail = [&](Duration length) {
        for (const Time end = now + length; now < end; now += milliseconds(100)) {
            for (RelaySelection &selection : all)
                selection.recordFailure(now);
        }
        return watchingCount(all);
    };
    const std::size_t relays = 3 * RelaySelection::relaysPerRegion;
    CHECK(fail(milliseconds(600)) == relays + 3);
    CHECK(fail(seconds(10)) <= relays + 3 * 6);
    CHECK(fail(seconds(5)) >= relays + 3 * 4);
}

TEST_CASE("promoted VMs stop watching once an original relay is back")
{
    const auto vms = largeFleet();
    std::vector<RelaySelection> all = selections(vms);
    RelaySelection *follower = nullptr;
    for (RelaySelection &selection : all) {
        if (!selection.isWatching() && selection.relays().back().starts_with("vm-"))
            follower = &selection;
    }
    REQUIRE(follower != nullptr);
    const std::vector<std::string> original = follower->relays();
    Time now = Time() + seconds(1);
    for (int i = 0; i < 20; ++i, now += milliseconds(100))
        follower->recordFailure(now);
    const std::vector<std::string> promoted = follower->relays();
    REQUIRE(promoted.size() > original.size());
    follower->recordSuccess(promoted.at(RelaySelection::relaysPerRegion));
    CHECK(follower->relays().size() == promoted.size());
    follower->recordSuccess(original.front());
    CHECK(follower->relays() == original);
}

TEST_SUITE_END();

} // namespace basildeck
