#pragma once

#include "basildeck/Time.h"
#include "config/Address.h"

#include <cstdint>
#include <map>
#include <string>

namespace basildeck {

// Bounds that the operator of the platform sets.
struct EdgeBounds
{
    Duration shutdownGrace = seconds(6); // from SIGTERM to SIGKILL
    Duration maxLookupTtl = seconds(5);  // of an answer to a look-up
    double retryRatio = 0.2;             // retries for each request, over the fleet
    double retrySlack = 0;               // retries besides, in each window
    double quotaOvershoot = 0;           // part of a quota that a window may exceed it by
    Duration quotaWindow = seconds(5);   // in which quotas are counted
    double quotaSlack = 0;               // requests in a window besides
    double coldOvershoot = 1;            // factor on what a cold target bears
    double coldSlack = 0;                // requests a second besides
};

// The settings of one entry VM on a platform that names no peers.
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
    std::uint16_t firstPeerPort = 0; // UDP and TCP ports for traffic between VMs
    std::uint16_t lastPeerPort = 0;
    std::size_t memoryBytes = 0;
    EdgeBounds bounds;

    // The ports in use out of the range.
    Address gossipAddress() const { return { ip, firstPeerPort }; }
    Address relayAddress() const { return { ip, static_cast<std::uint16_t>(firstPeerPort + 1) }; }
};

} // namespace basildeck
