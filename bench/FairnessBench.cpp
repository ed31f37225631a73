#include "Benchmark.h"
#include "decide/FairQueue.h"
#include "decide/RateLimiter.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <random>

namespace basildeck::bench {

namespace {

constexpr unsigned seed = 5;
constexpr int organisations = 8;
constexpr double ratePerOrganisation = 22; // requests per second
constexpr int excess = 5;
constexpr double limitPerOrganisation = 1.25 * ratePerOrganisation; // its rate and its burst
constexpr int slots = 4;
constexpr Duration runTime = milliseconds(20);
constexpr Duration length = seconds(600);
constexpr Duration patience = seconds(2);

// The baseline: one queue in order of arrival with the same bound over all organisations.
class ArrivalOrder
{
public:
    static constexpr std::size_t most = FairQueue::maxPerOrganisation * organisations;
    bool push(FairQueue::RequestId id, const std::string &, Time deadline, FairQueue::Band)
    {
        if (m_queue.size() >= most)
            return false;
        m_queue.emplace_back(id, deadline);
        return true;
    }
    std::optional<FairQueue::RequestId> pop()
    {
        if (m_queue.empty())
            return std::nullopt;
        const auto id = m_queue.front().first;
        m_queue.pop_front();
        return id;
    }
    std::vector<FairQueue::RequestId> removeExpired(Time servedAt)
    {
        std::vector<FairQueue::RequestId> expired;
        while (!m_queue.empty() && m_queue.front().second <= servedAt) {
            expired.push_back(m_queue.front().first);
            m_queue.pop_front();
        }
        return expired;
    }

private:
    std::deque<std::pair<FairQueue::RequestId, Time>> m_queue;
};

struct Outcome
{
    std::vector<double> waitsMs; // of requests that were served
    std::uint64_t refused = 0;
};

// Serves Poisson arrivals of each organisation on a fixed number of slots, in virtual time.
template <typename Queue>
std::vector<Outcome> serve(double firstRate, bool limited)
{
    std::mt19937_64 random(seed);
    Queue queue;
    std::vector<Outcome> outcomes(organisations);
    std::vector<Time> next(organisations);
    const auto gap = [&](double rate) {
        const double wait = std::exponential_distribution<double>(rate)(random);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
    };
    std::vector<RateLimiter> gates;
    for (std::size_t i = 0; i < organisations; ++i) {
        gates.emplace_back(TokenBucketLimit{ limitPerOrganisation, limitPerOrganisation }, i << 32,
                           Time{} - TokenBucketShare::startupDelay);
        gates.back().share().setFraction(1, Time{});
    }
    const auto band = [&](std::size_t i) {
        return limited && gates[i].isOverRate() ? FairQueue::Band::Excess : FairQueue::Band::InRate;
    };
    std::map<FairQueue::RequestId, std::pair<std::size_t, Time>> waiting;
    std::vector<Time> busyUntil(slots);
    FairQueue::RequestId id = 0;
    for (Time now{}; now < Time{} + length; now += milliseconds(1)) {
        for (std::size_t i = 0; i < organisations; ++i) {
            for (; next[i] <= now; next[i] += gap(i == 0 ? firstRate : ratePerOrganisation)) {
                waiting[++id] = { i, now };
                const auto verdict = limited ? gates[i].admit(id, now, now + patience)
                                             : RateLimiter::Verdict::Admitted;
                if (verdict == RateLimiter::Verdict::Waiting)
                    continue;
                if (verdict == RateLimiter::Verdict::Admitted
                    && queue.push(id, "o" + std::to_string(i), now + patience, band(i)))
                    continue;
                ++outcomes[i].refused;
                waiting.erase(id);
            }
        }
        for (std::size_t i = 0; i < organisations; ++i) {
            for (const RateLimiter::Decision &decision : gates[i].poll(now)) {
                const bool admitted = decision.verdict == RateLimiter::Verdict::Admitted
                                      && queue.push(decision.id, "o" + std::to_string(i),
                                                    now + patience, band(i));
                if (admitted)
                    continue;
                ++outcomes[i].refused;
                waiting.erase(decision.id);
            }
        }
        for (const auto expired : queue.removeExpired(now + runTime)) {
            ++outcomes[waiting[expired].first].refused;
            waiting.erase(expired);
        }
        for (Time &busy : busyUntil) {
            if (busy > now)
                continue;
            const auto served = queue.pop();
            if (!served)
                break;
            const auto [owner, arrived] = waiting[*served];
            outcomes[owner].waitsMs.push_back(toSeconds(now - arrived) * 1e3);
            waiting.erase(*served);
            busy = now + runTime;
        }
    }
    return outcomes;
}

template <typename Queue>
void report(const char *name, bool limited)
{
    for (const int factor : { 1, excess }) {
        const auto outcomes = serve<Queue>(ratePerOrganisation * factor, limited);
        double worst = 0;
        std::uint64_t refused = 0;
        std::uint64_t offered = 0;
        for (std::size_t i = 1; i < outcomes.size(); ++i) {
            auto waits = outcomes[i].waitsMs;
            std::sort(waits.begin(), waits.end());
            const auto index = static_cast<std::size_t>(0.99 * static_cast<double>(waits.size()));
            worst = std::max(worst, waits.empty() ? NAN : waits[index]);
            refused += outcomes[i].refused;
            offered += outcomes[i].refused + waits.size();
        }
        std::cout << name << ", one organisation at " << factor
                  << " times its rate: worst p99 wait of"
                  << " the others " << worst << " ms, refused " << refused << " of " << offered
                  << '\n';
    }
}

void run()
{
    report<ArrivalOrder>("order of arrival, no limits", false);
    report<FairQueue>("fair queue, no limits", false);
    report<ArrivalOrder>("order of arrival, limits", true);
    report<FairQueue>("fair queue, limits", true);
}

const BenchmarkRegistration registration("fairness", run);

} // namespace

} // namespace basildeck::bench
