#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "store/ObjectProtocol.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace basildeck {

// A target's registration.
struct RegisteredTarget
{
    std::string id; // usually unique to one run of the target
    std::string service;
    Address address;
    std::string zone;
    int slots = 1;
    bool leaving = false;
    milliseconds coldRemaining{ 0 };  // remaining cold start when the entry was written
    std::int64_t startedAtUnixMs = 0; // 0 if unknown
};

// Orders the states of one object by their content: a state with a higher key is newer, whatever
// the revisions in the store are. Returns nothing if the content does not tell.
using ObjectOrder
        = std::function<std::optional<std::pair<std::int64_t, std::int64_t>>(const StoredObject &)>;

// The names and parsers of the objects in the platform's store.
struct FleetObjectFormat
{
    std::string configKind;
    std::string configName;
    std::string targetKind;
    std::string evacuationKind; // an object with the name of a zone evacuates that zone

    std::function<Result<FleetConfig>(const StoredObject &)> parseConfig;
    std::function<Result<RegisteredTarget>(const StoredObject &)> parseTarget;

    ObjectOrder configOrder;
    ObjectOrder targetOrder;
};

} // namespace basildeck
