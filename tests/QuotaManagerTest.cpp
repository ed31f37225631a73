#include "QuotaSimulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace basildeck::test {

TEST_SUITE_BEGIN("quota manager");

TEST_CASE("no window exceeds the platform's limit while VMs are partitioned, paused or restarted")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        CHECK(fleet.simulate(seconds(60), 1500, true) <= maxInWindow);
    }
}

// When an organisation's demand rose at all VMs at once, each VM enlarged its share before the
// others had received its demand. Seen on nam-gauge, mix --seed 318350903120.
TEST_CASE("a sudden rise of demand at all VMs does not exceed a window")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        for (int rise = 0; rise < 5; ++rise) {
            CHECK(fleet.simulate(seconds(10), 0.8 * limit.rate, false, false) <= maxInWindow);
            CHECK(fleet.simulate(seconds(10), 6 * limit.rate, false, false) <= maxInWindow);
        }
    }
}

// The fleet sizes of nam-gauge, the grown and the large sites, with limits as small as theirs.
constexpr std::array<FleetSize, 5> fleetSizes{ FleetSize{}, FleetSize{ 27, { 33, 17 } },
                                               FleetSize{ 27, { 60, 30 } },
                                               FleetSize{ 38, { 20, 10 } },
                                               FleetSize{ 118, { 18, 9 } } };

TEST_CASE("no rise of demand and no start of the fleet exceeds a window in fleets of all sizes")
{
    for (const FleetSize &size : fleetSizes) {
        CAPTURE(size.vms);
        const double maximum = maxInWindowOf(size.limit);
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(seed);
            Fleet fleet(seed, false, size);
            fleet.setMaxDelay(steadyMaxDelay);
            for (int rise = 0; rise < 3; ++rise) {
                CHECK(fleet.simulate(seconds(6), 0.8 * size.limit.rate, false, false) <= maximum);
                CHECK(fleet.simulate(seconds(6), 7 * size.limit.rate, false, false) <= maximum);
            }
            for (int start = 0; start < 3; ++start) {
                fleet.restartAll();
                CHECK(fleet.simulate(seconds(6), 6 * size.limit.rate, false, false) <= maximum);
            }
        }
    }
}

// Under steady load, no request within an organisation's rate may be refused.
TEST_CASE("an organisation within its rate is admitted under steady load")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.setMaxDelay(steadyMaxDelay);
        fleet.simulate(seconds(10), 0.8 * limit.rate, false, false); // shares converge
        fleet.startCounting();
        fleet.simulate(seconds(60), 0.8 * limit.rate, false, false);
        CHECK(fleet.admittedFraction() == 1.0);
    }
}

// In the first seconds after the whole fleet had lost power, nearly all requests were refused as
// over-rate. Seen on nam-gauge-grown, hunt-56e8-11 and inc-c00f (docs/incidents/inc-c00f.md).
void checkStart(const FleetSize &size)
{
    double admitted = 0;
    double singleBucket = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(seed, false, size);
        Fleet bucket(seed, false, { 1, size.limit });
        for (Fleet *each : { &fleet, &bucket }) {
            each->setMaxDelay(steadyMaxDelay);
            each->simulate(seconds(10), 0.8 * size.limit.rate, false, false);
            each->restartAll();
            each->startCounting();
            CHECK(each->simulate(seconds(2), 0.8 * size.limit.rate, false, false)
                  <= maxInWindowOf(size.limit));
        }
        admitted += fleet.admittedFraction();
        singleBucket += bucket.admittedFraction();
    }
    // The remaining 10% allow for shares that follow demand with a delay.
    CHECK(admitted >= 0.9 * singleBucket);
}

TEST_CASE("a fleet that starts under load admits nearly what one bucket would")
{
    checkStart({});
}

TEST_CASE("a large fleet that starts under load admits nearly what one bucket would")
{
    checkStart({ 27, { 33, 17 } });
}

TEST_CASE("the shares of all VMs never add up to less than a quarter, however demand rises")
{
    for (const double demand : { 0.8, 6.0, 30.0 }) {
        CAPTURE(demand);
        Fleet fleet(1);
        fleet.setMaxDelay(steadyMaxDelay);
        fleet.simulate(seconds(10), 0.8 * limit.rate, false, false);
        fleet.restartAll();
        // The demands that two VMs use are at most two beats apart.
        const double least = 1 / (QuotaShare::maxDemandGrowth * QuotaShare::maxDemandGrowth);
        for (int i = 0; i < 100; ++i) {
            fleet.simulate(milliseconds(50), demand * limit.rate, false, false);
            CHECK(fleet.sumOfRateFractions() >= least);
        }
    }
}

// In large fleets 7% to 12% of attempts were refused as over-rate, also under steady load. Seen on
// nam-gauge-grown, hunt-56e8-11.
TEST_CASE("an organisation within its rate is admitted under steady load in large fleets")
{
    for (const FleetSize &size : fleetSizes) {
        CAPTURE(size.vms);
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(seed);
            Fleet fleet(seed, false, size);
            fleet.setMaxDelay(steadyMaxDelay);
            fleet.simulate(seconds(10), 0.8 * size.limit.rate, false, false);
            fleet.startCounting();
            fleet.simulate(seconds(30), 0.8 * size.limit.rate, false, false);
            CHECK(fleet.admittedFraction() == 1.0);
        }
    }
}

TEST_CASE("callers that move between VMs are refused less often than with equal shares")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        Fleet baseline(seed, true);
        fleet.simulate(seconds(60), 0.8 * limit.rate, false);
        baseline.simulate(seconds(60), 0.8 * limit.rate, false);
        CHECK(fleet.admittedFraction() > baseline.admittedFraction());
    }
}

TEST_CASE("a loan is deducted from the lender at once and added to the borrower only once")
{
    const Time now = Time() + seconds(1);
    std::array<Heartbeat, 3> heartbeats;
    const std::array<std::string, 3> names{ "vm-1", "vm-2", "vm-3" };
    const std::map<std::string, std::string> vms{ { "vm-1", "" }, { "vm-2", "" }, { "vm-3", "" } };
    const auto makeQuotas = [&](std::size_t index) {
        QuotaManager quotas(names.at(index));
        quotas.setLimits({ { organisation, { 10, 20 } } }, now);
        std::vector<const Heartbeat *> reachable;
        for (std::size_t i = 0; i < names.size(); ++i) {
            heartbeats.at(i).vm = names.at(i);
            if (i != index)
                reachable.push_back(&heartbeats.at(i));
        }
        quotas.setFleet({ vms, names.size(), reachable }, now);
        return quotas;
    };
    const auto admitted = [&](QuotaManager &quotas, Time at) {
        int count = 0;
        while (quotas.find(organisation)->admit(at))
            ++count;
        return count;
    };
    QuotaManager lender = makeQuotas(0);
    QuotaManager borrower = makeQuotas(1);
    // The lender has reached its capacity: a third of the burst and one spare token.
    const Time later = now + seconds(10);
    const double capacity = 20.0 / 3 + 1;

    CHECK(borrower.admit(organisation, 1, now) == QuotaDecision::Waiting);
    REQUIRE(borrower.isRequestDue(now));
    const auto requests = borrower.makeRequests(now);
    REQUIRE(requests.size() == 2);
    const QuotaLoanRequest &request = requests.at("vm-1");
    const double wanted = capacity * QuotaShare::refillTarget / 2;
    CHECK(request.tokens.at(organisation) == doctest::Approx(wanted));
    const QuotaLoan loan = lender.lend(request, later);
    CHECK(loan.tokens.at(organisation) == doctest::Approx(wanted));
    CHECK(lender.lend(request, later).tokens.at(organisation)
          == doctest::Approx(capacity / 2 - wanted));
    CHECK(lender.lend(request, later).tokens.empty());

    QuotaLoan unrequested = loan;
    unrequested.lender = "vm-4";
    borrower.borrow(unrequested, now);
    CHECK(admitted(borrower, now) == 0);
    borrower.borrow(loan, now);
    borrower.borrow(loan, now);
    CHECK(admitted(borrower, now) == 2);
    CHECK(admitted(lender, later) == 3);
    QuotaLoan late = loan;
    late.lender = "vm-3";
    borrower.borrow(late, now + QuotaManager::maxLoanDelay + milliseconds(1));
    CHECK(borrower.borrowed() == doctest::Approx(wanted));
}

TEST_CASE("requests for tokens that bring none back off")
{
    const Time start = Time() + seconds(1);
    QuotaManager quotas("vm-1");
    quotas.setLimits({ { organisation, { 10, 20 } } }, start);
    Heartbeat ofLender;
    ofLender.vm = "vm-2";
    quotas.setFleet({ { { "vm-1", "" }, { "vm-2", "" } }, 2, { &ofLender } }, start);
    int asks = 0;
    for (Time now = start; now < start + seconds(20); now += milliseconds(10)) {
        quotas.admit(organisation, 1, now);
        quotas.resolveWaiting(now);
        if (quotas.isRequestDue(now) && !quotas.makeRequests(now).empty())
            ++asks;
    }
    // At intervals of 0.1, 0.2, 0.4, 0.8 and 1.6 s, then every 2 s.
    CHECK(asks <= 6 + 10);
    CHECK(asks >= 5);
}

TEST_SUITE_END();

} // namespace basildeck::test
