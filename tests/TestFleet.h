#pragma once

#include "cli/EntryProcess.h"
#include "standin/RawSocket.h"
#include "standin/StoreStandin.h"
#include "standin/UpstreamStandin.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basildeck::test {

// A fleet of entry VMs with a store stand-in and upstream stand-ins, all in this process and on the
// loopback interface.
//
// Service "main" has the configured targets, "dead" has a target without a listener, "none" has no
// targets. Routes are named after their paths: /main, /once (never idempotent), /open (no key
// required), /limited (organisation "alpha" only), /short (timeout of 300 ms), /dead, /none. The
// organisations "alpha" and "beta" have ample rates; "small" may send one request in 1000 s.
class TestFleet
{
public:
    struct Options
    {
        int vms = 1;
        int targets = 3;
        int slots = 4;
        std::size_t maxBodyBytes = 2'000'000;
        std::string targetRegion = "north"; // or "south", which has no VMs
        double linkBytesPerSecond
                = 1e9; // capacity of each of the links between "north" and "south"
    };

    static constexpr const char *alphaKey = "alpha-key-0123456789";
    static constexpr const char *betaKey = "beta-key-0123456789";
    static constexpr const char *smallKey = "small-key-0123456789";
    static constexpr const char *token = "operator-token";

    explicit TestFleet(const Options &options);
    ~TestFleet();

    const Address &proxyAddress(std::size_t vm = 0) const { return m_settings[vm].callerAddress; }
    const Address &operatorAddress(std::size_t vm = 0) const
    {
        return m_settings[vm].operatorAddress;
    }
    standin::StoreStandin &store() { return *m_store; }
    const Address &storeAddress() const { return m_storeAddress; }
    standin::UpstreamStandin &upstream(std::size_t index) { return *m_upstreams[index]; }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    EntryProcess &vm(std::size_t index) { return *m_vms[index]; }
    std::uint64_t upstreamRunCount() const;
    std::uint64_t upstreamKeysSeen() const;

    // Starts a VM, or restarts one that was stopped.
    void startVm(std::size_t index);
    // Makes a VM leave immediately and destroys it.
    void stopVm(std::size_t index);

    // Sends a request to the admin API of a VM.
    standin::RawResponse adminRequest(const std::string &method, const std::string &path,
                                      const nlohmann::json &body = {}, std::size_t vm = 0);
    nlohmann::json status(std::size_t vm = 0);
    std::string metrics(std::size_t vm = 0);

    // Waits until a condition is true. Fails the test after 15 s.
    static void waitFor(const std::string &what, const std::function<bool()> &condition);

    // Returns a fleet with one VM that is shared by the tests of single requests.
    static TestFleet &shared();

private:
    nlohmann::json config(const Options &options) const;

    std::unique_ptr<standin::StoreStandin> m_store;
    Address m_storeAddress;
    std::vector<std::unique_ptr<standin::UpstreamStandin>> m_upstreams;
    std::vector<Settings> m_settings;
    std::vector<std::unique_ptr<EntryProcess>> m_vms;
};

// Builds a request with an API key in the Authorization header.
std::string makeAuthorizedRequest(const std::string &method, const std::string &path,
                                  const std::string &key, std::vector<HttpHeader> headers = {},
                                  const std::string &body = "");

} // namespace basildeck::test
