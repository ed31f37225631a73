#include "decide/ShutdownSchedule.h"

#include <algorithm>

namespace basildeck {

ShutdownSchedule ShutdownSchedule::make(Time signalledAt, Duration grace)
{
    const Duration acceptTime = std::min(maxAcceptTime, grace * 5 / 12);
    const Duration deliveryTime = std::min(maxDeliveryTime, grace * 3 / 20);
    const Duration exitTime = std::min(maxExitTime, grace / 20);
    return { signalledAt, signalledAt + acceptTime / 2, signalledAt + acceptTime,
             signalledAt + grace - deliveryTime, signalledAt + grace - exitTime };
}

Time ShutdownSchedule::nextPhaseAfter(Time now) const
{
    for (const Time phase : { closeAfterResponsesAt, acceptUntil, endRequestsAt, exitAt }) {
        if (phase > now)
            return phase;
    }
    return now;
}

} // namespace basildeck
