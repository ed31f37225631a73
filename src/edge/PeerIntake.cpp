#include "edge/PeerIntake.h"

namespace basildeck {

namespace {

std::string metricLine(const std::string &name, std::uint64_t value)
{
    return "basildeck_" + name + " " + std::to_string(value) + "\n";
}

std::string metricLine(const std::string &name, std::string_view reason, std::uint64_t value)
{
    return metricLine(name + "{reason=\"" + std::string(reason) + "\"}", value);
}

} // namespace

void PeerIntake::accept()
{
    ++m_open;
    ++m_accepted;
}

std::string PeerIntake::metricsText() const
{
    std::string text = metricLine("open_for_peers", static_cast<std::uint64_t>(m_open))
                       + metricLine("accepted_for_peers_total", m_accepted);
    for (const auto &[decline, count] : m_declined)
        text += metricLine("declined_for_peers_total", forwardingDeclineName(decline), count);
    for (const auto &[kind, count] : m_refused)
        text += metricLine("refused_for_peers_total", errorResponse(kind).name, count);
    return text;
}

} // namespace basildeck
