#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basildeck::standin {

struct LoadOptions
{
    Address to;
    std::string request;      // sent as it is, again and again
    double ratePerSecond = 0; // 0: each connection sends as soon as it has its answer
    Duration duration = seconds(1);
    int connections = 1;
};

struct LoadResult
{
    std::map<int, std::uint64_t> statuses;  // answers by status; 0 for broken connections
    std::vector<std::uint32_t> latenciesUs; // of the answers with status below 300, sorted
    double seconds = 0;

    std::uint64_t succeeded() const { return latenciesUs.size(); }
    double perSecond() const;
    // A quantile of the latencies in microseconds.
    std::uint32_t quantileUs(double quantile) const;
};

// Sends requests from the calling thread over kept-alive connections, at a fixed rate or closed
// loop. With a rate, latency counts from the moment at which a request was due.
LoadResult runLoad(const LoadOptions &options);

// One line with rate, latencies and statuses.
std::string describe(const LoadResult &result);

} // namespace basildeck::standin
