#include "config/FleetConfig.h"

#include "config/JsonReader.h"
#include "decide/CidrTable.h"

#include <algorithm>
#include <array>
#include <set>

namespace basildeck {

namespace {

constexpr double maxRate = 1e7; // requests per second
constexpr double maxLinkBytesPerSecond = 1e12;
constexpr int maxTimeoutMs = 600'000;
constexpr int maxSlots = 10'000;
constexpr std::size_t sha256HexLength = 64;

constexpr std::array<std::string_view, 3> idempotenceNames = { "by-method", "always", "never" };
constexpr std::array<std::string_view, 2> serviceClassNames = { "live", "archive" };
constexpr std::array<std::string_view, 5> exceptionScopeNames
        = { "organisation", "service", "route", "region", "target" };

// Reads a field whose value is the name of an enumerator. The names are in the enumerators' order.
template <typename Enum, std::size_t Count>
Enum readEnum(JsonReader &reader, const char *field,
              const std::array<std::string_view, Count> &names, std::string_view fallback)
{
    const std::string value = reader.optionalText(field, std::string(fallback));
    const auto found = std::find(names.begin(), names.end(), value);
    if (found == names.end()) {
        reader.reportError(field, "\"" + value + "\" is not one of the valid values");
        return Enum{};
    }
    return static_cast<Enum>(found - names.begin());
}

Defaults readDefaults(JsonReader &reader)
{
    Defaults defaults;
    defaults.organisationRate = reader.number("organisationRate", 0, maxRate);
    defaults.organisationBurst = reader.number("organisationBurst", 1, maxRate);
    defaults.slotsPerTarget = reader.integer("slotsPerTarget", 1, maxSlots);
    defaults.requestTimeoutMs = reader.integer("requestTimeoutMs", 1, maxTimeoutMs);
    defaults.answerMaxAgeSeconds = reader.integer("answerMaxAgeSeconds", 1, 3600);
    defaults.retryPercent = reader.integer("retryPercent", 0, 100);
    defaults.claimRetentionSeconds = reader.integer("claimRetentionSeconds", 1, 86'400);
    return defaults;
}

Organisation readOrganisation(JsonReader &reader, const Defaults &defaults)
{
    Organisation organisation;
    organisation.name = reader.text("name");
    if (organisation.name.starts_with("link:"))
        reader.reportError("name", "names that start with \"link:\" are reserved");
    organisation.keyHashes = reader.textList("keyHashes");
    for (const std::string &hash : organisation.keyHashes) {
        if (hash.size() != sha256HexLength)
            reader.reportError("keyHashes",
                               "\"" + hash + "\" is not a SHA-256 digest in hexadecimal");
    }
    organisation.rate = defaults.organisationRate;
    organisation.burst = defaults.organisationBurst;
    return organisation;
}

Target readTarget(JsonReader &reader)
{
    Target target;
    target.name = reader.text("name");
    auto address = Address::parse(reader.text("address"));
    if (address)
        target.address = address.value();
    else
        reader.reportError("address", address.error().detail);
    target.region = reader.text("region");
    target.zone = reader.text("zone");
    target.leaving = reader.optionalBool("leaving");
    return target;
}

Service readService(JsonReader &reader, const Defaults &defaults)
{
    Service service;
    service.name = reader.text("name");
    service.serviceClass = readEnum<ServiceClass>(reader, "class", serviceClassNames, "live");
    service.slotsPerTarget = defaults.slotsPerTarget;
    reader.forEachObject("targets",
                         [&](JsonReader &item) { service.targets.push_back(readTarget(item)); });
    return service;
}

Route readRoute(JsonReader &reader, const Defaults &defaults)
{
    Route route;
    route.name = reader.text("name");
    route.host = reader.optionalText("host", "");
    route.pathPrefix = reader.text("pathPrefix");
    if (!route.pathPrefix.starts_with('/'))
        reader.reportError("pathPrefix", "does not start with \"/\"");
    if (route.pathPrefix.starts_with("/basildeck/"))
        reader.reportError("pathPrefix", "\"/basildeck/\" is reserved");
    route.service = reader.text("service");
    route.open = reader.optionalBool("open");
    route.organisations = reader.textList("organisations");
    route.idempotence = readEnum<Idempotence>(reader, "idempotence", idempotenceNames, "by-method");
    route.timeoutMs = defaults.requestTimeoutMs;
    return route;
}

Region readRegion(JsonReader &reader)
{
    Region region;
    region.name = reader.text("name");
    region.zones = reader.textList("zones");
    return region;
}

Link readLink(JsonReader &reader)
{
    Link link;
    link.from = reader.text("from");
    link.to = reader.text("to");
    link.bytesPerSecond = reader.number("bytesPerSecond", 1, maxLinkBytesPerSecond);
    return link;
}

ClientBlock readBlock(JsonReader &reader)
{
    ClientBlock block;
    block.block = reader.text("block");
    block.region = reader.text("region");
    if (!parseCidrBlock(block.block))
        reader.reportError("block", "\"" + block.block + "\" is not an address block");
    return block;
}

ExceptionRule readException(JsonReader &reader)
{
    ExceptionRule exception;
    exception.name = reader.text("name");
    exception.scope
            = readEnum<ExceptionScope>(reader, "scope", exceptionScopeNames, "organisation");
    exception.of = reader.text("of");
    exception.setting = reader.text("setting");
    exception.value = reader.number("value", 0, maxLinkBytesPerSecond);
    exception.reason = reader.text("reason");
    if (exception.reason.find_first_not_of(" \t") == std::string::npos)
        reader.reportError("reason", "is blank");
    const double until = reader.optionalNumber("untilUnixSeconds", -1, -1, 1e11);
    if (until >= 0)
        exception.untilUnixSeconds = static_cast<std::int64_t>(until);
    return exception;
}

template <typename Item>
Item *findByName(std::vector<Item> &items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item &item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

template <typename Item>
void requireUniqueNames(const std::vector<Item> &items, const char *list, JsonErrors &errors)
{
    std::set<std::string> names;
    for (const Item &item : items) {
        if (!names.insert(item.name).second)
            errors.reportError(list, "name \"" + item.name + "\" is not unique");
    }
}

void checkTargetLocation(const FleetConfig &config, const Service &service, const Target &target,
                         JsonErrors &errors)
{
    const std::string location = "services \"" + service.name + "\" target \"" + target.name + "\"";
    const auto region
            = std::find_if(config.regions.begin(), config.regions.end(),
                           [&](const Region &item) { return item.name == target.region; });
    if (region == config.regions.end())
        errors.reportError(location, "region \"" + target.region + "\" does not exist");
    else if (std::find(region->zones.begin(), region->zones.end(), target.zone)
             == region->zones.end())
        errors.reportError(location, "zone \"" + target.zone + "\" does not exist in region \""
                                             + target.region + "\"");
}

void checkReferences(FleetConfig &config, JsonErrors &errors)
{
    for (const Service &service : config.services) {
        requireUniqueNames(service.targets, "targets", errors);
        for (const Target &target : service.targets)
            checkTargetLocation(config, service, target, errors);
    }
    for (const Route &route : config.routes) {
        const std::string location = "routes \"" + route.name + "\"";
        if (findByName(config.services, route.service) == nullptr)
            errors.reportError(location, "service \"" + route.service + "\" does not exist");
        for (const std::string &name : route.organisations) {
            if (findByName(config.organisations, name) == nullptr)
                errors.reportError(location, "organisation \"" + name + "\" does not exist");
        }
    }
    for (const Link &link : config.links) {
        for (const std::string &regionName : { link.from, link.to }) {
            if (findByName(config.regions, regionName) == nullptr)
                errors.reportError("links", "region \"" + regionName + "\" does not exist");
        }
    }
    for (const ClientBlock &block : config.blocks) {
        if (findByName(config.regions, block.region) == nullptr)
            errors.reportError("blocks \"" + block.block + "\"",
                               "region \"" + block.region + "\" does not exist");
    }
}

void requireUniqueKeyHashes(const FleetConfig &config, JsonErrors &errors)
{
    std::map<std::string, std::string> ownerByHash;
    for (const Organisation &organisation : config.organisations) {
        for (const std::string &hash : organisation.keyHashes) {
            const auto [owner, inserted] = ownerByHash.emplace(hash, organisation.name);
            if (!inserted)
                errors.reportError("organisations \"" + organisation.name + "\"",
                                   "a key hash also belongs to \"" + owner->second + "\"");
        }
    }
}

// Overrides a setting with the value of an exception. Returns an error message, or an empty string.
std::string applyException(FleetConfig &config, const ExceptionRule &exception)
{
    const auto unknownSettingError = [&] {
        return "setting \"" + exception.setting + "\" does not exist for scope \""
               + std::string(exceptionScopeName(exception.scope)) + "\"";
    };
    const auto missingObjectError = [&] {
        return std::string(exceptionScopeName(exception.scope)) + " \"" + exception.of
               + "\" does not exist";
    };
    switch (exception.scope) {
    case ExceptionScope::Organisation: {
        Organisation *organisation = findByName(config.organisations, exception.of);
        if (organisation == nullptr)
            return missingObjectError();
        if (exception.setting != "rate" && exception.setting != "burst")
            return unknownSettingError();
        (exception.setting == "rate" ? organisation->rate : organisation->burst) = exception.value;
        return "";
    }
    case ExceptionScope::Service: {
        Service *service = findByName(config.services, exception.of);
        if (service == nullptr)
            return missingObjectError();
        if (exception.setting != "slotsPerTarget")
            return unknownSettingError();
        service->slotsPerTarget = std::clamp(static_cast<int>(exception.value), 1, maxSlots);
        return "";
    }
    case ExceptionScope::Route: {
        Route *route = findByName(config.routes, exception.of);
        if (route == nullptr)
            return missingObjectError();
        if (exception.setting != "timeoutMs")
            return unknownSettingError();
        route->timeoutMs = std::clamp(static_cast<int>(exception.value), 1, maxTimeoutMs);
        return "";
    }
    case ExceptionScope::Region: {
        Region *region = findByName(config.regions, exception.of);
        if (region == nullptr)
            return missingObjectError();
        if (exception.setting != "drained")
            return unknownSettingError();
        region->drained = exception.value != 0;
        return "";
    }
    case ExceptionScope::Target: {
        Target *target = nullptr;
        for (Service &service : config.services) {
            if (Target *found = findByName(service.targets, exception.of))
                target = found;
        }
        if (target == nullptr)
            return missingObjectError();
        if (exception.setting != "leaving")
            return unknownSettingError();
        target->leaving = exception.value != 0;
        return "";
    }
    }
    return unknownSettingError();
}

// Applies the exceptions that have not expired. Expired ones are validated too, on a copy.
void applyExceptions(FleetConfig &config, std::int64_t nowUnixSeconds, JsonErrors &errors)
{
    FleetConfig validationCopy = config;
    for (const ExceptionRule &exception : config.exceptions) {
        const bool isActive
                = !exception.untilUnixSeconds || *exception.untilUnixSeconds > nowUnixSeconds;
        const std::string error = applyException(isActive ? config : validationCopy, exception);
        if (!error.empty())
            errors.reportError("exceptions \"" + exception.name + "\"", error);
    }
}

FleetConfig readDocument(const nlohmann::json &document, JsonErrors &errors)
{
    FleetConfig config;
    JsonReader reader(document, "", errors);
    static const nlohmann::json emptyObject = nlohmann::json::object();
    const bool hasDefaults = document.is_object() && document.contains("defaults");
    JsonReader defaults(hasDefaults ? document["defaults"] : emptyObject, "defaults", errors);
    config.defaults = readDefaults(defaults);
    defaults.rejectUnknown();
    reader.forEachObject("regions",
                         [&](JsonReader &item) { config.regions.push_back(readRegion(item)); });
    reader.forEachObject("links",
                         [&](JsonReader &item) { config.links.push_back(readLink(item)); });
    reader.forEachObject("organisations", [&](JsonReader &item) {
        config.organisations.push_back(readOrganisation(item, config.defaults));
    });
    reader.forEachObject("services", [&](JsonReader &item) {
        config.services.push_back(readService(item, config.defaults));
    });
    reader.forEachObject("routes", [&](JsonReader &item) {
        config.routes.push_back(readRoute(item, config.defaults));
    });
    reader.forEachObject("blocks",
                         [&](JsonReader &item) { config.blocks.push_back(readBlock(item)); });
    reader.forEachObject("exceptions", [&](JsonReader &item) {
        config.exceptions.push_back(readException(item));
    });
    return config;
}

void rejectUnknownFields(const nlohmann::json &document, JsonErrors &errors)
{
    static const std::set<std::string> knownFields
            = { "defaults", "regions", "links",  "organisations",
                "services", "routes",  "blocks", "exceptions" };
    if (!document.is_object())
        return;
    for (const auto &item : document.items()) {
        if (!knownFields.contains(item.key()))
            errors.reportError(item.key(), "unknown field");
    }
}

bool hostMatches(const Route &route, std::string_view host)
{
    return route.host.empty() || route.host == host.substr(0, host.find(':'));
}

// Matches whole path segments: "/a" matches "/a" and "/a/b" but not "/ab".
bool prefixMatches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

Result<FleetConfig> FleetConfig::parse(std::string_view document, std::int64_t nowUnixSeconds)
{
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (json.is_discarded())
        return failure(ErrorKind::InvalidObject, "the document is not JSON");
    return parse(json, nowUnixSeconds);
}

Result<FleetConfig> FleetConfig::parse(const nlohmann::json &document, std::int64_t nowUnixSeconds)
{
    JsonErrors errors;
    FleetConfig config = readDocument(document, errors);
    rejectUnknownFields(document, errors);
    requireUniqueNames(config.regions, "regions", errors);
    requireUniqueNames(config.organisations, "organisations", errors);
    requireUniqueNames(config.services, "services", errors);
    requireUniqueNames(config.routes, "routes", errors);
    requireUniqueNames(config.exceptions, "exceptions", errors);
    checkReferences(config, errors);
    requireUniqueKeyHashes(config, errors);
    applyExceptions(config, nowUnixSeconds, errors);
    if (!errors.firstError().empty())
        return failure(ErrorKind::InvalidObject, errors.firstError());
    return config;
}

std::optional<std::int64_t> FleetConfig::nextExceptionExpiry(std::int64_t nowUnixSeconds) const
{
    std::optional<std::int64_t> next;
    for (const ExceptionRule &exception : exceptions) {
        const auto until = exception.untilUnixSeconds;
        if (until && *until > nowUnixSeconds && (!next || *until < *next))
            next = until;
    }
    return next;
}

const Route *findRoute(const FleetConfig &config, std::string_view host, std::string_view path)
{
    const Route *best = nullptr;
    for (const Route &route : config.routes) {
        if (!hostMatches(route, host) || !prefixMatches(route.pathPrefix, path))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()
            || (route.pathPrefix.size() == best->pathPrefix.size() && best->host.empty()))
            best = &route;
    }
    return best;
}

std::string_view idempotenceName(Idempotence value)
{
    return idempotenceNames.at(static_cast<std::size_t>(value));
}

std::string_view serviceClassName(ServiceClass value)
{
    return serviceClassNames.at(static_cast<std::size_t>(value));
}

std::string_view exceptionScopeName(ExceptionScope value)
{
    return exceptionScopeNames.at(static_cast<std::size_t>(value));
}

} // namespace basildeck
