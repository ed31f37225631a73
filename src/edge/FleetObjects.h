#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "store/ObjectProtocol.h"

#include <functional>
#include <string>

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

// The names and parsers of the objects in the platform's store.
struct FleetObjectFormat
{
    std::string configKind;
    std::string configName;
    std::string targetKind;
    std::string evacuationKind; // an object with the name of a zone evacuates that zone

    std::function<Result<FleetConfig>(const StoredObject &)> parseConfig;
    std::function<Result<RegisteredTarget>(const StoredObject &)> parseTarget;
};

} // namespace basildeck
