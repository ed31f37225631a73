#include "Simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>

namespace basildeck::test {

namespace {

std::unique_ptr<Simulation> makeSimulation(const Script &script)
{
    const std::string &kind = script.world.word(0);
    if (kind == "budget")
        return makeRateLimitSimulation(script.world);
    if (kind == "membership")
        return makeMembershipSimulation(script.world);
    if (kind == "claims")
        return makeClaimSimulation(script.world);
    FAIL("unknown simulation in " << script.world.text);
    return nullptr;
}

} // namespace

void run(const Script &script)
{
    const auto simulation = makeSimulation(script);
    auto event = script.events.begin();
    for (Time now{};; now += milliseconds(1)) {
        for (; event != script.events.end() && event->at <= now; ++event) {
            if (event->word(0) == "end") {
                for (const Line &expectation : script.expectations) {
                    INFO(expectation.text);
                    simulation->check(expectation);
                }
                return;
            }
            INFO(event->text);
            simulation->command(*event, now);
        }
        REQUIRE_MESSAGE(event != script.events.end(), script.name << " has no end");
        simulation->step(now);
    }
}

TEST_CASE("scenarios")
{
    std::vector<std::string> files;
    for (const auto &entry : std::filesystem::directory_iterator(BASILDECK_SCENARIOS))
        if (entry.path().extension() == ".txt")
            files.push_back(entry.path().string());
    std::sort(files.begin(), files.end());
    REQUIRE(!files.empty());
    for (const std::string &file : files) {
        const Script script = Script::load(file);
        MESSAGE(script.name << ", seed " << script.world.option("seed", 1));
        run(script);
    }
}

TEST_CASE("claims of two owners of a bucket survive a restore in which one of them dies")
{
    run(Script::load(std::string(BASILDECK_SCENARIOS)
                     + "/open/claims-two-owners-one-dies-in-a-restore.txt"));
}

} // namespace basildeck::test
