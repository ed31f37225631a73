#pragma once

#include <functional>
#include <string>
#include <vector>

namespace basildeck::bench {

// A measurement that prints its results. A source file registers a benchmark with a static object:
//     static const BenchmarkRegistration registration("name", run);
struct Benchmark
{
    std::string name;
    std::function<void()> run;
};

inline std::vector<Benchmark> &benchmarks()
{
    static std::vector<Benchmark> registeredBenchmarks;
    return registeredBenchmarks;
}

struct BenchmarkRegistration
{
    BenchmarkRegistration(std::string name, std::function<void()> run)
    {
        benchmarks().push_back({ std::move(name), std::move(run) });
    }
};

} // namespace basildeck::bench
