// The part of EdgeProcess that formats its metrics.

#include "edge/EdgeProcess.h"

namespace basildeck {

std::string EdgeProcess::metricsText() const
{
    std::string text = m_forwarder.metrics().prometheusText() + m_forwarder.peerMetricsText()
                       + m_forwarder.placementMetricsText() + m_forwarder.accessMetricsText()
                       + m_partition.metricsText() + m_forwarder.memory().metricsText();
    const auto add = [&](const std::string &name, std::uint64_t value) {
        text += name + " " + std::to_string(value) + "\n";
    };
    add("basildeck_build_info{version=\"" BASILDECK_VERSION "\"}", 1);
    add("basildeck_directory_lookups_total", m_lookupCount);
    add("basildeck_store_calls_total", m_view->storeCallCount());
    add("basildeck_relay_objects_formatted_total", m_view->relay().formattedCount());
    std::uint64_t unsentBytes = 0;
    for (const auto &server : m_controlServers)
        unsentBytes += server->unsentBytes();
    add("basildeck_control_unsent_bytes", unsentBytes);
    add("basildeck_open_requests", m_forwarder.openRequests());
    add("basildeck_caller_connections", m_callerServer->connectionCount());
    const QuotaManager &quotas = m_forwarder.quotas();
    add("basildeck_quota_tokens_lent_total", static_cast<std::uint64_t>(quotas.lent()));
    add("basildeck_quota_tokens_borrowed_total", static_cast<std::uint64_t>(quotas.borrowed()));
    add("basildeck_quota_requests_waited_total", quotas.waited());
    add("basildeck_quota_requests_refused_total", quotas.refused());
    add("basildeck_targets", m_targets.size());
    add("basildeck_targets_leaving", m_targets.leavingCount());
    add("basildeck_targets_held_off", m_targets.heldOffCount(m_loop.now()));
    add("basildeck_targets_limited", m_targets.limitedCount());
    add("basildeck_registered_vms", m_peers.knownVmCount());
    add("basildeck_reachable_vms", m_peers.reachable(m_loop.now()).size() + 1);
    for (const auto &[kind, version] : m_view->versions()) {
        add("basildeck_store_era{kind=\"" + kind + "\"}", version.era);
        add("basildeck_store_revision{kind=\"" + kind + "\"}", version.revision);
    }
    for (const auto &[kind, age] : m_view->storeCallAges()) {
        add("basildeck_store_call_age_ms{kind=\"" + kind + "\"}",
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
    for (const auto &[kind, age] : m_view->confirmedAges()) {
        add("basildeck_replica_confirmed_age_ms{kind=\"" + kind + "\"}",
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(age).count()));
    }
    for (const auto &[kind, count] : m_forwarder.refusalsByOldConfig()) {
        add("basildeck_refusals_by_old_config_total{reason=\""
                    + std::string(errorResponse(kind).name) + "\"}",
            count);
    }
    return text;
}

} // namespace basildeck
