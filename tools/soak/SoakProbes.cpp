#include "soak/SoakProbes.h"

#include <algorithm>

namespace basildeck::soak {

namespace {

constexpr Duration probeTimeout = milliseconds(2500);

} // namespace

SoakProbes::SoakProbes(EventLoop &loop, SoakVms &vms, const SoakOperator &fleetOperator)
    : m_loop(loop)
    , m_vms(vms)
    , m_operator(fleetOperator)
    , m_timer(loop, [this] { probeAll(); })
{}

void SoakProbes::start()
{
    m_timer.startRepeating(interval);
}

Time SoakProbes::shownAt(std::size_t vm, int version) const
{
    Time first = Time::max();
    for (const auto &[id, probe] : m_probes) {
        if (probe.vm == vm && probe.status == 200 && probe.version >= version)
            first = std::min(first, probe.answeredAt);
    }
    return first;
}

void SoakProbes::probeAll()
{
    for (std::size_t vm = 0; vm < m_vms.count(); ++vm) {
        const auto seen = m_seenVersions.find({ vm, m_vms.currentProcess(vm) });
        if (seen != m_seenVersions.end() && seen->second != m_operator.version())
            probe(vm, seen->second);
        probe(vm, m_operator.version());
    }
}

void SoakProbes::probe(std::size_t vm, int version)
{
    auto connection = HttpClientConnection::make(m_loop, m_vms.callerAddress(vm));
    if (!connection)
        return;
    const std::string id = "probe-" + std::to_string(m_nextNumber++);
    m_probes[id] = { vm, m_vms.currentProcess(vm), version,
                     m_operator.acknowledgements().at(version), m_loop.now() };
    HttpClientConnection &raw = *connection;
    m_connections[id] = std::move(connection);
    raw.begin({ "GET " + SoakOperator::versionPrefix(version)
                        + " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + id
                        + "\r\nApi-Key: key-alpha\r\nExpected-Organisation: alpha\r\n"
                          "Deadline-Ms: 1500\r\n\r\n",
                false,
                [this, id](const MessageHead &head) {
                    m_probes[id].status = head.status;
                    return true;
                },
                [](std::string_view) {}, [this, id] { finish(id, m_probes[id].status); },
                [this, id](ExchangeFailure) { finish(id, 0); } });
    callLater(m_loop, probeTimeout, [this, id] { finish(id, 0); });
}

void SoakProbes::finish(const std::string &id, int status)
{
    const auto connection = m_connections.find(id);
    if (connection == m_connections.end())
        return;
    ProbeRecord &probe = m_probes[id];
    probe.status = status;
    probe.answeredAt = m_loop.now();
    if (status == 200) {
        int &seen = m_seenVersions[{ probe.vm, probe.process }];
        seen = std::max(seen, probe.version);
    }
    connection->second->close();
    m_loop.deleteLater(std::move(connection->second));
    m_connections.erase(connection);
}

} // namespace basildeck::soak
