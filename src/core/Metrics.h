#pragma once

#include "basildeck/ErrorKind.h"
#include "basildeck/Time.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace basildeck {

// Why a request was retried at another target.
enum class RetryReason { ConnectFailed, Shed, LostIdempotent };

// "connect-failed", "shed" or "lost-idempotent".
std::string_view retryReasonName(RetryReason reason);

// Request counters by route and organisation, and latencies by route, of one task.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countRequest(const std::string &route, const std::string &organisation);
    void countRefusal(ErrorKind kind, const std::string &route, const std::string &organisation);
    void countRetry(RetryReason reason, const std::string &route, const std::string &organisation);
    void countTruncatedResponse(const std::string &route, const std::string &organisation);
    // Second attempts that were started, and those whose response went to the caller.
    void countHedge(const std::string &route) { ++m_hedges[route].started; }
    void countHedgeWon(const std::string &route) { ++m_hedges[route].won; }
    // The time that an attempt ran whose response was not used.
    void addHedgeWaste(const std::string &route, Duration ran) { m_hedges[route].wasted += ran; }
    // Requests that got no second attempt although they took long, by reason.
    void countHedgeDenial(std::string_view reason) { ++m_hedgeDenials[std::string(reason)]; }
    // Attempts that ended without a response that may be passed on, by how they ended.
    void countTargetFailure(std::string_view how) { ++m_targetFailures[std::string(how)]; }
    void countLookup() { ++m_lookups; }
    // The latency is the time from the request's head to the end of the response.
    void recordLatency(const std::string &route, Duration latency);

    std::uint64_t lookups() const { return m_lookups; }
    // All metrics in the Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    // Without any second attempts, there are no metrics of them.
    void writeHedges(std::ostream &out) const;

    struct Latency;
    struct Hedges
    {
        std::uint64_t started = 0;
        std::uint64_t won = 0;
        Duration wasted{ 0 };
    };
    using RouteAndOrganisation = std::pair<std::string, std::string>;

    std::uint64_t m_lookups = 0;
    std::map<RouteAndOrganisation, std::uint64_t> m_requests;
    std::map<RouteAndOrganisation, std::uint64_t> m_truncatedResponses;
    std::map<std::tuple<ErrorKind, std::string, std::string>, std::uint64_t> m_refusals;
    std::map<std::tuple<RetryReason, std::string, std::string>, std::uint64_t> m_retries;
    std::map<std::string, std::uint64_t> m_targetFailures; // by how
    std::map<std::string, std::unique_ptr<Latency>> m_latencies;
    std::map<std::string, Hedges> m_hedges; // by route
    std::map<std::string, std::uint64_t> m_hedgeDenials;
};

} // namespace basildeck
