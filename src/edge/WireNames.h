#pragma once

#include "basildeck/ErrorKind.h"

#include <string>

namespace basildeck {

// The header names used between the edge and callers or targets.
struct WireNames
{
    // In requests.
    std::string requestId;
    std::string timeoutMs;      // the caller's timeout
    std::string apiKey;         // never forwarded
    std::string organisation;   // set for targets
    std::string expectedTarget; // set for targets; a target with another id refuses the request
    std::string affinityCookie; // identifies the object of a request

    // In responses of targets.
    std::string notExecuted;  // present if the target did not execute the request
    std::string responseSeal; // the target's signature of the response
    std::string serverLoad;   // running, waiting, slots and speed
    // The target is leaving. Concerns the VMs and the target, so callers do not get it: they would
    // take it for the VM's own leaving.
    std::string serverLeaving;
    // The requests per second that the target takes from all VMs together. Not for callers either.
    std::string serverLimit;

    // Status of a target that received a request for another target.
    int misdirectedStatus = 421;

    // Returns the status of a refusal by basildeck itself.
    int (*refusalStatus)(ErrorKind kind) = nullptr;
};

} // namespace basildeck
