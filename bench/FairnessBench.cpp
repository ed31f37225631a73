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
constexpr int overloadFactor = 5;
constexpr double rateLimitPerOrganisation = 1.25 * ratePerOrganisation; // rate and burst
constexpr int slots = 4;
constexpr Duration serviceTime = milliseconds(20);
constexpr Duration simulatedTime = seconds(600);
constexpr Duration maxWait = seconds(2);

// The baseline: one FIFO queue for all organisations, with the same total capacity as the fair
// queue.
class FifoQueue
{
public:
    static constexpr std::size_t capacity = FairQueue::maxPerOrganisation * organisations;
    bool push(FairQueue::RequestId id, const std::string &, Time deadline, FairQueue::Band)
    {
        if (m_queue.size() >= capacity)
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

struct OrganisationResult
{
    std::vector<double> waitsMs; // of served requests
    std::uint64_t refused = 0;
};

// Simulates Poisson arrivals of each organisation at a fixed number of slots, in virtual time. The
// first organisation has a rate of its own.
template <typename Queue>
std::vector<OrganisationResult> simulate(double firstRate, bool limited)
{
    std::mt19937_64 random(seed);
    Queue queue;
    std::vector<OrganisationResult> results(organisations);
    std::vector<Time> nextArrival(organisations);
    const auto nextInterarrivalTime = [&](double rate) {
        const double intervalSeconds = std::exponential_distribution<double>(rate)(random);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(intervalSeconds));
    };
    std::vector<RateLimiter> rateLimiters;
    for (std::size_t i = 0; i < organisations; ++i) {
        rateLimiters.emplace_back(
                TokenBucketLimit{ rateLimitPerOrganisation, rateLimitPerOrganisation }, i << 32,
                Time{} - TokenBucketShare::startupDelay);
        rateLimiters.back().share().setFraction(1, Time{});
    }
    const auto bandOf = [&](std::size_t i) {
        return limited && rateLimiters[i].isOverRate() ? FairQueue::Band::Excess
                                                       : FairQueue::Band::InRate;
    };
    std::map<FairQueue::RequestId, std::pair<std::size_t, Time>> waiting;
    std::vector<Time> slotFreeAt(slots);
    FairQueue::RequestId id = 0;
    for (Time now{}; now < Time{} + simulatedTime; now += milliseconds(1)) {
        for (std::size_t i = 0; i < organisations; ++i) {
            for (; nextArrival[i] <= now;
                 nextArrival[i] += nextInterarrivalTime(i == 0 ? firstRate : ratePerOrganisation)) {
                waiting[++id] = { i, now };
                const auto verdict = limited ? rateLimiters[i].admit(id, now, now + maxWait)
                                             : RateLimiter::Verdict::Admitted;
                if (verdict == RateLimiter::Verdict::Waiting)
                    continue;
                if (verdict == RateLimiter::Verdict::Admitted
                    && queue.push(id, "o" + std::to_string(i), now + maxWait, bandOf(i)))
                    continue;
                ++results[i].refused;
                waiting.erase(id);
            }
        }
        for (std::size_t i = 0; i < organisations; ++i) {
            for (const RateLimiter::Decision &decision : rateLimiters[i].poll(now)) {
                const bool admitted = decision.verdict == RateLimiter::Verdict::Admitted
                                      && queue.push(decision.id, "o" + std::to_string(i),
                                                    now + maxWait, bandOf(i));
                if (admitted)
                    continue;
                ++results[i].refused;
                waiting.erase(decision.id);
            }
        }
        for (const auto expired : queue.removeExpired(now + serviceTime)) {
            ++results[waiting[expired].first].refused;
            waiting.erase(expired);
        }
        for (Time &freeAt : slotFreeAt) {
            if (freeAt > now)
                continue;
            const auto requestId = queue.pop();
            if (!requestId)
                break;
            const auto [organisation, arrivalTime] = waiting[*requestId];
            results[organisation].waitsMs.push_back(toSeconds(now - arrivalTime) * 1e3);
            waiting.erase(*requestId);
            freeAt = now + serviceTime;
        }
    }
    return results;
}

template <typename Queue>
void printResults(const char *name, bool limited)
{
    for (const int factor : { 1, overloadFactor }) {
        const auto results = simulate<Queue>(ratePerOrganisation * factor, limited);
        double worstP99Ms = 0;
        std::uint64_t refused = 0;
        std::uint64_t offered = 0;
        for (std::size_t i = 1; i < results.size(); ++i) {
            auto sortedWaits = results[i].waitsMs;
            std::sort(sortedWaits.begin(), sortedWaits.end());
            const auto index
                    = static_cast<std::size_t>(0.99 * static_cast<double>(sortedWaits.size()));
            worstP99Ms = std::max(worstP99Ms, sortedWaits.empty() ? NAN : sortedWaits[index]);
            refused += results[i].refused;
            offered += results[i].refused + sortedWaits.size();
        }
        std::cout << name << ", one organisation at " << factor
                  << " times its rate: worst p99 wait of"
                  << " the others " << worstP99Ms << " ms, refused " << refused << " of " << offered
                  << '\n';
    }
}

void run()
{
    printResults<FifoQueue>("order of arrival, no limits", false);
    printResults<FairQueue>("fair queue, no limits", false);
    printResults<FifoQueue>("order of arrival, limits", true);
    printResults<FairQueue>("fair queue, limits", true);
}

const BenchmarkRegistration registration("fairness", run);

} // namespace

} // namespace basildeck::bench
