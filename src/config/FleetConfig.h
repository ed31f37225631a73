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

// Fleet-wide values that hold wherever no exception names another.
struct Defaults
{
    double organisationRate = 0;  // requests per second
    double organisationBurst = 0; // requests
    int slotsPerTarget = 0;
    int requestTimeoutMs = 0;
    int answerMaxAgeSeconds = 0;   // how long callers may cache an answer to a look-up
    int retryPercent = 0;          // retries per 100 fresh requests
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

// Live services go ahead of archive services where both wait.
enum class ServiceClass { Live, Archive };

struct Service
{
    std::string name;
    ServiceClass serviceClass = ServiceClass::Live;
    int slotsPerTarget = 0;
    std::vector<Target> targets;
    int maxConnections = 0;           // to one target, from all VMs together; 0: no limit
    milliseconds coldStart{ 0 };      // how long a target is cold after its start
    double coldRequestsPerSecond = 0; // that a cold target bears, from all VMs together
};

// Whether a request may be sent again when its outcome is unknown. ByMethod follows RFC 9110,
// section 9.2.2.
enum class Idempotence { ByMethod, Always, Never };

// One of several services among which a route divides its requests.
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
    bool open = false;                      // no key needed
    std::vector<std::string> organisations; // empty: all
    Idempotence idempotence = Idempotence::ByMethod;
    int timeoutMs = 0;
    int latencyObjectiveMs = 0;              // latency objective, 0: none
    int attempts = 1;                        // targets that one request may be sent to
    int priority = 0;                        // 0 is the most urgent
    bool affinity = false;                   // targets serve objects faster that they served before
    std::vector<std::string> allowedRegions; // empty: all
    std::vector<WeightedService> weightedServices; // empty: all requests go to the service
};

// Bounds of what callers may send and how long they may take.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 1 << 20;
    milliseconds headerTimeout{ 3000 };
    milliseconds idleTimeout{ 15000 };
};

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

struct Link
{
    std::string from;
    std::string to;
    double bytesPerSecond = 0;
};

// What an exception is about.
enum class ExceptionScope { Organisation, Service, Route, Region, Target };

// One departure from the defaults. The reason is mandatory.
struct ExceptionRule
{
    std::string name;
    ExceptionScope scope = ExceptionScope::Organisation;
    std::string of;
    std::string setting;
    double value = 0;
    std::string reason;
    std::optional<std::int64_t> untilUnixSeconds;
};

// The whole configuration of the fleet: one object of the store, whose version orders it.
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

    // Parses and checks a document as a whole and applies the exceptions that hold at a moment.
    // The error names the object, the field and the reason.
    static Result<FleetConfig> parse(std::string_view document, std::int64_t nowUnixSeconds);
    static Result<FleetConfig> parse(const nlohmann::json &document, std::int64_t nowUnixSeconds);

    // The moment after which an exception ends next, if one has an end.
    std::optional<std::int64_t> nextExceptionExpiry(std::int64_t nowUnixSeconds) const;
};

// The longest path prefix whose host fits; null when no route fits.
const Route *findRoute(const FleetConfig &config, std::string_view host, std::string_view path);

// Name of an idempotence value, a service class or an exception scope in documents.
std::string_view idempotenceName(Idempotence value);
std::string_view serviceClassName(ServiceClass value);
std::string_view exceptionScopeName(ExceptionScope value);

} // namespace basildeck
