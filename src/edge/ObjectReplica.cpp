#include "edge/ObjectReplica.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *part = "replica";
constexpr int statusOk = 200;
constexpr int statusGone = 410;

} // namespace

ObjectReplica::ObjectReplica(EventLoop &loop, const ObjectProtocol &protocol, Address store,
                             std::string kind, Callbacks callbacks, Duration pause)
    : m_protocol(protocol)
    , m_store(std::move(store))
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_pause(pause)
    , m_caller(loop)
    , m_retry(loop, [this] { m_needsList ? list() : watch(); })
{}

void ObjectReplica::start()
{
    list();
}

void ObjectReplica::stop()
{
    m_retry.stop();
    m_caller.cancel();
}

void ObjectReplica::setReachable(bool reachable, const std::string &reason)
{
    if (m_reported && reachable == m_reachable)
        return;
    m_reported = true;
    m_reachable = reachable;
    BASILDECK_INFO(part) << (reachable ? "store answers" : "store does not answer")
                         << " kind=" << m_kind << " revision=" << m_revision << " reason=\""
                         << reason << '"';
    m_callbacks.reachable(reachable);
}

void ObjectReplica::retryLater(const std::string &reason)
{
    setReachable(false, reason);
    m_retry.startOnce(m_backoff);
    m_backoff = std::min<Duration>(longestBackoff, m_backoff * 2);
}

void ObjectReplica::list()
{
    m_needsList = true;
    ++m_calls;
    if (m_listAfter.empty())
        m_listed.clear();
    m_caller.call(m_store, "GET", m_protocol.listPath(m_kind, m_listAfter), {}, callTimeout,
                  [this](const Result<JsonHttpResponse> &answer) { takeListAnswer(answer); });
}

void ObjectReplica::takeListAnswer(const Result<JsonHttpResponse> &answer)
{
    if (!answer || answer.value().status != statusOk) {
        m_listAfter.clear();
        retryLater(answer ? "status " + std::to_string(answer.value().status)
                          : answer.error().detail);
        return;
    }
    auto page = m_protocol.parsePage(answer.value().body);
    if (!page) {
        m_listAfter.clear();
        retryLater(page.error().detail);
        return;
    }
    // Changes between two pages are seen by the watch, which starts at the first page's revision.
    if (m_listAfter.empty())
        m_listRevision = page.value().storeRevision;
    const bool more = page.value().hasMore && !page.value().objects.empty();
    m_listAfter = more ? page.value().objects.back().name : std::string();
    for (StoredObject &object : page.value().objects)
        m_listed[object.name] = std::move(object);
    if (more) {
        list();
        return;
    }
    m_backoff = firstBackoff;
    m_needsList = false;
    setReachable(true, "listed");
    if (m_listRevision >= m_revision) {
        m_revision = m_listRevision;
        replaceAll(std::exchange(m_listed, {}));
    }
    watch();
}

void ObjectReplica::replaceAll(std::map<std::string, StoredObject> objects)
{
    const auto before = std::exchange(m_objects, std::move(objects));
    for (const auto &[name, object] : before) {
        if (m_objects.contains(name))
            continue;
        m_changeRevision = m_revision; // it was deleted at some revision up to this one
        m_callbacks.deleted(name);
    }
    for (const auto &[name, object] : m_objects) {
        m_changeRevision = std::max(m_changeRevision, object.revision);
        const auto old = before.find(name);
        if (old == before.end() || old->second.revision != object.revision)
            m_callbacks.stored(object);
    }
    m_callbacks.settled();
}

bool ObjectReplica::adopt(std::map<std::string, StoredObject> objects, std::uint64_t revision)
{
    if (revision <= m_revision)
        return false;
    m_revision = revision;
    replaceAll(std::move(objects));
    return true;
}

void ObjectReplica::watch()
{
    ++m_calls;
    m_caller.call(m_store, "GET", m_protocol.watchPath(m_kind, m_revision, watchWait), {},
                  watchWait + callTimeout,
                  [this](const Result<JsonHttpResponse> &answer) { takeWatchAnswer(answer); });
}

void ObjectReplica::takeWatchAnswer(const Result<JsonHttpResponse> &answer)
{
    if (!answer) {
        retryLater(answer.error().detail);
        return;
    }
    if (answer.value().status == statusGone) {
        BASILDECK_INFO(part) << "history is gone, listing again kind=" << m_kind
                             << " revision=" << m_revision;
        m_listAfter.clear();
        list();
        return;
    }
    if (answer.value().status != statusOk) {
        retryLater("status " + std::to_string(answer.value().status));
        return;
    }
    const auto changes = m_protocol.parseChanges(answer.value().body);
    if (!changes) {
        m_needsList = true;
        retryLater(changes.error().detail);
        return;
    }
    m_backoff = firstBackoff;
    setReachable(true, "watched");
    // An answer older than a copy that was taken over meanwhile could bring deleted objects back.
    if (changes.value().storeRevision < m_revision) {
        watch();
        return;
    }
    for (const ObjectChange &change : changes.value().changes)
        apply(change);
    m_revision = changes.value().storeRevision;
    if (changes.value().changes.empty()) {
        watch();
        return;
    }
    m_changeRevision = m_revision;
    m_callbacks.settled();
    m_retry.startOnce(m_pause);
}

void ObjectReplica::apply(const ObjectChange &change)
{
    const std::string &name = change.object.name;
    const auto known = m_objects.find(name);
    if (change.deleted) {
        // A copy of another VM may be newer than this event.
        if (known == m_objects.end() || known->second.revision > change.object.revision)
            return;
        m_objects.erase(known);
        m_callbacks.deleted(name);
        return;
    }
    if (known != m_objects.end() && known->second.revision >= change.object.revision)
        return;
    m_objects[name] = change.object;
    m_callbacks.stored(change.object);
}

} // namespace basildeck
