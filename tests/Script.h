#pragma once

#include "basildeck/Time.h"

#include <map>
#include <string>
#include <vector>

namespace basildeck::test {

// One line of a scenario: "at 10s kill vm3", "expect refused below 1%" or "world budget vms=7".
struct Line
{
    Time at;                               // of an "at" line
    std::vector<std::string> words;        // behind the time or the keyword
    std::map<std::string, double> options; // "name=number" words, with units taken off
    std::string text;

    const std::string &word(std::size_t index) const;
    double option(const std::string &name, double fallback) const;
};

// A scenario file. Lines starting with "#" are comments.
struct Script
{
    std::string name;
    Line world;
    std::vector<Line> events; // by time
    std::vector<Line> expectations;

    static Script load(const std::string &file);
};

// A number with a unit: "1500ms", "10s", "800/s", "1%", "7".
double parseQuantity(const std::string &text);

} // namespace basildeck::test
