#include "standin/StoreStandin.h"

#include <nlohmann/json.hpp>

namespace basildeck::standin {

using nlohmann::json;

struct StoreStandin::DelayedResponse
{
    Time sendTime;
    HttpServer::RequestId id;
    HttpResponse response;
};

struct StoreStandin::Watch
{
    HttpServer::RequestId id;
    std::string kind;
    std::uint64_t from;
    Time expires;
};

namespace {

constexpr microseconds tickInterval{ 1'000 };

HttpResponse jsonResponse(int status, const json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

json objectJson(const StoredObject &object)
{
    return { { "kind", object.kind },
             { "name", object.name },
             { "version", object.version },
             { "deleted", object.deleted },
             { "value", object.deleted ? json() : json::parse(object.value, nullptr, false) } };
}

json objectListJson(const std::vector<StoredObject> &objects, std::uint64_t version)
{
    json items = json::array();
    for (const StoredObject &object : objects)
        items.push_back(objectJson(object));
    return { { "version", version }, { "items", items } };
}

std::uint64_t numberArgument(const HttpRequest &request, std::string_view name)
{
    return std::strtoull(request.queryParameter(name).c_str(), nullptr, 10);
}

// Splits a path after its prefix into kind and name; the name is empty if the path has none.
std::pair<std::string, std::string> parseObjectPath(const std::string &path,
                                                    std::string_view prefix)
{
    const std::string suffix = path.substr(prefix.size());
    const auto slash = suffix.find('/');
    if (slash == std::string::npos)
        return { suffix, "" };
    return { suffix.substr(0, slash), suffix.substr(slash + 1) };
}

constexpr std::string_view objectsPrefix = "/v1/objects/";
constexpr std::string_view watchPrefix = "/v1/watch/";
constexpr std::string_view vmsPrefix = "/vms/";

} // namespace

std::unique_ptr<StoreStandin> StoreStandin::make(const Address &address)
{
    std::unique_ptr<StoreStandin> store(new StoreStandin);
    store->m_loop = LwsLoop::make({ .tick = tickInterval });
    if (!store->m_loop)
        return nullptr;
    StoreStandin *self = store.get();
    store->m_server = HttpServer::make(
            *store->m_loop, address, [self](HttpServer::RequestId id, const HttpRequest &request) {
                self->handle(id, request);
            });
    if (!store->m_server)
        return nullptr;
    store->m_loop->setOnTick([self] { self->onTick(); });
    return store;
}

StoreStandin::~StoreStandin()
{
    if (m_thread.joinable()) {
        m_loop->stop();
        m_thread.join();
    }
    m_loop.reset();
}

void StoreStandin::start()
{
    m_thread = std::thread([this] { m_loop->run(); });
}

void StoreStandin::setFaults(const StoreFaults &faults)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

StoreCounts StoreStandin::counts() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

void StoreStandin::setVm(const std::string &name, const std::string &state)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    VmState &vm = m_vms[name];
    vm.before = vm.state;
    vm.state = state;
    vm.changed = Clock::now();
}

void StoreStandin::copyObjects()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_copy = m_objects;
}

bool StoreStandin::restoreObjects()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_copy)
        return false;
    m_objects = *m_copy;
    ++m_era;
    return true;
}

void StoreStandin::handle(HttpServer::RequestId id, const HttpRequest &request)
{
    if (!request.path.starts_with("/v1/")) {
        handleControl(id, request);
        return;
    }
    std::lock_guard<std::mutex> lock(m_mutex);
    const Time now = Clock::now();
    if (m_faults.outage) {
        m_server->drop(id);
        return;
    }
    if (exceedsCallRate(now)) {
        respondLater(id, jsonResponse(429, { { "error", "too many calls" } }), now);
        return;
    }
    if (request.path.starts_with(watchPrefix)) {
        ++m_counts.watches;
        m_watches.push_back({ id, request.path.substr(watchPrefix.size()),
                              numberArgument(request, "from"),
                              now + milliseconds(numberArgument(request, "waitMs")) });
        return;
    }
    const bool listsVms = request.path == "/v1/vms";
    m_counts.reads += listsVms ? 1 : 0;
    HttpResponse response = listsVms ? vmListResponse() : handleObject(request);
    if (std::exchange(m_dropNextResponse, false)) {
        m_server->drop(id);
        return;
    }
    respondLater(id, std::move(response), now);
}

void StoreStandin::respondLater(HttpServer::RequestId id, HttpResponse response, Time now)
{
    response.headers.push_back({ eraHeader, std::to_string(m_era) });
    m_delayedResponses.push_back({ now + m_faults.latency, id, std::move(response) });
}

void StoreStandin::handleControl(HttpServer::RequestId id, const HttpRequest &request)
{
    if (request.path.starts_with(vmsPrefix)) {
        setVm(request.path.substr(vmsPrefix.size()), request.queryParameter("state"));
        m_server->respond(id, jsonResponse(200, json::object()));
        return;
    }
    if (request.path == "/copy") {
        copyObjects();
        m_server->respond(id, jsonResponse(200, json::object()));
        return;
    }
    if (request.path == "/restore") {
        m_server->respond(id, jsonResponse(restoreObjects() ? 200 : 409, json::object()));
        return;
    }
    if (request.path == "/faults") {
        const json body = json::parse(request.body, nullptr, false);
        if (body.is_discarded()) {
            m_server->respond(id, jsonResponse(400, { { "error", "not JSON" } }));
            return;
        }
        StoreFaults faults;
        faults.latency = milliseconds(body.value("latencyMs", 2));
        faults.outage = body.value("outage", false);
        faults.loseAnswers = body.value("loseAnswers", 0);
        faults.callsPerSecond = body.value("callsPerSecond", 0);
        faults.vmListLag = milliseconds(body.value("vmListLagMs", 0));
        setFaults(faults);
        m_server->respond(id, jsonResponse(200, json::object()));
        return;
    }
    const StoreCounts totals = counts();
    m_server->respond(id, jsonResponse(request.path == "/counts" ? 200 : 404,
                                       { { "reads", totals.reads },
                                         { "writes", totals.writes },
                                         { "watches", totals.watches },
                                         { "conflicts", totals.conflicts } }));
}

HttpResponse StoreStandin::handleObject(const HttpRequest &request)
{
    if (!request.path.starts_with(objectsPrefix))
        return jsonResponse(404, { { "error", "no such path" } });
    const auto [kind, name] = parseObjectPath(request.path, objectsPrefix);
    if (request.method == "PUT" || request.method == "DELETE")
        return write(request, kind, name);
    ++m_counts.reads;
    if (name.empty())
        return jsonResponse(200, objectListJson(m_objects.list(kind, 0), m_objects.version()));
    const StoredObject *object = m_objects.find(kind, name);
    if (object == nullptr)
        return jsonResponse(404, { { "error", "no such object" } });
    return jsonResponse(200, objectJson(*object));
}

HttpResponse StoreStandin::write(const HttpRequest &request, const std::string &kind,
                                 const std::string &name)
{
    ++m_counts.writes;
    const std::uint64_t expectedVersion = numberArgument(request, "version");
    if (request.method == "PUT" && !json::accept(request.body))
        return jsonResponse(400, { { "error", "the value is not JSON" } });
    const auto result = request.method == "PUT"
                                ? m_objects.put(kind, name, expectedVersion, request.body)
                                : m_objects.remove(kind, name, expectedVersion);
    if (!result) {
        ++m_counts.conflicts;
        const StoredObject *current = m_objects.find(kind, name);
        return jsonResponse(result.error().kind == ErrorKind::EditConflict ? 409 : 413,
                            { { "error", result.error().detail },
                              { "version", current == nullptr ? 0 : current->version } });
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        m_dropNextResponse = true;
    }
    return jsonResponse(200, { { "version", result.value() } });
}

HttpResponse StoreStandin::vmListResponse() const
{
    json items = json::array();
    const Time now = Clock::now();
    for (const auto &[name, vm] : m_vms) {
        const bool isVisible = now - vm.changed >= m_faults.vmListLag;
        const std::string &state = isVisible ? vm.state : vm.before;
        if (!state.empty())
            items.push_back({ { "name", name }, { "state", state } });
    }
    return jsonResponse(200, { { "items", items } });
}

void StoreStandin::onTick()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const Time now = Clock::now();
    std::erase_if(m_delayedResponses, [&](DelayedResponse &pending) {
        if (pending.sendTime > now)
            return false;
        m_server->respond(pending.id, std::move(pending.response));
        return true;
    });
    completeWatches(now);
}

void StoreStandin::completeWatches(Time now)
{
    std::erase_if(m_watches, [&](const Watch &watch) {
        if (m_faults.outage) {
            m_server->drop(watch.id);
            return true;
        }
        if (watch.from > m_objects.version()) {
            respondLater(watch.id, jsonResponse(410, { { "error", "no such version" } }), now);
            return true;
        }
        const auto newer = m_objects.list(watch.kind, watch.from);
        const bool hasNewer = !newer.empty() && newer.front().version > watch.from;
        if (!hasNewer && watch.expires > now)
            return false;
        respondLater(watch.id, jsonResponse(200, objectListJson(newer, m_objects.version())), now);
        return true;
    });
}

bool StoreStandin::exceedsCallRate(Time now)
{
    if (m_faults.callsPerSecond == 0)
        return false;
    if (now - m_callWindowStart >= seconds(1)) {
        m_callWindowStart = now;
        m_callsInWindow = 0;
    }
    return ++m_callsInWindow > m_faults.callsPerSecond;
}

} // namespace basildeck::standin
