#pragma once

#include "Script.h"

#include <memory>

namespace basildeck::test {

// The simulation that a scenario controls: the decision logic of several VMs with fake
// dependencies, in virtual time.
class Simulation
{
public:
    virtual ~Simulation() = default;
    virtual void command(const Line &line, Time now) = 0;
    // Advances the simulation to a time, one millisecond after the previous step.
    virtual void step(Time now) = 0;
    virtual void check(const Line &expectation) = 0;
};

std::unique_ptr<Simulation> makeRateLimitSimulation(const Line &options);
std::unique_ptr<Simulation> makeMembershipSimulation(const Line &options);
std::unique_ptr<Simulation> makeClaimSimulation(const Line &options);

// Runs a script until its "end" event and checks its expectations.
void run(const Script &script);

} // namespace basildeck::test
