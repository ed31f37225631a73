#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace basildeck {

// The regions that two lists of allowed regions have in common. An empty list allows all regions;
// if two others have none in common, the result names a region that does not exist.
inline std::vector<std::string> intersectRegions(const std::vector<std::string> &first,
                                                 const std::vector<std::string> &second)
{
    if (first.empty() || second.empty())
        return first.empty() ? second : first;
    std::vector<std::string> both;
    for (const std::string &region : first) {
        if (std::find(second.begin(), second.end(), region) != second.end())
            both.push_back(region);
    }
    if (both.empty())
        both.emplace_back();
    return both;
}

} // namespace basildeck
