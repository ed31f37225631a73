#pragma once

#include "basildeck/Result.h"
#include "core/TaskMessages.h"
#include "http/Exchange.h"

#include <string>
#include <unordered_map>

namespace basildeck {

// The checks of a request that need no waiting: its route, its key and what it may ask for.
class RequestCheck
{
public:
    explicit RequestCheck(std::size_t maxBodyBytes)
        : m_maxBodyBytes(maxBodyBytes)
    {}

    void setConfig(const ActiveConfig &config);
    // Until when requests with keys may be served.
    void setServeUntil(Time until) { m_serveUntil = until; }
    Time serveUntil() const { return m_serveUntil; }
    void refuseAll() { m_refusing = true; }
    bool refusesAll() const { return m_refusing; }

    // Fills in route, service, organisation and deadline. The error refuses the request.
    Result<void> check(Exchange &exchange, Time now) const;
    // The part that concerns the key; the route is known.
    Result<void> checkKey(Exchange &exchange, Time now) const;
    bool knowsKey(const std::string &keyHash) const
    {
        return m_organisationByKey.contains(keyHash);
    }

private:
    bool carriesKey(const RequestHead &head) const;

    std::size_t m_maxBodyBytes;
    std::unordered_map<std::string, std::string> m_organisationByKey; // by key hash
    Time m_serveUntil;
    bool m_refusing = false;
};

// The service of a route; null if the configuration has none with this name.
const Service *findService(const FleetConfig &config, const std::string &name);

// Whether a request may be run again when its outcome is unknown (RFC 9110, section 9.2.2).
bool isIdempotent(const Route &route, const std::string &method);

} // namespace basildeck
