#pragma once

#include <chrono>

namespace basildeck {

// Monotonic time of one process. Times of two processes are never compared.
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Seconds as a floating-point number, for rates.
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace basildeck
