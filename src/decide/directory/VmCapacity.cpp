#include "decide/directory/VmCapacity.h"

#include <algorithm>

namespace basildeck {

std::vector<bool> LargeVmSelection::select(const std::vector<VmCapacity> &vms)
{
    std::vector<bool> all(vms.size(), true);
    if (vms.empty() || !std::all_of(vms.begin(), vms.end(), [](const VmCapacity &capacity) {
            return capacity.isKnown();
        }))
        return all;
    const auto largest = static_cast<double>(
            std::max_element(vms.begin(), vms.end(), [](const VmCapacity &a, const VmCapacity &b) {
                return a.linkKbps < b.linkKbps;
            })->linkKbps);
    std::vector<bool> isLarge;
    double links = 0;
    double processors = 0;
    double largeLinks = 0;
    double largeProcessors = 0;
    for (const VmCapacity &capacity : vms) {
        const auto link = static_cast<double>(capacity.linkKbps);
        const auto processor = static_cast<double>(capacity.processorPermille);
        isLarge.push_back(link >= minLinkFraction * largest);
        links += link;
        processors += processor;
        if (isLarge.back()) {
            largeLinks += link;
            largeProcessors += processor;
        }
    }
    const auto count = static_cast<std::size_t>(std::count(isLarge.begin(), isLarge.end(), true));
    const bool isEnough = count >= minVms && largeLinks >= minLinkShare * links
                          && largeProcessors >= minProcessorShare * processors;
    return isEnough ? isLarge : all;
}

} // namespace basildeck
