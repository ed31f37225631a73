#include "decide/QuotaLedger.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace basildeck {

namespace {

constexpr Duration beatPeriod = milliseconds(250);
constexpr Duration step = milliseconds(5);
// Longest trip of a datagram in calm: the way between two regions and a tenth.
constexpr Duration calmTrip = milliseconds(60);
constexpr QuotaLimit limit{ 200, 100 };
constexpr const char *organisation = "o-1";
constexpr double overshoot = 0.1;
constexpr double slack = 20;

constexpr Duration window = seconds(5);

// The platform's rule: in any window of 5 s at most (rate * 5 + burst) * 1.1 + 20.
constexpr double mostInWindowOf(const QuotaLimit &of)
{
    return (of.rate * 5 + of.burst) * (1 + overshoot) + slack;
}

constexpr double mostInWindow = mostInWindowOf(limit);

// VMs of a fleet and the limit of its organisation.
struct FleetSize
{
    std::size_t vms = 7;
    QuotaLimit limit = basildeck::limit;
};

// A beat on its way.
struct Datagram
{
    Time arrival;
    std::size_t to;
    std::variant<Heartbeat, QuotaLoanRequest, QuotaLoan> content;
};

struct Vm
{
    Vm(const std::string &name, std::uint64_t incarnation, const FleetSize &size, Time now)
        : ledger(name)
        , peers(name)
    {
        beat.vm = beat.gossipAddress = name;
        beat.incarnation = incarnation;
        ledger.setLimits({ { organisation, size.limit.withOvershoot(overshoot, slack, window) } },
                         now);
        ledger.setPeers(size.vms, {}, now);
    }

    QuotaLedger ledger;
    PeerTable peers;
    Heartbeat beat;
    Time nextBeat;
};

// VMs that tell each other their demand, some of them cut off, paused or restarted at random.
class Fleet
{
public:
    // Static parts are those of a naive twin: each VM always uses one of equal parts.
    explicit Fleet(std::uint64_t seed, bool staticParts = false, FleetSize size = {})
        : m_size(size)
        , m_random(seed)
        , m_staticParts(staticParts)
    {
        for (std::size_t i = 0; i < m_size.vms; ++i) {
            m_vms.push_back(makeVm(i));
            m_vms.back().nextBeat = m_now + beatPeriod * i / m_size.vms;
        }
    }

    void setLongestTrip(Duration longestTrip) { m_longestTrip = longestTrip; }

    // Plays a while with a demand in requests per second; returns the most that was admitted in a
    // window.
    double play(Duration length, double demand, bool disturbed, bool callersMove = true)
    {
        std::size_t most = 0;
        double owed = 0;
        const Time end = m_now + length;
        Time nextDisturbance = m_now;
        while (m_now < end) {
            if (disturbed && m_now >= nextDisturbance) {
                nextDisturbance = m_now + beatPeriod;
                disturb();
            }
            gossip();
            // Callers move: now one VM gets most requests, now another.
            if (pick(400) == 0)
                m_favourite = pick(m_size.vms);
            for (owed += demand * toSeconds(step); owed >= 1; owed -= 1)
                ask(callersMove && pick(2) == 0 ? m_favourite : pick(m_size.vms));
            while (!m_lately.empty() && m_lately.front() < m_now - window)
                m_lately.pop_front();
            most = std::max(most, m_lately.size());
            m_now += step;
        }
        return static_cast<double>(most);
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < m_size.vms; ++i)
            m_vms[i] = makeVm(i);
        m_underway.clear();
    }

    double sumOfParts()
    {
        double sum = 0;
        for (Vm &vm : m_vms)
            sum += vm.ledger.find(organisation)->part();
        return sum;
    }

    void startCounting() { m_asked = m_admitted = 0; }
    double admittedShare() const { return m_admitted / m_asked; }

private:
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    Vm makeVm(std::size_t index)
    {
        return { "vm-" + std::to_string(index), ++m_incarnations, m_size, m_now };
    }

    void ask(std::size_t index)
    {
        ++m_asked;
        Vm &vm = m_vms[index];
        if (m_paused[index])
            return;
        const QuotaAnswer answer = vm.ledger.admit(organisation, ++m_requests, m_now);
        if (answer == QuotaAnswer::Admitted)
            noteAdmitted();
        if (vm.ledger.isAskDue(m_now))
            askForTokens(index);
    }

    void noteAdmitted()
    {
        ++m_admitted;
        m_lately.push_back(m_now);
    }

    void settle(Vm &vm)
    {
        for (const auto &[request, answer] : vm.ledger.settle(m_now)) {
            if (answer == QuotaAnswer::Admitted)
                noteAdmitted();
        }
    }

    void askForTokens(std::size_t index)
    {
        Vm &vm = m_vms[index];
        std::set<std::string> lenders;
        for (const auto &[name, address] :
             vm.peers.nearestPeers("", QuotaLedger::maxLenders, m_now))
            lenders.insert(name);
        const auto ask = vm.ledger.ask(lenders, m_now);
        for (const std::string &lender : ask ? lenders : std::set<std::string>())
            send(index, lender, *ask);
    }

    void disturb()
    {
        const std::size_t dice = pick(20);
        if (dice == 0) {
            m_cut[pick(m_size.vms)] = true;
        } else if (dice == 1) {
            std::fill(m_cut.begin(), m_cut.end(), false);
            std::fill(m_paused.begin(), m_paused.end(), false);
        } else if (dice == 2) {
            const std::size_t vm = pick(m_size.vms);
            m_vms[vm] = makeVm(vm);
        } else if (dice == 3) {
            m_paused[pick(m_size.vms)] = true;
        }
    }

    template <typename Content>
    void send(std::size_t from, const std::string &toName, Content content)
    {
        const std::size_t to = std::stoul(toName.substr(3));
        if (m_staticParts || m_cut[from] || m_cut[to])
            return;
        const auto steps = static_cast<std::size_t>(m_longestTrip / step);
        m_underway.push_back({ m_now + step * (1 + pick(steps)), to, std::move(content) });
    }

    // A paused VM takes in what has come when it goes on.
    void gossip()
    {
        std::vector<Datagram> later;
        for (Datagram &datagram : std::exchange(m_underway, {})) {
            if (datagram.arrival > m_now || m_paused[datagram.to])
                later.push_back(std::move(datagram));
            else
                receive(datagram);
        }
        m_underway.insert(m_underway.end(), later.begin(), later.end());
        for (std::size_t i = 0; i < m_size.vms; ++i) {
            Vm &vm = m_vms[i];
            if (m_paused[i])
                continue;
            settle(vm);
            if (m_now < vm.nextBeat)
                continue;
            vm.nextBeat = m_now + beatPeriod;
            vm.ledger.setPeers(m_size.vms, vm.peers.reachable(m_now), m_now);
            vm.ledger.fillDemands(vm.beat, m_now);
            ++vm.beat.sequence;
            for (const Vm &other : m_vms) {
                if (&other != &vm)
                    send(i, other.beat.vm, vm.beat);
            }
        }
    }

    void receive(const Datagram &datagram)
    {
        Vm &vm = m_vms[datagram.to];
        if (const auto *beat = std::get_if<Heartbeat>(&datagram.content))
            vm.peers.recordHeartbeat(*beat, m_now);
        else if (const auto *ask = std::get_if<QuotaLoanRequest>(&datagram.content))
            send(datagram.to, ask->borrower, vm.ledger.lend(*ask, m_now));
        else
            vm.ledger.borrow(std::get<QuotaLoan>(datagram.content), m_now);
    }

    FleetSize m_size;
    std::mt19937_64 m_random;
    bool m_staticParts;
    Duration m_longestTrip = beatPeriod;
    std::uint64_t m_incarnations = 0;
    Time m_now = Time() + seconds(1000);
    std::vector<Vm> m_vms;
    std::vector<Datagram> m_underway;
    std::vector<bool> m_cut = std::vector<bool>(m_size.vms, false);
    std::vector<bool> m_paused = std::vector<bool>(m_size.vms, false);
    std::deque<Time> m_lately; // admitted requests of the last window
    std::size_t m_favourite = 0;
    std::uint64_t m_requests = 0;
    double m_asked = 0;
    double m_admitted = 0;
};

} // namespace

TEST_SUITE_BEGIN("quota ledger");

TEST_CASE("no window takes more than the platform allows, whoever is cut off or restarts")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        CHECK(fleet.play(seconds(60), 1500, true) <= mostInWindow);
    }
}

// nam-gauge, mix --seed 318350903120: when an organisation's demand rose at all VMs at once, each
// took a larger part before the others had heard of its demand.
TEST_CASE("a sudden rise of demand at all VMs does not exceed a window")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        for (int rise = 0; rise < 5; ++rise) {
            CHECK(fleet.play(seconds(10), 0.8 * limit.rate, false, false) <= mostInWindow);
            CHECK(fleet.play(seconds(10), 6 * limit.rate, false, false) <= mostInWindow);
        }
    }
}

// Fleets as on nam-gauge and on the grown sites, with limits as small as there.
constexpr std::array<FleetSize, 4> fleetSizes{ FleetSize{}, FleetSize{ 27, { 33, 17 } },
                                               FleetSize{ 27, { 60, 30 } },
                                               FleetSize{ 38, { 20, 10 } } };

TEST_CASE("in fleets of all sizes no rise and no start exceeds a window")
{
    for (const FleetSize &size : fleetSizes) {
        CAPTURE(size.vms);
        const double most = mostInWindowOf(size.limit);
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(seed);
            Fleet fleet(seed, false, size);
            fleet.setLongestTrip(calmTrip);
            for (int rise = 0; rise < 3; ++rise) {
                CHECK(fleet.play(seconds(6), 0.8 * size.limit.rate, false, false) <= most);
                CHECK(fleet.play(seconds(6), 7 * size.limit.rate, false, false) <= most);
            }
            for (int start = 0; start < 3; ++start) {
                fleet.restartAll();
                CHECK(fleet.play(seconds(6), 6 * size.limit.rate, false, false) <= most);
            }
        }
    }
}

// In calm nothing that is within an organisation's rate may be refused.
TEST_CASE("an organisation within its rate is admitted in calm")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        fleet.setLongestTrip(calmTrip);
        fleet.play(seconds(10), 0.8 * limit.rate, false, false); // parts settle
        fleet.startCounting();
        fleet.play(seconds(60), 0.8 * limit.rate, false, false);
        CHECK(fleet.admittedShare() == 1.0);
    }
}

// nam-gauge-grown, hunt-56e8-11 and inc-c00f: in the seconds after the whole fleet had lost power
// nearly all requests were refused as beyond their organisation's rate.
void checkStart(const FleetSize &size)
{
    double admitted = 0;
    double ofBucket = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(seed, false, size);
        Fleet bucket(seed, false, { 1, size.limit });
        for (Fleet *each : { &fleet, &bucket }) {
            each->setLongestTrip(calmTrip);
            each->play(seconds(10), 0.8 * size.limit.rate, false, false);
            each->restartAll();
            each->startCounting();
            CHECK(each->play(seconds(2), 0.8 * size.limit.rate, false, false)
                  <= mostInWindowOf(size.limit));
        }
        admitted += fleet.admittedShare();
        ofBucket += bucket.admittedShare();
    }
    // A tenth is left for parts that follow demand late.
    CHECK(admitted >= 0.9 * ofBucket);
}

TEST_CASE("a fleet that starts under load admits nearly what one bucket would")
{
    checkStart({});
}

TEST_CASE("a large fleet that starts under load admits nearly what one bucket would")
{
    checkStart({ 27, { 33, 17 } });
}

TEST_CASE("the parts of all VMs never add up to less than a quarter, however demand rises")
{
    for (const double demand : { 0.8, 6.0, 30.0 }) {
        CAPTURE(demand);
        Fleet fleet(1);
        fleet.setLongestTrip(calmTrip);
        fleet.play(seconds(10), 0.8 * limit.rate, false, false);
        fleet.restartAll();
        // Two beats at most lie between the demands that two VMs go by.
        const double least = 1 / (QuotaShare::mostGrowth * QuotaShare::mostGrowth);
        for (int i = 0; i < 100; ++i) {
            fleet.play(milliseconds(50), demand * limit.rate, false, false);
            CHECK(fleet.sumOfParts() >= least);
        }
    }
}

// nam-gauge-grown, hunt-56e8-11: 7 to 12 tries of 100 were refused as over-rate, in calm too.
TEST_CASE("an organisation within its rate is admitted in calm in large fleets")
{
    for (const FleetSize &size : fleetSizes) {
        CAPTURE(size.vms);
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(seed);
            Fleet fleet(seed, false, size);
            fleet.setLongestTrip(calmTrip);
            fleet.play(seconds(10), 0.8 * size.limit.rate, false, false);
            fleet.startCounting();
            fleet.play(seconds(30), 0.8 * size.limit.rate, false, false);
            CHECK(fleet.admittedShare() == 1.0);
        }
    }
}

TEST_CASE("callers that move between VMs are refused less than with equal parts")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed);
        Fleet twin(seed, true);
        fleet.play(seconds(60), 0.8 * limit.rate, false);
        twin.play(seconds(60), 0.8 * limit.rate, false);
        CHECK(fleet.admittedShare() > twin.admittedShare());
    }
}

TEST_CASE("a loan is gone at the lender at once and counts once at the borrower")
{
    const Time now = Time() + seconds(1);
    Heartbeat ofPeer;
    ofPeer.vm = "peer";
    const auto makeLedger = [&](const std::string &name) {
        QuotaLedger ledger(name);
        ledger.setLimits({ { organisation, { 10, 20 } } }, now);
        ledger.setPeers(2, { &ofPeer }, now);
        return ledger;
    };
    const auto admitted = [&](QuotaLedger &ledger, Time at) {
        int count = 0;
        while (ledger.find(organisation)->admit(at))
            ++count;
        return count;
    };
    QuotaLedger lender = makeLedger("vm-1");
    QuotaLedger borrower = makeLedger("vm-2");
    const Time later = now + seconds(10); // the lender's tokens are full: 11

    CHECK(borrower.admit(organisation, 1, now) == QuotaAnswer::Waits);
    REQUIRE(borrower.isAskDue(now));
    const auto ask = borrower.ask({ "vm-1", "vm-3" }, now);
    REQUIRE(ask);
    CHECK(ask->tokens.at(organisation) == doctest::Approx(8.25 / 2));
    const QuotaLoan loan = lender.lend(*ask, later);
    CHECK(loan.tokens.at(organisation) == doctest::Approx(4.125));
    CHECK(lender.lend(*ask, later).tokens.at(organisation) == doctest::Approx(1.375));
    CHECK(lender.lend(*ask, later).tokens.empty());

    QuotaLoan unasked = loan;
    unasked.lender = "vm-4";
    borrower.borrow(unasked, now);
    CHECK(admitted(borrower, now) == 0);
    borrower.borrow(loan, now);
    borrower.borrow(loan, now);
    CHECK(admitted(borrower, now) == 4);
    CHECK(admitted(lender, later) == 5);
    QuotaLoan late = loan;
    late.lender = "vm-3";
    borrower.borrow(late, now + QuotaLedger::loanLife + milliseconds(1));
    CHECK(borrower.borrowed() == doctest::Approx(4.125));
}

TEST_CASE("asks that bring no tokens become rare")
{
    const Time start = Time() + seconds(1);
    QuotaLedger ledger("vm-1");
    ledger.setLimits({ { organisation, { 10, 20 } } }, start);
    ledger.setPeers(2, {}, start);
    int asks = 0;
    for (Time now = start; now < start + seconds(20); now += milliseconds(10)) {
        ledger.admit(organisation, 1, now);
        ledger.settle(now);
        if (ledger.isAskDue(now) && ledger.ask({ "vm-2" }, now))
            ++asks;
    }
    // After 0.1, 0.2, 0.4, 0.8 and 1.6 s, then each 2 s.
    CHECK(asks <= 6 + 10);
    CHECK(asks >= 5);
}

TEST_SUITE_END();

} // namespace basildeck
