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
    std::string request;      // raw bytes of the request that is sent repeatedly
    double ratePerSecond = 0; // 0: closed loop, a connection sends when it has its response
    Duration duration = seconds(1);
    int connections = 1;
};

struct LoadResult
{
    std::map<int, std::uint64_t> statuses;  // responses by status; 0 counts connection failures
    std::vector<std::uint32_t> latenciesUs; // of responses with status below 300, sorted
    double seconds = 0;

    std::uint64_t succeeded() const { return latenciesUs.size(); }
    double perSecond() const;
    // The given quantile of the latencies, 0 if there are none.
    std::uint32_t quantileUs(double quantile) const;
};

// Generates load from the calling thread over keep-alive connections, at a fixed rate (open loop)
// or in a closed loop. At a fixed rate, latency counts from the time at which the request was
// scheduled, so that it includes the wait for an idle connection.
LoadResult runLoad(const LoadOptions &options);

// Formats throughput, latencies and status counts as one line.
std::string describe(const LoadResult &result);

} // namespace basildeck::standin
