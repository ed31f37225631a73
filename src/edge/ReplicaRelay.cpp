#include "edge/ReplicaRelay.h"

#include "core/Log.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "relay";
constexpr std::string_view waitKey = "wait_ms";
constexpr Duration timeoutCheckPeriod = milliseconds(100);
constexpr int maxResponseDepth = 80; // of a response, a little more than that of its objects
constexpr std::uint64_t maxStatedAgeMs = 604'800'000;

using nlohmann::json;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

// Parses the form that StoreVersion is printed in.
StoreVersion parseVersion(std::string_view text)
{
    const std::size_t dot = std::min(text.find('.'), text.size());
    return { parseNumber(text.substr(0, dot)),
             parseNumber(text.substr(std::min(dot + 1, text.size()))) };
}

void send(const ResponseSink &sink, const std::string &status, const std::string &body)
{
    sink.head("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: "
              + std::to_string(body.size()) + "\r\n");
    sink.body(body);
    sink.finish(false);
}

std::string versionParameters(const std::vector<std::unique_ptr<ObjectReplica>> &replicas)
{
    std::ostringstream text;
    for (const auto &replica : replicas)
        text << '&' << replica->kind() << '=' << replica->version();
    return text.str();
}

json toJson(const StoredObject &object)
{
    return { { "name", object.name },
             { "revision", object.revision },
             { "content", object.content } };
}

json toJson(const ReplicaChange &change)
{
    json entry = change.object == nullptr ? json{ { "name", change.name },
                                                  { "revision", change.revision },
                                                  { "content", nullptr } }
                                          : toJson(*change.object);
    entry["deleted"] = change.object == nullptr;
    return entry;
}

// Takes the content out of an entry.
StoredObject takeObject(json &entry)
{
    return { entry.at("name").get<std::string>(), entry.at("revision").get<std::uint64_t>(),
             std::move(entry.at("content")) };
}

json describe(const ObjectReplica &replica, const StoreVersion &since)
{
    json kind{ { "era", replica.version().era }, { "revision", replica.version().revision } };
    if (const auto changes = replica.changesSince(since)) {
        kind["changes"] = json::array();
        for (const ReplicaChange &change : *changes)
            kind["changes"].push_back(toJson(change));
        return kind;
    }
    kind["objects"] = json::array();
    for (const auto &[name, object] : replica.objects())
        kind["objects"].push_back(toJson(object));
    return kind;
}

void applyKind(json &kind, ObjectReplica &replica)
{
    const StoreVersion version{ kind.at("era").get<std::uint64_t>(),
                                kind.at("revision").get<std::uint64_t>() };
    if (kind.contains("objects")) {
        std::map<std::string, StoredObject> objects;
        for (json &entry : kind.at("objects")) {
            StoredObject object = takeObject(entry);
            objects[object.name] = std::move(object);
        }
        if (replica.adoptSnapshot(std::move(objects), version))
            BASILDECK_INFO(logComponent)
                    << "adopted a snapshot from a relay kind=" << replica.kind()
                    << " version=" << version;
        return;
    }
    std::vector<ObjectChange> changes;
    for (json &entry : kind.at("changes")) {
        const bool isDeleted = entry.at("deleted").get<bool>();
        changes.push_back({ takeObject(entry), isDeleted });
    }
    replica.adoptChanges(std::move(changes), version);
}

json describeConfirmation(const ObjectReplica &replica, Duration age)
{
    return { { "era", replica.version().era },
             { "revision", replica.version().revision },
             { "age_ms", std::chrono::ceil<milliseconds>(age).count() } };
}

// Ignores what cannot be read, because the changes of the response hold without it.
void applyConfirmation(const json &stated, ObjectReplica &replica, Time respondedAt)
{
    const auto number = [&](const char *name) {
        const auto field = stated.find(name);
        return field != stated.end() && field->is_number_unsigned()
                       ? std::optional(field->get<std::uint64_t>())
                       : std::nullopt;
    };
    const auto era = number("era");
    const auto revision = number("revision");
    const auto age = number("age_ms");
    if (!era || !revision || !age || *age > maxStatedAgeMs)
        return;
    replica.confirm({ *era, *revision }, respondedAt - milliseconds(*age));
}

} // namespace

ReplicaRelay::ReplicaRelay(EventLoop &loop,
                           const std::vector<std::unique_ptr<ObjectReplica>> &replicas)
    : m_loop(loop)
    , m_replicas(replicas)
    , m_timer(loop, [this] { handleTimeouts(); })
{}

std::string ReplicaRelay::requestPath(const std::vector<std::unique_ptr<ObjectReplica>> &replicas,
                                      milliseconds wait)
{
    return std::string(path) + std::string(waitKey) + "=" + std::to_string(wait.count())
           + versionParameters(replicas);
}

std::string
ReplicaRelay::catchUpRequestPath(const std::vector<std::unique_ptr<ObjectReplica>> &replicas)
{
    return std::string(catchUpPath) + versionParameters(replicas);
}

void ReplicaRelay::setServing(bool serving)
{
    if (std::exchange(m_isServing, serving) == serving)
        return;
    BASILDECK_INFO(logComponent) << (serving ? "serving followers" : "not serving followers")
                                 << " waiting=" << m_waiting.size();
    if (serving)
        return;
    for (const auto &[id, waiting] : std::exchange(m_waiting, {}))
        refuse(waiting.sink);
}

ReplicaRelay::Waiting ReplicaRelay::parseQuery(std::string_view query,
                                               const ResponseSink &sink) const
{
    Waiting waiting{ {}, sink, m_loop.now() };
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const std::size_t equals = parameter.find('=');
        if (equals == std::string_view::npos)
            continue;
        const std::string_view key = parameter.substr(0, equals);
        const std::string_view value = parameter.substr(equals + 1);
        if (key == waitKey)
            waiting.until += milliseconds(
                    std::min<std::uint64_t>(parseNumber(value), maxWait / milliseconds(1)));
        else
            waiting.versions[std::string(key)] = parseVersion(value);
    }
    return waiting;
}

void ReplicaRelay::handleCatchUp(std::string_view query, const ResponseSink &sink)
{
    respond(parseQuery(query, sink).versions, sink);
}

ReplicaRelay::RequestId ReplicaRelay::handle(std::string_view query, const ResponseSink &sink)
{
    if (!m_isServing) {
        refuse(sink);
        return 0;
    }
    Waiting waiting = parseQuery(query, sink);
    if (waiting.until <= m_loop.now() || hasChanges(waiting.versions)) {
        respond(waiting.versions, sink);
        return 0;
    }
    const RequestId id = m_nextId++;
    m_waiting.emplace(id, std::move(waiting));
    m_timer.startOnce(timeoutCheckPeriod);
    return id;
}

void ReplicaRelay::cancel(RequestId id)
{
    m_waiting.erase(id);
}

bool ReplicaRelay::hasChanges(const std::map<std::string, StoreVersion> &versions) const
{
    return std::any_of(m_replicas.begin(), m_replicas.end(), [&](const auto &replica) {
        const auto known = versions.find(replica->kind());
        return known != versions.end() && replica->hasChangesSince(known->second);
    });
}

void ReplicaRelay::publish()
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (!hasChanges(entry->second.versions)) {
            ++entry;
            continue;
        }
        const Waiting waiting = std::move(entry->second);
        entry = m_waiting.erase(entry);
        respond(waiting.versions, waiting.sink);
    }
}

void ReplicaRelay::handleTimeouts()
{
    const Time now = m_loop.now();
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        if (now < entry->second.until) {
            ++entry;
            continue;
        }
        const Waiting waiting = std::move(entry->second);
        entry = m_waiting.erase(entry);
        respond(waiting.versions, waiting.sink);
    }
    if (!m_waiting.empty())
        m_timer.startOnce(timeoutCheckPeriod);
}

void ReplicaRelay::respond(const std::map<std::string, StoreVersion> &versions,
                           const ResponseSink &sink)
{
    json response = json::object();
    for (const auto &replica : m_replicas) {
        const auto known = versions.find(replica->kind());
        if (known == versions.end())
            continue;
        if (replica->version() > known->second)
            response[replica->kind()] = describe(*replica, known->second);
        if (const auto age = replica->confirmedAge())
            response[confirmedKey][replica->kind()] = describeConfirmation(*replica, *age);
    }
    send(sink, "200 OK", response.dump(-1, ' ', false, json::error_handler_t::replace));
}

void ReplicaRelay::refuse(const ResponseSink &sink)
{
    send(sink, "503 Service Unavailable", "{}");
}

bool ReplicaRelay::apply(const std::string &body,
                         const std::vector<std::unique_ptr<ObjectReplica>> &replicas,
                         std::optional<Time> respondedAt)
{
    try {
        // An earlier build passes on what it read, however deeply nested. Copies of a value
        // recurse.
        json response = json::parse(body, [](int depth, json::parse_event_t, const json &) {
            return depth <= maxResponseDepth;
        });
        for (const auto &replica : replicas) {
            const auto kind = response.find(replica->kind());
            if (kind != response.end())
                applyKind(*kind, *replica);
        }
        const auto confirmed = response.find(confirmedKey);
        if (confirmed == response.end() || !respondedAt)
            return true;
        for (const auto &replica : replicas) {
            const auto stated = confirmed->find(replica->kind());
            if (stated != confirmed->end())
                applyConfirmation(*stated, *replica, *respondedAt);
        }
        return true;
    } catch (const json::exception &error) {
        BASILDECK_WARNING(logComponent) << "invalid changes from a relay: " << error.what();
        return false;
    }
}

} // namespace basildeck
