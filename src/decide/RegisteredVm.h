#pragma once

#include "decide/directory/VmCapacity.h"

#include <cstdint>
#include <string>

namespace basildeck {

// A VM as registered in the store.
struct RegisteredVm
{
    std::string gossipAddress;
    std::string relayAddress; // for requests of other VMs
    std::string region;
    std::uint64_t memoryBytes = 0; // 0 if unknown
    VmCapacity capacity;
};

} // namespace basildeck
