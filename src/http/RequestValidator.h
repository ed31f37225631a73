#pragma once

#include "basildeck/Result.h"
#include "core/TaskMessages.h"
#include "http/Exchange.h"

#include <string>
#include <unordered_map>

namespace basildeck {

// Validates the head of a request synchronously: finds its route, authenticates its API key and
// checks its body size and timeout.
class RequestValidator
{
public:
    explicit RequestValidator(std::size_t maxBodyBytes)
        : m_maxBodyBytes(maxBodyBytes)
    {}

    void setConfig(const ActiveConfig &config);
    // Sets the time until which requests with API keys may be served. After it, a key may have been
    // withdrawn without this VM's knowledge.
    void setServeUntil(Time until) { m_serveUntil = until; }
    Time serveUntil() const { return m_serveUntil; }
    void refuseAllRequests() { m_refusing = true; }
    bool refusesAllRequests() const { return m_refusing; }

    // Sets the route, service, organisation and deadline of an exchange. Returns the reason for the
    // refusal if the request must not be served.
    Result<void> validate(Exchange &exchange, Time now) const;
    // Authenticates the API key of an exchange whose route is set, checks that its organisation may
    // use the route, and sets the organisation.
    Result<void> authenticate(Exchange &exchange, Time now) const;
    bool knowsKey(const std::string &keyHash) const
    {
        return m_organisationByKeyHash.contains(keyHash);
    }

private:
    bool containsMisplacedKey(const RequestHead &head) const;

    std::size_t m_maxBodyBytes;
    std::unordered_map<std::string, std::string> m_organisationByKeyHash;
    Time m_serveUntil;
    bool m_refusing = false;
};

// Returns the service with a name, or null if the configuration has none.
const Service *findService(const FleetConfig &config, const std::string &name);

// Returns whether a request may be retried when its outcome is unknown (RFC 9110, section 9.2.2).
bool isIdempotent(const Route &route, const std::string &method);

} // namespace basildeck
