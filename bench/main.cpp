#include "Bench.h"

#include <glog/logging.h>

#include <iostream>

int main(int argumentCount, char **argumentValues)
{
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging("basildeck-bench");
    const std::string wanted = argumentCount > 1 ? argumentValues[1] : "";
    for (const basildeck::bench::Bench &bench : basildeck::bench::benches()) {
        if (wanted.empty() || bench.name == wanted) {
            std::cout << "== " << bench.name << '\n';
            bench.run();
        }
    }
    return 0;
}
