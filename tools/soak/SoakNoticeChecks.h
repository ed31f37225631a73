#pragma once

#include "soak/SoakChecks.h"

#include <string>
#include <vector>

namespace basildeck::soak {

// Checks that VMs follow what targets say in their responses: that they leave, or for how long they
// want no requests. Returns descriptions of the violations.
std::vector<std::string> checkNotices(const SoakRecords &records);

} // namespace basildeck::soak
