#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/FleetConfig.h"
#include "store/ObjectProtocol.h"

#include <functional>
#include <string>

namespace basildeck {

// A target as it registered itself.
struct RegisteredTarget
{
    std::string id; // of this start of the target, in most cases
    std::string service;
    Address address;
    std::string zone;
    int slots = 1;
    bool leaving = false;
    milliseconds coldRemaining{ 0 };  // how much longer it is cold, from the moment of the entry
    std::int64_t startedAtUnixMs = 0; // 0 if unknown
};

// How the objects of the platform's store are named and read.
struct FleetObjectFormat
{
    std::string configKind;
    std::string configName;
    std::string targetKind;
    std::string evacuationKind; // an object named after a zone asks to send nothing there

    std::function<Result<FleetConfig>(const StoredObject &)> parseConfig;
    std::function<Result<RegisteredTarget>(const StoredObject &)> parseTarget;
};

} // namespace basildeck
