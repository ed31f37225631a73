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

// Entry VMs, a store stand-in and upstream stand-ins on loopback, in this process.
//
// Service "main" has the given targets; "dead" has one that nobody listens on; "none" has no
// target. Routes are named like their path: /main, /once (never idempotent), /open (no key),
// /limited (organisation "alpha" only), /short (300 ms), /dead, /none. Organisations: "alpha" and
// "beta" with room, "small" with one request in 1000 s.
class Fleet
{
public:
    struct Options
    {
        int vms = 1;
        int targets = 3;
        int slots = 4;
        std::size_t maxBodyBytes = 2'000'000;
        std::string targetRegion = "north"; // or "south", where no VM is
        double linkBytesPerSecond = 1e9;    // from and to "south"
    };

    static constexpr const char *alphaKey = "alpha-key-0123456789";
    static constexpr const char *betaKey = "beta-key-0123456789";
    static constexpr const char *smallKey = "small-key-0123456789";
    static constexpr const char *token = "operator-token";

    explicit Fleet(const Options &options);
    ~Fleet();

    const Address &caller(std::size_t vm = 0) const { return m_settings[vm].callerAddress; }
    const Address &operatorAddress(std::size_t vm = 0) const
    {
        return m_settings[vm].operatorAddress;
    }
    standin::StoreStandin &store() { return *m_store; }
    standin::UpstreamStandin &upstream(std::size_t index) { return *m_upstreams[index]; }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    EntryProcess &vm(std::size_t index) { return *m_vms[index]; }
    std::uint64_t upstreamRuns() const;
    std::uint64_t keysSeen() const;

    // Starts one more VM, or one that has ended.
    void startVm(std::size_t index);
    // Ends a VM at once and forgets it.
    void stopVm(std::size_t index);

    // Sends a request to the administration API of a VM.
    standin::RawResponse admin(const std::string &method, const std::string &path,
                               const nlohmann::json &body = {}, std::size_t vm = 0);
    nlohmann::json status(std::size_t vm = 0);
    std::string metrics(std::size_t vm = 0);

    // Waits until a condition holds; fails the test if it does not within 15 s.
    static void waitFor(const std::string &what, const std::function<bool()> &condition);

    // A fleet with one VM that the tests of one request share.
    static Fleet &shared();

private:
    nlohmann::json config(const Options &options) const;

    std::unique_ptr<standin::StoreStandin> m_store;
    Address m_storeAddress;
    std::vector<std::unique_ptr<standin::UpstreamStandin>> m_upstreams;
    std::vector<Settings> m_settings;
    std::vector<std::unique_ptr<EntryProcess>> m_vms;
};

// A request with a key.
std::string keyed(const std::string &method, const std::string &path, const std::string &key,
                  std::vector<HttpHeader> headers = {}, const std::string &body = "");

} // namespace basildeck::test
