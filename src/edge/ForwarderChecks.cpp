// The part of Forwarder that checks requests before they are dispatched.

#include "edge/Forwarder.h"

#include "core/Hash.h"
#include "core/Log.h"
#include "decide/AllowedRegions.h"
#include "edge/ConfirmedAge.h"

#include <algorithm>
#include <charconv>

namespace basildeck {

namespace {

constexpr const char *logComponent = "forward";
constexpr Duration quarantineRetryAfter = seconds(2);
// How often requests that wait for a quota token are checked, in addition to each incoming loan.
constexpr Duration tokenPollPeriod = milliseconds(20);

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::string_view pathWithoutQuery(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace

bool Forwarder::findRoute(Request &request)
{
    const MessageHead &head = request.incoming.head;
    const std::string *host = head.fields.find("host");
    if (host == nullptr || head.fields.count("host") > 1 || head.request.target.empty()
        || head.request.target.front() != '/') {
        refuse(request, ErrorKind::BadRequest);
        return false;
    }
    request.route = request.routing->findRoute(hostWithoutPort(*host),
                                               pathWithoutQuery(head.request.target));
    if (request.route == nullptr) {
        refuse(request, ErrorKind::UnknownRoute);
        return false;
    }
    return true;
}

bool Forwarder::authenticate(Request &request)
{
    if (!request.routing->requiresApiKeys() || request.route->open)
        return true;
    const HeaderFields &fields = request.incoming.head.fields;
    const std::string *key = fields.find(m_names.apiKey);
    if (key == nullptr || fields.count(m_names.apiKey) > 1) {
        refuse(request, ErrorKind::KeyMissing);
        return false;
    }
    request.organisation = request.routing->findOrganisation(*key);
    if (request.organisation == nullptr) {
        refuse(request, ErrorKind::KeyUnknown);
        return false;
    }
    return true;
}

void Forwarder::setConfigAge(ConfigAge configAge, Duration oldAge)
{
    m_configAge = std::move(configAge);
    m_oldConfigAge = oldAge;
}

std::string Forwarder::noteConfigAge(ErrorKind kind)
{
    if (kind != ErrorKind::KeyUnknown && kind != ErrorKind::KeyMissing
        && kind != ErrorKind::UnknownRoute && kind != ErrorKind::OrganisationNotAllowed)
        return {};
    const auto age = m_configAge ? m_configAge() : std::nullopt;
    if (age && *age > m_oldConfigAge)
        ++m_refusalsByOldConfig[kind];
    return " config_confirmed_ms=" + confirmedAgeText(age);
}

void Forwarder::prepare(Request &request)
{
    const HeaderFields &fields = request.incoming.head.fields;
    const Route &route = *request.route;
    const Time receivedAt = request.incoming.receivedAt;
    milliseconds timeout(route.timeoutMs);
    if (const std::string *requestedTimeout = fields.find(m_names.timeoutMs)) {
        std::int64_t count = 0;
        const auto [end, error]
                = std::from_chars(requestedTimeout->data(),
                                  requestedTimeout->data() + requestedTimeout->size(), count);
        if (error == std::errc() && count > 0)
            timeout = std::min(timeout, milliseconds(count));
    }
    request.deadline = receivedAt + timeout;
    request.softDeadline = route.latencyObjectiveMs > 0
                                   ? receivedAt + milliseconds(route.latencyObjectiveMs)
                                   : request.deadline;
    request.service = request.routing->chooseService(route);
    request.maxAttempts = route.attempts;
    applyPolicy(request);
    const std::string *cookies = fields.find("cookie");
    const std::string_view object = cookies == nullptr
                                            ? std::string_view()
                                            : cookieValue(*cookies, m_names.affinityCookie);
    request.placementHash
            = route.affinity && !object.empty()
                      ? stableHash(route.name, object)
                      : stableHash(request.callerRequestId, std::to_string(request.id));
    m_metrics.countRequest(route.name, organisationName(request));
    m_retryBudgets[request.service].recordRequest();
    m_hedges.recordRequest(request.service);
    startDeadlineTimer(request);
}

void Forwarder::applyPolicy(Request &request)
{
    const Route &route = *request.route;
    request.priority = route.priority;
    request.allowedRegions = route.allowedRegions;
    if (request.organisation != nullptr) {
        request.priority = request.organisation->priority.value_or(route.priority);
        request.allowedRegions
                = intersectRegions(route.allowedRegions, request.organisation->allowedRegions);
    }
    // Identical at all VMs, which share their findings about requests that crash targets.
    request.fingerprint = stableHash(
            request.incoming.head.request.method + " " + request.incoming.head.request.target + " "
                    + (request.organisation == nullptr ? "" : request.organisation->name),
            request.incoming.body.text());
}

void Forwarder::startDeadlineTimer(Request &request)
{
    request.deadlineTimer
            = std::make_unique<Timer>(m_loop, [this, &request] { handleDeadline(request); });
    request.deadlineTimer->startOnce(std::max(Duration::zero(), request.deadline - m_loop.now()));
}

bool Forwarder::checkLimits(Request &request)
{
    const Time now = m_loop.now();
    if (!m_crashQuarantine.mayRun(request.fingerprint, now)) {
        refuse(request, ErrorKind::Quarantined, quarantineRetryAfter);
        return false;
    }
    if (request.organisation == nullptr)
        return true;
    switch (m_quotas.admit(request.organisation->name, request.id, now)) {
    case QuotaDecision::Admitted:
        return true;
    case QuotaDecision::Waiting:
        request.isWaitingForToken = true;
        BASILDECK_INFO(logComponent)
                << "waiting for a quota token request=" << request.callerRequestId
                << " organisation=" << request.organisation->name;
        m_tokenTimer.startOnce(tokenPollPeriod);
        return false;
    case QuotaDecision::Refused:
        refuseOverQuota(request);
        return false;
    }
    return false;
}

void Forwarder::refuseOverQuota(Request &request)
{
    const Time now = m_loop.now();
    const std::string &organisation = request.organisation->name;
    std::string detail;
    if (QuotaShare *quota = m_quotas.find(organisation))
        detail = "quota_part=" + std::to_string(quota->rateFraction()) + " demand_per_s="
                 + std::to_string(quota->demand(now)) + " vms=" + std::to_string(m_fleetVmCount);
    refuse(request, ErrorKind::OverRate, m_quotas.retryAfter(organisation, now), detail);
}

void Forwarder::resolveTokenWaits()
{
    for (const auto &[id, outcome] : m_quotas.resolveWaiting(m_loop.now())) {
        const auto found = m_requests.find(id);
        if (found == m_requests.end())
            continue;
        found->second->isWaitingForToken = false;
        if (outcome == QuotaDecision::Admitted)
            dispatch(*found->second);
        else
            refuseOverQuota(*found->second);
    }
    if (m_quotas.isAnyWaiting())
        m_tokenTimer.startOnce(tokenPollPeriod);
}

} // namespace basildeck
