#pragma once

#include "cli/EntryProcess.h"
#include "standin/LoadGenerator.h"
#include "standin/RawSocket.h"
#include "standin/StoreStandin.h"
#include "standin/UpstreamStandin.h"

#include <memory>
#include <string>
#include <vector>

namespace basildeck::bench {

// Entry VMs, a store stand-in and upstream stand-ins in this process. The rate limit of its only
// organisation is far above any load of the benchmarks.
class BenchFleet
{
public:
    BenchFleet(int vms, int targets);
    ~BenchFleet();

    const Address &caller(std::size_t vm) const { return m_settings[vm].callerAddress; }
    standin::UpstreamStandin &upstream(std::size_t index) { return *m_upstreams[index]; }
    // Builds a request that carries the organisation's key.
    std::string request(const std::string &method, const std::string &path) const;

private:
    std::unique_ptr<standin::StoreStandin> m_store;
    std::vector<std::unique_ptr<standin::UpstreamStandin>> m_upstreams;
    std::vector<Settings> m_settings;
    std::vector<std::unique_ptr<EntryProcess>> m_vms;
};

} // namespace basildeck::bench
