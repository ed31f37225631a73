#include "edge/ReplicaRelay.h"

#include "core/Gzip.h"
#include "core/Log.h"
#include "store/JsonSlices.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "relay";
constexpr std::string_view waitKey = "wait_ms";
constexpr Duration timeoutCheckPeriod = milliseconds(100);
constexpr std::size_t maxResponseDepth
        = 80; // of a response, a little more than that of its objects
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

void send(const ResponseSink &sink, const std::string &status, const std::string &body,
          bool isCompressed = false)
{
    std::string head = "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n";
    if (isCompressed)
        head.append("Content-Encoding: ").append(gzipCoding).append("\r\n");
    sink.head(head + "Content-Length: " + std::to_string(body.size()) + "\r\n");
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

// Takes the content out of an entry.
StoredObject takeObject(json &entry)
{
    return { entry.at("name").get<std::string>(), entry.at("revision").get<std::uint64_t>(),
             std::move(entry.at("content")) };
}

void describeDeletion(const ReplicaChange &change, ChangesText &text)
{
    text.appendJson(json{ { "name", change.name },
                          { "revision", change.revision },
                          { "content", nullptr },
                          { "deleted", true } });
}

void describeObject(const std::string &kind, const StoredObject &object, std::uint64_t era,
                    bool isChange, ChangesText &text)
{
    text.append("{\"content\":");
    text.appendContent(kind, object, era);
    text.append(isChange ? ",\"deleted\":false,\"name\":" : ",\"name\":");
    text.appendJson(json(object.name));
    text.append(",\"revision\":" + std::to_string(object.revision) + "}");
}

void describe(const ObjectReplica &replica, const StoreVersion &since, ChangesText &text)
{
    const StoreVersion &version = replica.version();
    std::string_view separator;
    if (const auto changes = replica.changesSince(since)) {
        text.append("{\"changes\":[");
        for (const ReplicaChange &change : *changes) {
            text.append(std::exchange(separator, ","));
            if (change.object == nullptr)
                describeDeletion(change, text);
            else
                describeObject(replica.kind(), *change.object, version.era, true, text);
        }
        text.append("],\"era\":" + std::to_string(version.era));
    } else {
        text.append("{\"era\":" + std::to_string(version.era) + ",\"objects\":[");
        for (const auto &[name, object] : replica.objects()) {
            text.append(std::exchange(separator, ","));
            describeObject(replica.kind(), object, version.era, false, text);
        }
        text.append("]");
    }
    text.append(",\"revision\":" + std::to_string(version.revision) + "}");
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

// Reads a response without what is nested too deeply: an earlier build passes on what it read, and
// copies of a value recurse.
json parseResponse(const std::string &body)
{
    const auto members = splitJson(body);
    const bool isFlat
            = members && std::all_of(members->begin(), members->end(), [](const JsonSlice &m) {
                  return m.depth < maxResponseDepth;
              });
    // The callback takes twice the time of the rest.
    if (isFlat)
        return json::parse(body);
    return json::parse(body, [](int depth, json::parse_event_t, const json &) {
        return depth <= static_cast<int>(maxResponseDepth);
    });
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

ReplicaRelay::Waiting ReplicaRelay::parseQuery(std::string_view query, const ResponseSink &sink,
                                               bool acceptsGzip) const
{
    Waiting waiting{ {}, sink, m_loop.now(), acceptsGzip };
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

void ReplicaRelay::handleCatchUp(std::string_view query, const ResponseSink &sink, bool acceptsGzip)
{
    respond(parseQuery(query, sink, acceptsGzip));
}

ReplicaRelay::RequestId ReplicaRelay::handle(std::string_view query, const ResponseSink &sink,
                                             bool acceptsGzip)
{
    if (!m_isServing) {
        refuse(sink);
        return 0;
    }
    Waiting waiting = parseQuery(query, sink, acceptsGzip);
    if (waiting.until <= m_loop.now() || hasChanges(waiting.versions)) {
        respond(waiting);
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
        respond(waiting);
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
        respond(waiting);
    }
    if (!m_waiting.empty())
        m_timer.startOnce(timeoutCheckPeriod);
}

void ReplicaRelay::respond(const Waiting &request)
{
    ChangesText text(m_texts, request.acceptsGzip);
    json confirmed = json::object();
    for (const auto &replica : m_replicas) {
        const auto age = replica->confirmedAge();
        if (age && request.versions.contains(replica->kind()))
            confirmed[replica->kind()] = describeConfirmation(*replica, *age);
    }
    std::string_view separator = "{";
    const auto appendKey = [&](std::string_view key) {
        text.append(std::exchange(separator, ","));
        text.appendJson(json(key));
        text.append(":");
    };
    if (!confirmed.empty()) {
        appendKey(confirmedKey);
        text.appendJson(confirmed);
    }
    for (const auto &replica : m_replicas) {
        const auto known = request.versions.find(replica->kind());
        if (known == request.versions.end() || replica->version() <= known->second)
            continue;
        appendKey(replica->kind());
        describe(*replica, known->second, text);
    }
    text.append(separator == "{" ? "{}" : "}");
    text.finish();
    send(request.sink, "200 OK", text.body(), text.isCompressed());
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
        json response = parseResponse(body);
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
