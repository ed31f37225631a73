#pragma once

#include "edge/HttpClientConnection.h"
#include "soak/SoakOperator.h"
#include "soak/SoakVms.h"

#include <map>
#include <memory>
#include <string>

namespace basildeck::soak {

// A request on the route that a version of the configuration added.
struct ProbeRecord
{
    std::size_t vm = 0;
    std::size_t process = 0;
    int version = 0;
    Time acknowledgedAt; // of the version, last before the probe was sent
    Time sentAt;
    Time answeredAt;
    int status = 0; // of the complete response, 0 if there was none
};

// Asks each VM repeatedly whether the newest version of the configuration is in force at it, and
// whether the newest one whose effect its process has shown still is.
class SoakProbes
{
public:
    // How often each VM is asked.
    static constexpr Duration interval = milliseconds(250);

    SoakProbes(EventLoop &loop, SoakVms &vms, const SoakOperator &fleetOperator);

    void start();
    void stop() { m_timer.stop(); }
    const std::map<std::string, ProbeRecord> &probes() const { return m_probes; }
    // When a VM first showed the effect of a version or a newer one; Time::max() if it did not.
    Time shownAt(std::size_t vm, int version) const;

private:
    void probeAll();
    void probe(std::size_t vm, int version);
    void finish(const std::string &id, int status);

    EventLoop &m_loop;
    SoakVms &m_vms;
    const SoakOperator &m_operator;
    Timer m_timer;
    std::map<std::string, ProbeRecord> m_probes;
    std::map<std::string, std::unique_ptr<HttpClientConnection>> m_connections; // by probe
    // The newest version whose effect was seen, by VM and process.
    std::map<std::pair<std::size_t, std::size_t>, int> m_seenVersions;
    std::uint64_t m_nextNumber = 1;
};

} // namespace basildeck::soak
