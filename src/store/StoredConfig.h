#pragma once

#include "core/StoreVersion.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace basildeck {

struct StoredValue;

// The configuration as read from the store. The object in the store states the era in which it was
// written, in the member "storeEra". A document that was written by hand does not state it.
struct StoredConfig
{
    StoreVersion version;    // none if the object does not exist
    std::uint64_t era = 0;   // of the store when it was read
    nlohmann::json document; // without the member "storeEra"; an empty object if there is none

    // Whether the document is known to be the newest one: it was written in the store's current
    // era, or eras were never stated.
    bool isConfirmed() const { return version.era == 0 || version.era == era; }
};

StoredConfig decodeConfig(const StoredValue &object);
// Returns the value to write to the store.
std::string encodeConfig(nlohmann::json document, std::uint64_t era);

} // namespace basildeck
