#pragma once

#include "basildeck/Time.h"

#include <optional>
#include <string>

namespace basildeck {

// How long ago the store confirmed a replica, for the log: milliseconds, or "unknown".
inline std::string confirmedAgeText(const std::optional<Duration> &age)
{
    return age ? std::to_string(std::chrono::duration_cast<milliseconds>(*age).count()) : "unknown";
}

} // namespace basildeck
