#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// Fleet-wide default settings. Exceptions override them for single objects.
struct Defaults
{
    double organisationRate = 0;  // requests per second
    double organisationBurst = 0; // requests
    int slotsPerTarget = 0;
    int requestTimeoutMs = 0;
    int answerMaxAgeSeconds = 0;   // how long callers may cache the response to a look-up
    int retryPercent = 0;          // retries per 100 first attempts
    int claimRetentionSeconds = 0; // how long the outcome of an idempotency key is kept
};

struct Organisation
{
    std::string name;
    std::vector<std::string> keyHashes; // SHA-256, hexadecimal
    double rate = 0;                    // requests per second, 0: no limit
    double burst = 0;
    std::optional<int> priority;             // overrides the priority of routes
    std::vector<std::string> allowedRegions; // empty: all
};

struct Target
{
    std::string name;
    Address address;
    std::string region;
    std::string zone;
    bool leaving = false;
};

// Of waiting requests, those to live services take precedence over those to archive services.
enum class ServiceClass { Live, Archive };

struct Service
{
    std::string name;
    ServiceClass serviceClass = ServiceClass::Live;
    int slotsPerTarget = 0;
    std::vector<Target> targets;
    int maxConnections = 0;           // per target, over all VMs; 0: no limit
    milliseconds coldStart{ 0 };      // duration for which a target is cold after its start
    double coldRequestsPerSecond = 0; // capacity of a cold target, over all VMs
};

// Whether a request may be retried when its outcome is unknown. ByMethod decides by the request
// method, as in RFC 9110, section 9.2.2.
enum class Idempotence { ByMethod, Always, Never };

// One of several services among which a route splits its requests by weight.
struct WeightedService
{
    std::string service;
    double weight = 0;
};

struct Route
{
    std::string name;
    std::string host; // empty: any
    std::string pathPrefix;
    std::string service;
    bool open = false;                      // no API key required
    std::vector<std::string> organisations; // empty: all
    Idempotence idempotence = Idempotence::ByMethod;
    int timeoutMs = 0;
    int latencyObjectiveMs = 0; // 0: none
    int attempts = 1;           // number of targets that a request may be sent to
    int priority = 0;           // 0 is the most urgent
    bool affinity = false;      // objects are faster at targets that served them before
    std::vector<std::string> allowedRegions;       // empty: all
    std::vector<WeightedService> weightedServices; // empty: all requests go to `service`
};

// Limits on the size and duration of callers' requests.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1 << 20;
    milliseconds headerTimeout{ 3000 };
    milliseconds idleTimeout{ 15000 };
};

// Assigns a block of caller addresses to a region.
struct ClientBlock
{
    std::string block; // "10.0.0.0/8" or "2001:db8::/32"
    std::string region;
};

struct Region
{
    std::string name;
    std::vector<std::string> zones;
    bool drained = false;
};

// The bandwidth limit from one region to another.
struct Link
{
    std::string from;
    std::string to;
    double bytesPerSecond = 0;
};

// The kind of object to which an exception applies.
enum class ExceptionScope { Organisation, Service, Route, Region, Target };

// Overrides the value of one setting of one object. The reason is mandatory.
struct ExceptionRule
{
    std::string name;
    ExceptionScope scope = ExceptionScope::Organisation;
    std::string of; // name of the object within the scope
    std::string setting;
    double value = 0;
    std::string reason;
    std::optional<std::int64_t> untilUnixSeconds; // empty: does not expire
};

// The configuration of the whole fleet. It is one object of the store, and its versions are ordered
// by that object's version.
struct FleetConfig
{
    Defaults defaults;
    std::vector<Region> regions;
    std::vector<Link> links;
    std::vector<Organisation> organisations;
    std::vector<Service> services;
    std::vector<Route> routes;
    std::vector<ClientBlock> blocks;
    std::vector<ExceptionRule> exceptions;
    CallerLimits limits;

    // Parses and validates a whole document and applies the exceptions that have not expired at the
    // given time. The error names the object, the field and the reason.
    static Result<FleetConfig> parse(std::string_view document, std::int64_t nowUnixSeconds);
    static Result<FleetConfig> parse(const nlohmann::json &document, std::int64_t nowUnixSeconds);

    // The earliest expiry of an exception after the given time, if there is one.
    std::optional<std::int64_t> nextExceptionExpiry(std::int64_t nowUnixSeconds) const;
};

// Returns the matching route with the longest path prefix; of equal ones, a route with a host
// precedes one without. Returns null if no route matches.
const Route *findRoute(const FleetConfig &config, std::string_view host, std::string_view path);

// The names of these values in configuration documents.
std::string_view idempotenceName(Idempotence value);
std::string_view serviceClassName(ServiceClass value);
std::string_view exceptionScopeName(ExceptionScope value);

} // namespace basildeck
