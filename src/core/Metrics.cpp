#include "core/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>

namespace basildeck {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles = { 0.5, 0.95, 0.99 };

using LatencyAccumulator = accumulators::accumulator_set<
        double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                    accumulators::tag::extended_p_square_quantile>>;

std::string escapeLabel(const std::string &label)
{
    std::string result;
    for (const char character : label) {
        if (character == '"' || character == '\\')
            result += '\\';
        result += character == '\n' ? ' ' : character;
    }
    return result;
}

std::string routeLabels(const std::string &route, const std::string &organisation)
{
    return "route=\"" + escapeLabel(route) + "\",organisation=\"" + escapeLabel(organisation)
           + "\"";
}

void writeMetricHeader(std::ostream &out, const char *name, const char *type, const char *help)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

} // namespace

struct Metrics::Latency
{
    LatencyAccumulator accumulator{ accumulators::extended_p_square_probabilities = quantiles };
};

std::string_view retryReasonName(RetryReason reason)
{
    static constexpr std::array<std::string_view, 3> names
            = { "connect-failed", "shed", "lost-idempotent" };
    return names.at(static_cast<std::size_t>(reason));
}

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::countRequest(const std::string &route, const std::string &organisation)
{
    ++m_requests[{ route, organisation }];
}

void Metrics::countTruncatedResponse(const std::string &route, const std::string &organisation)
{
    ++m_truncatedResponses[{ route, organisation }];
}

void Metrics::countRefusal(ErrorKind kind, const std::string &route,
                           const std::string &organisation)
{
    ++m_refusals[{ kind, route, organisation }];
}

void Metrics::countRetry(RetryReason reason, const std::string &route,
                         const std::string &organisation)
{
    ++m_retries[{ reason, route, organisation }];
}

void Metrics::recordLatency(const std::string &route, Duration latency)
{
    auto &entry = m_latencies[route];
    if (!entry)
        entry = std::make_unique<Latency>();
    entry->accumulator(toSeconds(latency));
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    writeMetricHeader(out, "basildeck_lookups_total", "counter", "Look-ups answered.");
    out << "basildeck_lookups_total " << m_lookups << '\n';
    writeMetricHeader(out, "basildeck_requests_total", "counter", "Requests taken.");
    for (const auto &[key, count] : m_requests)
        out << "basildeck_requests_total{" << routeLabels(key.first, key.second) << "} " << count
            << '\n';
    writeMetricHeader(out, "basildeck_refusals_total", "counter", "Requests refused, by reason.");
    for (const auto &[key, count] : m_refusals) {
        const auto &[kind, route, organisation] = key;
        out << "basildeck_refusals_total{reason=\"" << errorResponse(kind).name << "\","
            << routeLabels(route, organisation) << "} " << count << '\n';
    }
    writeMetricHeader(out, "basildeck_retries_total", "counter", "Requests sent again, by reason.");
    for (const auto &[key, count] : m_retries) {
        const auto &[reason, route, organisation] = key;
        out << "basildeck_retries_total{reason=\"" << retryReasonName(reason) << "\","
            << routeLabels(route, organisation) << "} " << count << '\n';
    }
    writeMetricHeader(out, "basildeck_cut_answers_total", "counter", "Answers cut short.");
    for (const auto &[key, count] : m_truncatedResponses)
        out << "basildeck_cut_answers_total{" << routeLabels(key.first, key.second) << "} " << count
            << '\n';
    writeMetricHeader(out, "basildeck_target_failures_total", "counter",
                      "Sends without an acceptable answer, by how they ended.");
    for (const auto &[how, count] : m_targetFailures)
        out << "basildeck_target_failures_total{how=\"" << how << "\"} " << count << '\n';
    writeMetricHeader(out, "basildeck_request_seconds", "summary",
                      "Time from head to end of answer.");
    for (const auto &[route, latency] : m_latencies) {
        const LatencyAccumulator &accumulator = latency->accumulator;
        for (const double quantile : quantiles) {
            const double value = accumulators::quantile(
                    accumulator, accumulators::quantile_probability = quantile);
            out << "basildeck_request_seconds{route=\"" << escapeLabel(route) << "\",quantile=\""
                << quantile << "\"} " << value << '\n';
        }
        out << "basildeck_request_seconds_sum{route=\"" << escapeLabel(route) << "\"} "
            << accumulators::sum(accumulator) << '\n';
        out << "basildeck_request_seconds_count{route=\"" << escapeLabel(route) << "\"} "
            << accumulators::count(accumulator) << '\n';
    }
    writeHedges(out);
    return out.str();
}

void Metrics::writeHedges(std::ostream &out) const
{
    const auto write = [&](const char *name, const char *help, auto value) {
        writeMetricHeader(out, name, "counter", help);
        for (const auto &[route, hedges] : m_hedges)
            out << name << "{route=\"" << escapeLabel(route) << "\"} " << value(hedges) << '\n';
    };
    if (!m_hedges.empty()) {
        write("basildeck_hedges_started_total", "Second attempts started.",
              [](const Hedges &hedges) { return hedges.started; });
        write("basildeck_hedges_won_total", "Second attempts whose answer was used.",
              [](const Hedges &hedges) { return hedges.won; });
        write("basildeck_hedges_wasted_ms_total", "Run time of attempts whose answer was not used.",
              [](const Hedges &hedges) {
                  return std::chrono::duration_cast<milliseconds>(hedges.wasted).count();
              });
    }
    if (m_hedgeDenials.empty())
        return;
    writeMetricHeader(out, "basildeck_hedges_denied_total", "counter",
                      "Slow requests without a second attempt, by reason.");
    for (const auto &[reason, count] : m_hedgeDenials)
        out << "basildeck_hedges_denied_total{reason=\"" << reason << "\"} " << count << '\n';
}

} // namespace basildeck
