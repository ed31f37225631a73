#pragma once

#include <chrono>

namespace basildeck {

// Monotonic clock. A time point is meaningful only within the process that took it.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Converts to floating-point seconds, for computing rates.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace basildeck
