#pragma once

#include "basildeck/Time.h"

#include <map>
#include <string>
#include <vector>

namespace basildeck::test {

// One line of a scenario: "at 10s kill vm3", "expect refused below 1%" or "world budget vms=7".
struct Line
{
    Time at;                               // for an "at" line
    std::vector<std::string> words;        // after the keyword and the time
    std::map<std::string, double> options; // "name=number" words, in base units
    std::string text;

    const std::string &word(std::size_t index) const;
    double option(const std::string &name, double fallback) const;
};

// A parsed scenario file. Lines that start with "#" are comments.
struct Script
{
    std::string name;
    Line world;
    std::vector<Line> events; // in order of time
    std::vector<Line> expectations;

    static Script load(const std::string &file);
};

// Parses a number with an optional unit, such as "1500ms", "10s", "800/s", "1%" or "7".
double parseQuantity(const std::string &text);

} // namespace basildeck::test
