#include "OverloadFleet.h"

#include <algorithm>

namespace basildeck::test {

namespace {

double shareOf(const std::map<std::string, int> &counts, const std::string &region)
{
    double all = 0;
    for (const auto &[other, count] : counts)
        all += count;
    const auto found = counts.find(region);
    return found == counts.end() ? 0.0 : found->second / all;
}

double shareMoved(const std::map<std::string, int> &before, const std::map<std::string, int> &after)
{
    double moved = 0;
    for (const auto &[region, count] : after)
        moved += std::max(0.0, shareOf(after, region) - shareOf(before, region));
    return moved;
}

} // namespace

double maxRegionShift(const SentByWindow &sent)
{
    double largest = 0;
    for (const auto &[caller, windows] : sent) {
        const std::map<std::string, int> *before = nullptr;
        for (const auto &[window, counts] : windows) {
            if (before != nullptr)
                largest = std::max(largest, shareMoved(*before, counts));
            before = &counts;
        }
    }
    return largest;
}

double LoadResult::busiestOverMean() const
{
    double all = 0;
    double busiest = 0;
    for (const auto &[target, seconds] : slotTime) {
        all += seconds;
        busiest = std::max(busiest, seconds);
    }
    return busiest * static_cast<double>(slotTime.size()) / all;
}

} // namespace basildeck::test
