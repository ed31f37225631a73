#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"

#include <string>
#include <vector>

namespace basildeck {

// The settings of one entry VM, read from an INI file once at start.
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
    std::string certificateFile; // empty: callers are served without TLS
    std::string privateKeyFile;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxConnections = 0;
    seconds headTimeout{ 0 };
    milliseconds leaveGrace{ 0 };

    // Reads and checks a file. The error names the file, the section, the key and the reason.
    static Result<Settings> load(const std::string &file);
};

} // namespace basildeck
