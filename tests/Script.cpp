#include "Script.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace basildeck::test {

const std::string &Line::word(std::size_t index) const
{
    REQUIRE_MESSAGE(index < words.size(), text);
    return words[index];
}

double Line::option(const std::string &name, double fallback) const
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

double parseQuantity(const std::string &text)
{
    std::size_t end = 0;
    const double value = std::stod(text, &end);
    const std::string unit = text.substr(end);
    if (unit == "ms")
        return value / 1000;
    if (unit == "%")
        return value / 100;
    REQUIRE_MESSAGE((unit.empty() || unit == "s" || unit == "/s"), text);
    return value;
}

Script Script::load(const std::string &file)
{
    Script script;
    script.name = file.substr(file.rfind('/') + 1);
    std::ifstream stream(file);
    std::string text;
    while (std::getline(stream, text)) {
        std::istringstream words(text);
        std::string keyword;
        if (!(words >> keyword) || keyword[0] == '#')
            continue;
        Line line;
        line.text = script.name + ": " + text;
        std::string word;
        if (keyword == "at") {
            words >> word;
            line.at = Time{} + milliseconds(static_cast<long>(parseQuantity(word) * 1000));
        }
        while (words >> word) {
            const auto equals = word.find('=');
            if (equals == std::string::npos)
                line.words.push_back(word);
            else
                line.options[word.substr(0, equals)] = parseQuantity(word.substr(equals + 1));
        }
        if (keyword == "world")
            script.world = line;
        else if (keyword == "at")
            script.events.push_back(line);
        else if (keyword == "expect")
            script.expectations.push_back(line);
        else
            FAIL("unknown keyword in " << line.text);
    }
    std::stable_sort(script.events.begin(), script.events.end(),
                     [](const Line &a, const Line &b) { return a.at < b.at; });
    REQUIRE_MESSAGE(!script.expectations.empty(), script.name);
    return script;
}

} // namespace basildeck::test
