#include "http/RequestValidator.h"

#include "core/Hash.h"
#include "core/PercentEncoding.h"

#include <algorithm>

namespace basildeck {

bool isIdempotent(const Route &route, const std::string &method)
{
    if (route.idempotence != Idempotence::ByMethod)
        return route.idempotence == Idempotence::Always;
    return method != "POST" && method != "PATCH";
}

const Service *findService(const FleetConfig &config, const std::string &name)
{
    const auto found = std::find_if(config.services.begin(), config.services.end(),
                                    [&](const Service &service) { return service.name == name; });
    return found == config.services.end() ? nullptr : &*found;
}

void RequestValidator::setConfig(const ActiveConfig &config)
{
    m_organisationByKeyHash.clear();
    for (const Organisation &organisation : config.config->organisations) {
        for (const std::string &hash : organisation.keyHashes)
            m_organisationByKeyHash[hash] = organisation.name;
    }
}

Result<void> RequestValidator::validate(Exchange &exchange, Time now) const
{
    const RequestHead &head = exchange.head;
    if (m_refusing)
        return failure(ErrorKind::Leaving, "this VM is leaving");
    if (!exchange.config)
        return failure(ErrorKind::NoConfiguration, "this VM has no configuration yet");
    const Route *route = findRoute(*exchange.config, head.host, percentDecode(head.path));
    if (route == nullptr)
        return failure(ErrorKind::UnknownRoute, "no route for path \"" + head.path + "\"");
    exchange.route = route;
    exchange.service = findService(*exchange.config, route->service);
    BOOST_OUTCOME_TRYV(authenticate(exchange, now));
    if (head.contentLength.value_or(0) > m_maxBodyBytes)
        return failure(ErrorKind::BodyTooLarge,
                       "the body is larger than " + std::to_string(m_maxBodyBytes) + " bytes");
    const long timeoutMs
            = std::min<long>(route->timeoutMs, head.timeoutMs.value_or(route->timeoutMs));
    exchange.deadline = now + milliseconds(timeoutMs);
    if (timeoutMs == 0)
        return failure(ErrorKind::DeadlineExceeded, "the deadline is already over");
    exchange.idempotent = isIdempotent(*route, head.method);
    return success();
}

// A key outside of the Authorization header would be forwarded to the upstream.
bool RequestValidator::containsMisplacedKey(const RequestHead &head) const
{
    for (const std::string &candidate : keyCandidates(head)) {
        if (m_organisationByKeyHash.contains(sha256Hex(candidate)))
            return true;
    }
    return false;
}

Result<void> RequestValidator::authenticate(Exchange &exchange, Time now) const
{
    const RequestHead &head = exchange.head;
    const Route &route = *exchange.route;
    if (containsMisplacedKey(head))
        return failure(ErrorKind::BadRequest, "a key stands outside of the Authorization header");
    if (head.apiKey.empty()) {
        if (route.open)
            return success();
        return failure(ErrorKind::KeyMissing, "the route \"" + route.name + "\" needs a key");
    }
    if (route.open && !m_organisationByKeyHash.contains(sha256Hex(head.apiKey)))
        return success();
    if (now > m_serveUntil && !route.open)
        return failure(ErrorKind::CutOff,
                       "this VM cannot tell whether keys were withdrawn; ask another one");
    exchange.keyHash = sha256Hex(head.apiKey);
    const auto organisation = m_organisationByKeyHash.find(exchange.keyHash);
    if (organisation == m_organisationByKeyHash.end())
        return failure(ErrorKind::KeyUnknown, "the key is not known");
    const auto &allowed = route.organisations;
    const bool permitted
            = allowed.empty()
              || std::find(allowed.begin(), allowed.end(), organisation->second) != allowed.end();
    if (!permitted && !route.open)
        return failure(ErrorKind::OrganisationNotAllowed, "organisation \"" + organisation->second
                                                                  + "\" may not use route \""
                                                                  + route.name + "\"");
    exchange.organisation = organisation->second;
    return success();
}

} // namespace basildeck
