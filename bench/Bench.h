#pragma once

#include <functional>
#include <string>
#include <vector>

namespace basildeck::bench {

// A measurement that prints its figures. Each registers itself by one line:
//     static const Register registered("name", run);
struct Bench
{
    std::string name;
    std::function<void()> run;
};

inline std::vector<Bench> &benches()
{
    static std::vector<Bench> list;
    return list;
}

struct Register
{
    Register(std::string name, std::function<void()> run)
    {
        benches().push_back({ std::move(name), std::move(run) });
    }
};

} // namespace basildeck::bench
