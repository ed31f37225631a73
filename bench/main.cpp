#include "Benchmark.h"

#include <glog/logging.h>

#include <iostream>

int main(int argumentCount, char **argumentValues)
{
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging("basildeck-bench");
    const std::string selectedName = argumentCount > 1 ? argumentValues[1] : "";
    for (const basildeck::bench::Benchmark &benchmark : basildeck::bench::benchmarks()) {
        if (selectedName.empty() || benchmark.name == selectedName) {
            std::cout << "== " << benchmark.name << '\n';
            benchmark.run();
        }
    }
    return 0;
}
