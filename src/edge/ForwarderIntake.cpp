// The part of Forwarder that takes requests from VMs that are partitioned from the targets.

#include "edge/Forwarder.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
constexpr Duration declineRetryAfter = milliseconds(300);
constexpr Duration quarantineRetryAfter = seconds(2);

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view pathWithoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool hasService(const Route &route, const std::string &service)
{
    if (route.weightedServices.empty())
        return route.service == service;
    return std::any_of(route.weightedServices.begin(), route.weightedServices.end(),
                       [&](const WeightedService &part) { return part.service == service; });
}

const Organisation *findOrganisationByName(const FleetConfig &config, const std::string &name)
{
    const auto found = std::find_if(config.organisations.begin(), config.organisations.end(),
                                    [&](const Organisation &o) { return o.name == name; });
    return found == config.organisations.end() ? nullptr : &*found;
}

ErrorKind errorKindOf(ForwardingDecline reason)
{
    switch (reason) {
    case ForwardingDecline::Leaving:
        return ErrorKind::Leaving;
    case ForwardingDecline::Busy:
        return ErrorKind::QueueFull;
    case ForwardingDecline::NotConfigured:
        return ErrorKind::NoConfiguration;
    default:
        return ErrorKind::NoTarget;
    }
}

} // namespace

void Forwarder::decline(const ResponseSink &sink, ForwardingDecline reason,
                        const std::string &requestId, const std::string &vm, bool closesConnection)
{
    BASILDECK_INFO(logComponent) << "declined request=" << requestId << " for=" << vm
                                 << " reason=" << forwardingDeclineName(reason);
    m_peerIntake.decline(reason);
    const ErrorKind kind = errorKindOf(reason);
    LocalReply reply = makeRefusal(kind, m_names.refusalStatus(kind), m_names.requestId, requestId,
                                   declineRetryAfter);
    ForwardingOutcome outcome;
    outcome.decline = reason;
    outcome.retryAfter = declineRetryAfter;
    reply.head += serializeForwardingOutcome(outcome);
    sink.head(reply.head);
    sink.body(reply.body);
    sink.finish(closesConnection);
}

void Forwarder::declineUnreadable(const ResponseSink &sink, ErrorKind kind)
{
    decline(sink,
            kind == ErrorKind::QueueFull ? ForwardingDecline::Busy : ForwardingDecline::Invalid, {},
            {}, true);
}

Forwarder::RequestId Forwarder::submitForPeer(IncomingRequest incoming)
{
    const Time now = m_loop.now();
    std::string callerRequestId;
    if (const std::string *field = incoming.head.fields.find(m_names.requestId))
        callerRequestId = *field;
    const auto terms = parseForwardingTerms(incoming.head.fields);
    if (!terms) {
        decline(incoming.sink, ForwardingDecline::Invalid, callerRequestId, {}, false);
        return 0;
    }
    const RequestId id = m_nextId++;
    auto newRequest = std::make_unique<Request>();
    Request &request = *newRequest;
    request.id = id;
    request.submittedAt = now;
    request.incoming = std::move(incoming);
    request.callerRequestId = std::move(callerRequestId);
    request.routing = m_routing;
    if (const auto reason = takeForPeer(request, *terms)) {
        decline(request.incoming.sink, *reason, request.callerRequestId, terms->vm, false);
        return 0;
    }
    m_requests.emplace(id, std::move(newRequest));
    m_peerIntake.accept();
    BASILDECK_INFO(logComponent) << "accepted request=" << request.callerRequestId
                                 << " for=" << request.takenFor << " route=" << request.route->name
                                 << " organisation=" << organisationName(request);
    startDeadlineTimer(request);
    if (m_crashQuarantine.mayRun(request.fingerprint, now))
        dispatch(request);
    else
        refuse(request, ErrorKind::Quarantined, quarantineRetryAfter);
    return id;
}

std::optional<ForwardingDecline> Forwarder::takeForPeer(Request &request,
                                                        const ForwardingTerms &terms)
{
    if (m_shutdown)
        return ForwardingDecline::Leaving;
    if (m_peerForwarding.isPartitioned())
        return ForwardingDecline::Partitioned;
    if (m_peerIntake.isFull())
        return ForwardingDecline::Busy;
    if (!m_routing)
        return ForwardingDecline::NotConfigured;
    const HeaderFields &fields = request.incoming.head.fields;
    const std::string &target = request.incoming.head.request.target;
    const std::string *host = fields.find("host");
    if (host == nullptr || fields.count("host") > 1 || target.empty() || target.front() != '/')
        return ForwardingDecline::Invalid;
    request.route = m_routing->findRoute(hostWithoutPort(*host), pathWithoutQuery(target));
    if (request.route == nullptr || request.route->name != terms.route
        || !hasService(*request.route, terms.service))
        return ForwardingDecline::NotConfigured;
    if (!terms.organisation.empty()) {
        request.organisation = findOrganisationByName(m_routing->config(), terms.organisation);
        if (request.organisation == nullptr)
            return ForwardingDecline::NotConfigured;
    } else if (m_routing->requiresApiKeys() && !request.route->open) {
        return ForwardingDecline::NotConfigured;
    }
    applyPolicy(request);
    const std::vector<std::string> &regions = request.allowedRegions;
    if (!regions.empty()
        && std::find(regions.begin(), regions.end(), m_settings.region) == regions.end())
        return ForwardingDecline::RegionNotAllowed;
    request.takenFor = terms.vm;
    request.service = terms.service;
    request.priority = terms.priority;
    request.placementHash = terms.placementHash;
    request.triedTargets = terms.triedTargets;
    request.maxAttempts = std::min(terms.attempts, request.route->attempts);
    const Time receivedAt = request.incoming.receivedAt;
    const Duration timeout = milliseconds(request.route->timeoutMs);
    request.deadline = receivedAt + std::min(terms.untilDeadline, timeout);
    request.softDeadline = std::min(receivedAt + terms.untilObjective, request.deadline);
    return std::nullopt;
}

} // namespace basildeck
