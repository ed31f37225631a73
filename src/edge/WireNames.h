#pragma once

#include "basildeck/ErrorKind.h"

#include <string>

namespace basildeck {

// The header names by which an edge speaks with callers and targets.
struct WireNames
{
    // In requests.
    std::string requestId;
    std::string timeoutMs;      // how long the caller waits
    std::string apiKey;         // never passed on
    std::string organisation;   // set for targets
    std::string expectedTarget; // set for targets: any other one refuses
    std::string affinityCookie; // names the object of a request

    // In answers of targets.
    std::string notExecuted;  // present when the target did not run the request
    std::string responseSeal; // the target's signature of its answer
    std::string serverLoad;   // running, waiting and slots

    // Status with which a target refuses a request that expects another one.
    int misdirectedStatus = 421;

    // The status of an answer that basildeck makes itself.
    int (*refusalStatus)(ErrorKind kind) = nullptr;
};

} // namespace basildeck
