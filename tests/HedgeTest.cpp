#include "decide/ConcurrencyLimiter.h"
#include "decide/OutlierDetector.h"
#include "decide/hedge/HedgePolicy.h"
#include "decide/placement/RunTimeEstimator.h"
#include "decide/placement/TargetLoad.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>

namespace basildeck::test {

namespace {

constexpr Time start{};
const std::string kind = "lookup";
const std::string service = "gauge";
const std::string region = "north";

// A load of one kind of request on the targets of a service, sent by one VM for a minute.
struct HedgeLoad
{
    std::size_t targets = 20;
    int slots = 4;
    std::size_t queueLimit = 12; // requests that wait at a target; further ones are rejected
    double perSecond = 240;
    Duration work = milliseconds(100);
    double tailShare = 0.03; // of the runs that take tailFactor times as long
    double tailFactor = 7;
    double slowTargetFactor = 1; // of the first target, after ten seconds
    int hedgePercent = 0;
    bool losesCancels = false; // targets go on with cancelled runs
};

struct HedgeResult
{
    int requests = 0;
    int hedges = 0;
    int answers = 0;
    int rejected = 0;
    int ejections = 0;
    double workSeconds = 0; // of the targets' slots
    std::vector<double> latencies;
    double p99() const { return latencies.at(latencies.size() * 99 / 100); }
};

// The decisions about second attempts against targets with slots and queues, in virtual time.
class HedgeSimulation
{
public:
    explicit HedgeSimulation(const HedgeLoad &load)
        : m_load(load)
        , m_targets(load.targets)
    {
        m_policy.setPercent(load.hedgePercent);
    }

    HedgeResult run()
    {
        arrive();
        while (!m_events.empty()) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        std::sort(m_result.latencies.begin(), m_result.latencies.end());
        return m_result;
    }

private:
    struct Attempt;
    struct Request
    {
        Time at;
        bool isOver = false;
        std::vector<std::shared_ptr<Attempt>> attempts;
    };
    struct Attempt
    {
        std::shared_ptr<Request> request;
        std::size_t target = 0;
        Duration expectedRun{ 0 };
        Time sentAt;
        bool isRunning = false;
        bool isOver = false; // it occupies neither a slot nor a place in the queue
        bool isCancelled = false;
    };
    struct Target
    {
        ConcurrencyLimiter limiter{ 4 };
        OutlierDetector outlierDetector;
        std::vector<std::shared_ptr<Attempt>> queue;
        int running = 0;
    };

    double random() { return std::uniform_real_distribution<>(0, 1)(m_random); }
    void after(double delaySeconds, std::function<void()> event)
    {
        m_events.emplace(m_now + std::chrono::nanoseconds(static_cast<long>(delaySeconds * 1e9)),
                         std::move(event));
    }
    std::size_t chooseTarget()
    {
        std::size_t target = m_random() % m_targets.size();
        while (m_targets[target].outlierDetector.isEjected(m_now))
            target = m_random() % m_targets.size();
        return target;
    }

    void arrive()
    {
        ++m_result.requests;
        m_policy.recordRequest(service);
        send(std::make_shared<Request>(Request{ m_now, false, {} }), chooseTarget());
        if (m_now < start + seconds(60))
            after(-std::log(1 - random()) / m_load.perSecond, [this] { arrive(); });
    }

    void send(const std::shared_ptr<Request> &request, std::size_t id)
    {
        Target &target = m_targets[id];
        const bool isFirst = request->attempts.empty();
        if (target.queue.size() >= m_load.queueLimit) {
            m_policy.recordRejection(service, m_now);
            m_result.rejected += isFirst ? 1 : 0;
            return;
        }
        auto attempt = std::make_shared<Attempt>(Attempt{ request, id });
        attempt->sentAt = m_now;
        attempt->expectedRun
                = target.limiter.expectedRun(kind, m_runTimes.typicalRun(kind, region), m_now);
        request->attempts.push_back(attempt);
        target.limiter.started();
        target.queue.push_back(attempt);
        const auto delay = m_policy.delays().delay(kind, attempt->expectedRun, m_now);
        if (isFirst && delay && m_policy.isEnabled())
            after(toSeconds(*delay), [this, request] { hedge(request); });
        serve(target);
    }

    void hedge(const std::shared_ptr<Request> &request)
    {
        if (request->isOver || m_policy.denial({ service, 1, 2, false, 0 }, m_now))
            return;
        const std::size_t id = chooseTarget();
        const bool hasRoom
                = m_targets[id].limiter.hasCapacity() && id != request->attempts.front()->target;
        if (!chooseHedgeTarget({ { hasRoom, false, m_load.work } }, seconds(2))
            || !m_policy.takeShare(service))
            return;
        ++m_result.hedges;
        send(request, id);
    }

    void serve(Target &target)
    {
        while (target.running < m_load.slots && !target.queue.empty()) {
            const std::shared_ptr<Attempt> attempt = target.queue.front();
            target.queue.erase(target.queue.begin());
            ++target.running;
            attempt->isRunning = true;
            double work = toSeconds(m_load.work) * (0.8 + 0.4 * random());
            work *= random() < m_load.tailShare ? m_load.tailFactor : 1;
            if (attempt->target == 0 && m_now > start + seconds(10))
                work *= m_load.slowTargetFactor;
            after(work, [this, attempt, work] {
                if (attempt->isOver)
                    return;
                m_result.workSeconds += work;
                end(*attempt);
            });
        }
    }

    void end(Attempt &attempt)
    {
        Target &target = m_targets[attempt.target];
        Request &request = *attempt.request;
        attempt.isOver = true;
        --target.running;
        // The late response of a cancelled attempt belongs to nobody.
        if (!attempt.isCancelled) {
            REQUIRE_FALSE(std::exchange(request.isOver, true));
            ++m_result.answers;
            m_result.latencies.push_back(toSeconds(m_now - request.at) * 1000);
            const Duration took = m_now - attempt.sentAt;
            const LoadReport report{ target.running, static_cast<int>(target.queue.size()),
                                     m_load.slots };
            target.limiter.answered(kind, took, report, m_now);
            target.outlierDetector.recordSuccess();
            m_runTimes.record(kind, region, took);
            m_policy.delays().record(kind, took, attempt.expectedRun, m_now);
            m_policy.recordAnswer(service, report.waiting > 0);
            for (const auto &other : request.attempts) {
                if (other.get() != &attempt)
                    cancel(other);
            }
        }
        serve(target);
    }

    void cancel(const std::shared_ptr<Attempt> &attempt)
    {
        Target &target = m_targets[attempt->target];
        const Duration ranFor = m_now - attempt->sentAt;
        const auto delay = m_policy.delays().delay(kind, attempt->expectedRun, m_now);
        attempt->isCancelled = true;
        target.limiter.cancelled(kind, ranFor, m_now);
        m_runTimes.recordCancelled(kind, region, ranFor);
        m_policy.delays().recordCancelled(kind, ranFor, attempt->expectedRun, m_now);
        if (delay && ranFor >= *delay && target.outlierDetector.recordCancelledRun(m_now))
            ++m_result.ejections;
        if (m_load.losesCancels)
            return;
        attempt->isOver = true;
        if (attempt->isRunning)
            --target.running;
        else
            std::erase(target.queue, attempt);
        serve(target);
    }

    HedgeLoad m_load;
    std::mt19937_64 m_random{ 1 };
    Time m_now = start;
    std::multimap<Time, std::function<void()>> m_events;
    std::vector<Target> m_targets;
    RunTimeEstimator m_runTimes;
    HedgePolicy m_policy;
    HedgeResult m_result;
};

// Runs a load without second attempts and with a share of them.
std::pair<HedgeResult, HedgeResult> compare(HedgeLoad load, int percent)
{
    const HedgeResult without = HedgeSimulation(load).run();
    load.hedgePercent = percent;
    const HedgeResult with = HedgeSimulation(load).run();
    MESSAGE("p99 " << without.p99() << " -> " << with.p99() << " ms, hedges " << with.hedges
                   << " of " << with.requests << ", rejected " << without.rejected << " -> "
                   << with.rejected << ", work " << without.workSeconds << " -> "
                   << with.workSeconds << " s, ejections " << with.ejections);
    CHECK(without.hedges == 0);
    CHECK(with.answers + with.rejected == with.requests);
    // At the start, the share of 100 requests may have been saved.
    CHECK(with.hedges <= with.requests * percent / 100 + percent);
    return { without, with };
}

} // namespace

TEST_SUITE_BEGIN("hedge decisions");

TEST_CASE("a slow tail is cut within the share")
{
    for (const int percent : { 2, 5, 20 }) {
        const auto [without, with] = compare({}, percent);
        CHECK(with.p99() < without.p99());
    }
}

TEST_CASE("one slow target is worked around within the share, and ejected")
{
    HedgeLoad load;
    load.tailShare = 0;
    load.slowTargetFactor = 10;
    const auto [without, with] = compare(load, 10);
    CHECK(with.p99() < without.p99());
    CHECK(with.ejections > 0);
}

// Guards against second attempts that turn an overload into a collapse.
TEST_CASE("overload: no second attempts")
{
    HedgeLoad load;
    load.perSecond = 900; // 1.3 times what the slots can do
    const auto [without, with] = compare(load, 20);
    CHECK(without.rejected > 0);
    CHECK(with.hedges == 0);
}

// Guards against bounds that depend on a cancel, which may be lost or ignored by the target.
TEST_CASE("a lost cancel: the late response goes to nobody and the share holds")
{
    HedgeLoad load;
    load.losesCancels = true;
    const auto [without, with] = compare(load, 5);
    CHECK(with.p99() < without.p99());
    // One run more for each second attempt, of the tail or not.
    CHECK(with.workSeconds <= without.workSeconds * (1 + 0.05 * 2));
}

TEST_CASE("the delay is a quantile of recent runs, relative to what is expected now")
{
    HedgeDelay delays;
    const Duration expected = milliseconds(100);
    for (std::size_t i = 0; i < HedgeDelay::minSamples; ++i) {
        CHECK_FALSE(delays.delay(kind, expected, start));
        delays.record(kind, milliseconds(150), expected, start);
    }
    CHECK(delays.delay(kind, expected, start) == milliseconds(150));
    CHECK(delays.delay(kind, 2 * expected, start) == milliseconds(300));
    CHECK_FALSE(delays.delay(kind, Duration::zero(), start));
    // A cancelled run counts only where it shows a longer run time.
    for (int i = 0; i < 5; ++i)
        delays.recordCancelled(kind, milliseconds(20), expected, start);
    CHECK(delays.delay(kind, expected, start) == milliseconds(150));
    for (int i = 0; i < 5; ++i)
        delays.recordCancelled(kind, milliseconds(400), expected, start);
    CHECK(delays.delay(kind, expected, start) == milliseconds(400));
    CHECK_FALSE(delays.delay(kind, expected, start + HedgeDelay::sampleLifetime + seconds(1)));
}

TEST_CASE("reasons against a second attempt")
{
    HedgePolicy policy;
    const HedgeRequest request{ service, 1, 2, false, 0 };
    policy.recordRequest(service);
    CHECK(policy.denial(request, start) == HedgeDenial::Share);
    policy.setPercent(20);
    for (int i = 0; i < 10; ++i)
        policy.recordRequest(service);
    CHECK_FALSE(policy.denial(request, start));
    CHECK(policy.denial({ service, 2, 2, false, 0 }, start) == HedgeDenial::Attempts);
    CHECK(policy.denial({ service, 1, 2, true, 0 }, start) == HedgeDenial::Suspect);
    CHECK(policy.denial({ service, 1, 2, false, 1 }, start) == HedgeDenial::Waiting);
    policy.recordRejection(service, start);
    CHECK(policy.denial(request, start) == HedgeDenial::NoRoom);
    CHECK_FALSE(policy.denial(request, start + HedgePolicy::rejectionPause));
}

TEST_CASE("a second attempt goes to the first target that has room and ends in time")
{
    const Duration run = milliseconds(100);
    const std::vector<HedgeCandidate> candidates = {
        { false, false, run }, { true, true, run }, { true, false, 9 * run }, { true, false, run }
    };
    CHECK(chooseHedgeTarget(candidates, 2 * run) == 3);
    CHECK(chooseHedgeTarget(candidates, 10 * run) == 2);
    CHECK_FALSE(chooseHedgeTarget(candidates, run));
}

// Invalid speeds are tested where reports are parsed (CompletionChoiceTest).
TEST_CASE("a report of requests that wait at a target holds for a short time")
{
    TargetLoad load;
    CHECK_FALSE(load.isQueueing(start));
    load.record({ 2, 1, 9 }, start);
    CHECK(load.isQueueing(start));
    CHECK_FALSE(load.isQueueing(start + seconds(2)));
    load.record({ 2, 0, 9, 250 }, start + seconds(2));
    CHECK_FALSE(load.isQueueing(start + seconds(2)));
}

TEST_SUITE_END();

} // namespace basildeck::test
