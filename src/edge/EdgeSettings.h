#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"
#include "decide/directory/VmCapacity.h"

#include <cstdint>
#include <map>
#include <string>

namespace basildeck {

// Bounds configured by the operator of the platform.
struct EdgeBounds
{
    Duration shutdownGrace = seconds(6); // from SIGTERM to SIGKILL
    Duration maxLookupTtl = seconds(5);  // of a lookup response
    double retryRatio = 0.2;             // retries per request, across the fleet
    double retrySlack = 0;               // additional retries per window
    double quotaOvershoot = 0;           // fraction by which a window may exceed its quota
    Duration quotaWindow = seconds(5);   // over which quotas are counted
    double quotaSlack = 0;               // additional requests per window
    double coldOvershoot = 1;            // factor on the request rate of a cold target
    double coldSlack = 0;                // additional requests per second
};

// The settings of an entry VM on a platform whose settings do not list the other VMs.
struct EdgeSettings
{
    std::string vmName;
    std::string region;
    std::string zone;
    std::map<std::string, std::string> zoneRegions; // region of each zone
    std::string ip;
    Address callerAddress;
    Address readyAddress;
    Address lookupAddress;
    Address storeAddress;
    std::uint16_t firstPeerPort = 0; // port range for UDP and TCP traffic between VMs
    std::uint16_t lastPeerPort = 0;
    std::size_t memoryBytes = 0;
    VmCapacity capacity;
    int hedgePercent = 0; // of 100 requests, how many may get a second attempt while the first runs
    EdgeBounds bounds;

    // The addresses in use from the port range.
    Address gossipAddress() const { return { ip, firstPeerPort }; }
    Address relayAddress() const { return { ip, static_cast<std::uint16_t>(firstPeerPort + 1) }; }
    // Where this VM takes requests from VMs that are partitioned from the targets.
    Address forwardingAddress() const
    {
        return { ip, static_cast<std::uint16_t>(firstPeerPort + 2) };
    }
};

} // namespace basildeck
