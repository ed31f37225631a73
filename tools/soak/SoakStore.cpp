#include "soak/SoakStore.h"

#include "soak/FaultProxy.h"

#include <algorithm>

namespace basildeck::soak {

using nlohmann::json;

namespace {

constexpr std::string_view objectsPathPrefix = "/api/objects/";
constexpr Duration copyInterval = milliseconds(250);
constexpr std::size_t maxCopies = 48; // of 12 s

std::string queryValue(const std::string &query, const std::string &name)
{
    const std::size_t nameStart = query.find(name + "=");
    if (nameStart == std::string::npos)
        return {};
    const std::size_t valueStart = nameStart + name.size() + 1;
    return query.substr(valueStart, query.find('&', valueStart) - valueStart);
}

} // namespace

SoakStore::SoakStore(EventLoop &loop)
    : m_loop(loop)
    , m_copyTimer(loop, [this] { keepCopy(); })
{
    m_copyTimer.startRepeating(copyInterval);
}

std::unique_ptr<SoakStore> SoakStore::make(EventLoop &loop, const Address &address)
{
    std::unique_ptr<SoakStore> store(new SoakStore(loop));
    return store->listen(address, [](ResponseSink &) {}) ? std::move(store) : nullptr;
}

bool SoakStore::listen(const Address &address, const std::function<void(ResponseSink &)> &adaptSink)
{
    auto server = EdgeServer::make(m_loop, address,
                                   { [this, adaptSink](IncomingRequest request) {
                                        adaptSink(request.sink);
                                        return handleRequest(request);
                                    },
                                     [this](const ResponseSink &sink, ErrorKind) {
                                         sendResponse(sink, 400, json::object());
                                     },
                                     [this](std::uint64_t id) {
                                         std::erase_if(m_watches, [&](const Watch &candidate) {
                                             return candidate.id == id;
                                         });
                                     },
                                     [](std::uint64_t) {} },
                                   m_memory);
    if (!server)
        return false;
    m_servers.push_back(std::move(server.value()));
    return true;
}

bool SoakStore::addView(const Address &address, const std::string &text,
                        const std::string &replacement)
{
    return listen(address, [text, replacement](ResponseSink &sink) {
        sink.body = [text, replacement, body = sink.body](std::string_view bytes) {
            std::string replaced(bytes);
            for (std::size_t found = replaced.find(text); found != std::string::npos;
                 found = replaced.find(text, found + replacement.size()))
                replaced.replace(found, text.size(), replacement);
            body(replaced);
        };
    });
}

void SoakStore::sendResponse(const ResponseSink &sink, int status, const json &body)
{
    const std::string text = body.dump();
    sink.head("HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " + std::to_string(m_era)
              + "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n");
    sink.body(text);
    sink.finish(false);
}

std::uint64_t SoakStore::handleRequest(const IncomingRequest &request)
{
    const std::uint64_t id = m_nextRequestId++;
    const std::string &target = request.head.request.target;
    if (m_mode == StoreMode::Unresponsive)
        return id;
    if (m_mode == StoreMode::Unavailable || !target.starts_with(objectsPathPrefix)) {
        sendResponse(request.sink, 503, json::object());
        return id;
    }
    const std::size_t queryStart = target.find('?');
    const std::string query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
    const std::string watchRevision = queryValue(query, "watch");
    if (watchRevision.empty()) {
        handleObjectRequest(request);
        return id;
    }
    const std::string kind
            = target.substr(objectsPathPrefix.size(), queryStart - objectsPathPrefix.size());
    const Watch watch{ id, kind, std::stoull(watchRevision), request.sink };
    if (respondToWatch(watch, false))
        return id;
    m_watches.push_back(watch);
    callLater(m_loop, milliseconds(std::stoll(queryValue(query, "wait_ms"))), [this, id] {
        const auto found = std::find_if(m_watches.begin(), m_watches.end(),
                                        [&](const Watch &candidate) { return candidate.id == id; });
        if (found == m_watches.end())
            return;
        respondToWatch(*found, true);
        m_watches.erase(found);
    });
    return id;
}

void SoakStore::handleObjectRequest(const IncomingRequest &request)
{
    const std::string path = request.head.request.target.substr(objectsPathPrefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, std::min(slash, path.find('?')));
    const std::string &method = request.head.request.method;
    if (slash == std::string::npos) {
        sendList(kind, request.sink);
        return;
    }
    const std::string name = path.substr(slash + 1);
    const bool exists = m_objects[kind].contains(name);
    int status = 200;
    if (method == "POST" && exists)
        status = 409;
    else if (method != "POST" && !exists)
        status = 404;
    else if (method == "DELETE")
        remove(kind, name);
    else
        put(kind, name, json::parse(request.body.text()).at("spec"));
    if (m_mode == StoreMode::DropResponses) {
        request.sink.abort(true);
        return;
    }
    sendResponse(request.sink, status, json::object());
}

void SoakStore::sendList(const std::string &kind, const ResponseSink &sink)
{
    json items = json::array();
    for (const auto &[name, object] : m_objects[kind])
        items.push_back(object);
    sendResponse(sink, 200,
                 { { "items", items }, { "more", false }, { "store_revision", m_revision } });
}

bool SoakStore::respondToWatch(const Watch &watch, bool timedOut)
{
    if (watch.afterRevision < m_compactedRevision || watch.afterRevision > m_revision) {
        sendResponse(watch.sink, 410, json::object());
        return true;
    }
    json events = json::array();
    for (const Change &change : m_changes) {
        if (change.kind == watch.kind && change.revision > watch.afterRevision)
            events.push_back({ { "object", change.object }, { "deleted", change.deleted } });
    }
    if (events.empty() && !timedOut)
        return false;
    sendResponse(watch.sink, 200, { { "events", events }, { "store_revision", m_revision } });
    return true;
}

void SoakStore::recordChange(const std::string &kind, const json &object, bool deleted)
{
    m_changes.push_back({ m_revision, kind, object, deleted });
    notifyWatches();
}

void SoakStore::notifyWatches()
{
    if (m_mode != StoreMode::Normal)
        return;
    const auto watches = m_watches;
    for (const Watch &watch : watches) {
        if (respondToWatch(watch, false))
            std::erase_if(m_watches,
                          [&](const Watch &candidate) { return candidate.id == watch.id; });
    }
}

void SoakStore::setMode(StoreMode mode)
{
    m_mode = mode;
    notifyWatches();
}

void SoakStore::cutWatches()
{
    for (const Watch &watch : std::exchange(m_watches, {}))
        watch.sink.abort(true);
}

void SoakStore::loseWatches(const std::string &kind)
{
    std::erase_if(m_watches,
                  [&](const Watch &watch) { return kind.empty() || watch.kind == kind; });
}

void SoakStore::keepCopy()
{
    m_copies.push_back({ m_loop.now(), m_revision, m_objects });
    if (m_copies.size() > maxCopies)
        m_copies.pop_front();
}

void SoakStore::restore(Time time)
{
    cutWatches();
    while (m_copies.size() > 1 && m_copies.back().time > time)
        m_copies.pop_back();
    m_objects = m_copies.back().objects;
    m_revision = m_copies.back().revision;
    m_compactedRevision = std::min(m_compactedRevision, m_revision);
    std::erase_if(m_changes, [&](const Change &change) { return change.revision > m_revision; });
    ++m_era;
}

void SoakStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    const auto known = m_objects[kind].find(name);
    if (known != m_objects[kind].end() && known->second.at("spec") == spec)
        return;
    ++m_revision;
    const json object = { { "metadata", { { "name", name }, { "revision", m_revision } } },
                          { "spec", spec } };
    m_objects[kind][name] = object;
    recordChange(kind, object, false);
}

void SoakStore::remove(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return;
    ++m_revision;
    json object = found->second;
    object["metadata"]["revision"] = m_revision;
    m_objects[kind].erase(found);
    recordChange(kind, object, true);
}

void SoakStore::compactHistory()
{
    m_compactedRevision = m_revision;
    m_changes.clear();
}

} // namespace basildeck::soak
