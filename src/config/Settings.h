#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"

#include <string>
#include <vector>

namespace basildeck {

// The settings of one entry VM, loaded from an INI file when the process starts.
struct Settings
{
    std::string vmName;
    std::string region;
    std::string zone;
    Address callerAddress;
    Address operatorAddress;
    Address peerAddress;
    std::vector<Address> storeAddresses;
    std::string storeRegion;
    std::vector<Address> seedPeers;
    std::string operatorToken;
    std::string certificateFile; // empty: no TLS towards callers
    std::string privateKeyFile;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxConnections = 0;
    seconds headTimeout{ 0 };
    milliseconds leaveGrace{ 0 };

    // Loads and validates a file. The error names the file, the section, the key and the reason.
    static Result<Settings> load(const std::string &file);
};

} // namespace basildeck
