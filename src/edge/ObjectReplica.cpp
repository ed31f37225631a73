#include "edge/ObjectReplica.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "replica";
constexpr int statusOk = 200;
constexpr int statusGone = 410;

} // namespace

ObjectReplica::ObjectReplica(EventLoop &loop, const ObjectProtocol &protocol, Address store,
                             std::string kind, Callbacks callbacks, Duration watchDelay)
    : m_protocol(protocol)
    , m_store(std::move(store))
    , m_kind(std::move(kind))
    , m_callbacks(std::move(callbacks))
    , m_watchDelay(watchDelay)
    , m_client(loop)
    , m_retryTimer(loop, [this] { m_needsFullList ? list() : watch(); })
{}

void ObjectReplica::start()
{
    if (std::exchange(m_isWatching, true))
        return;
    m_needsFullList = m_needsFullList && m_revision == 0;
    m_needsFullList ? list() : watch();
}

void ObjectReplica::stop()
{
    m_isWatching = false;
    m_retryTimer.stop();
    m_client.cancel();
    m_listContinuation.clear();
    setReachable(false, "no longer watched");
}

void ObjectReplica::setReachable(bool reachable, const std::string &reason)
{
    if (m_hasReportedReachability && reachable == m_reachable)
        return;
    m_hasReportedReachability = true;
    m_reachable = reachable;
    BASILDECK_INFO(logComponent) << (reachable ? "store reachable" : "store unreachable")
                                 << " kind=" << m_kind << " revision=" << m_revision << " reason=\""
                                 << reason << '"';
    m_callbacks.onReachabilityChanged(reachable);
}

void ObjectReplica::retryLater(const std::string &reason)
{
    setReachable(false, reason);
    m_retryTimer.startOnce(m_backoff);
    m_backoff = std::min<Duration>(maxBackoff, m_backoff * 2);
}

void ObjectReplica::list()
{
    m_needsFullList = true;
    ++m_callCount;
    if (m_listContinuation.empty())
        m_listed.clear();
    m_client.call(
            m_store, "GET", m_protocol.listPath(m_kind, m_listContinuation), {}, callTimeout,
            [this](const Result<JsonHttpResponse> &response) { handleListResponse(response); });
}

void ObjectReplica::handleListResponse(const Result<JsonHttpResponse> &response)
{
    if (!response || response.value().status != statusOk) {
        m_listContinuation.clear();
        retryLater(response ? "status " + std::to_string(response.value().status)
                            : response.error().detail);
        return;
    }
    auto page = m_protocol.parsePage(response.value().body);
    if (!page) {
        m_listContinuation.clear();
        retryLater(page.error().detail);
        return;
    }
    // The watch starts at the revision of the first page, so it reports changes made while later
    // pages were listed.
    if (m_listContinuation.empty())
        m_listRevision = page.value().storeRevision;
    const bool more = page.value().hasMore && !page.value().objects.empty();
    m_listContinuation = more ? page.value().objects.back().name : std::string();
    for (StoredObject &object : page.value().objects)
        m_listed[object.name] = std::move(object);
    if (more) {
        list();
        return;
    }
    m_backoff = initialBackoff;
    m_needsFullList = false;
    setReachable(true, "listed");
    if (m_listRevision >= m_revision) {
        m_revision = m_listRevision;
        replaceAll(std::exchange(m_listed, {}));
    }
    if (m_isWatching)
        watch();
}

void ObjectReplica::replaceAll(std::map<std::string, StoredObject> objects)
{
    const auto before = std::exchange(m_objects, std::move(objects));
    const bool isFirst = m_logStart == 0;
    for (const auto &[name, object] : before) {
        if (m_objects.contains(name))
            continue;
        m_lastChangeRevision = m_revision; // upper bound: the revision of the deletion is unknown
        logChange({ object, true }, m_revision);
        m_callbacks.onDeleted(name);
    }
    for (const auto &[name, object] : m_objects) {
        m_lastChangeRevision = std::max(m_lastChangeRevision, object.revision);
        const auto old = before.find(name);
        if (old != before.end() && old->second.revision == object.revision)
            continue;
        if (!isFirst)
            logChange({ object, false }, m_revision);
        m_callbacks.onStored(object);
    }
    if (isFirst)
        m_logStart = m_revision;
    m_callbacks.onBatchApplied();
}

void ObjectReplica::logChange(ObjectChange change, std::uint64_t batchRevision)
{
    m_log.push_back({ batchRevision, std::move(change) });
    while (m_log.size() > maxLoggedChanges) {
        m_logStart = m_log.front().revision;
        m_log.pop_front();
    }
}

std::optional<std::vector<ObjectChange>> ObjectReplica::changesSince(std::uint64_t revision) const
{
    if (m_logStart == 0 || revision < m_logStart)
        return std::nullopt;
    std::vector<ObjectChange> changes;
    for (const LoggedChange &logged : m_log) {
        if (logged.revision > revision)
            changes.push_back(logged.change);
    }
    return changes;
}

bool ObjectReplica::adoptSnapshot(std::map<std::string, StoredObject> objects,
                                  std::uint64_t revision)
{
    if (revision <= m_revision)
        return false;
    m_revision = revision;
    replaceAll(std::move(objects));
    return true;
}

void ObjectReplica::adoptChanges(const std::vector<ObjectChange> &changes, std::uint64_t revision)
{
    if (revision <= m_revision)
        return;
    for (const ObjectChange &change : changes)
        apply(change, revision);
    m_revision = revision;
    if (changes.empty())
        return;
    m_lastChangeRevision = m_revision;
    m_callbacks.onBatchApplied();
}

void ObjectReplica::watch()
{
    ++m_callCount;
    // The first watch after an outage returns at once, to find out whether the store responds.
    const milliseconds wait = m_reachable ? watchTimeout : milliseconds(0);
    m_client.call(
            m_store, "GET", m_protocol.watchPath(m_kind, m_revision, wait), {}, wait + callTimeout,
            [this](const Result<JsonHttpResponse> &response) { handleWatchResponse(response); });
}

void ObjectReplica::handleWatchResponse(const Result<JsonHttpResponse> &response)
{
    if (!response) {
        retryLater(response.error().detail);
        return;
    }
    if (response.value().status == statusGone) {
        BASILDECK_INFO(logComponent)
                << "store no longer has the change history, listing again kind=" << m_kind
                << " revision=" << m_revision;
        m_listContinuation.clear();
        list();
        return;
    }
    if (response.value().status != statusOk) {
        retryLater("status " + std::to_string(response.value().status));
        return;
    }
    const auto changes = m_protocol.parseChanges(response.value().body);
    if (!changes) {
        m_needsFullList = true;
        retryLater(changes.error().detail);
        return;
    }
    m_backoff = initialBackoff;
    setReachable(true, "watched");
    // A response older than a snapshot adopted in the meantime could restore deleted objects.
    if (changes.value().storeRevision < m_revision) {
        watch();
        return;
    }
    for (const ObjectChange &change : changes.value().changes)
        apply(change, changes.value().storeRevision);
    m_revision = changes.value().storeRevision;
    if (changes.value().changes.empty()) {
        watch();
        return;
    }
    m_lastChangeRevision = m_revision;
    m_callbacks.onBatchApplied();
    if (m_isWatching)
        m_retryTimer.startOnce(m_watchDelay);
}

void ObjectReplica::apply(const ObjectChange &change, std::uint64_t batchRevision)
{
    const std::string &name = change.object.name;
    const auto known = m_objects.find(name);
    if (change.deleted) {
        // A snapshot adopted from another VM may be newer than this event.
        if (known == m_objects.end() || known->second.revision > change.object.revision)
            return;
        m_objects.erase(known);
        logChange(change, batchRevision);
        m_callbacks.onDeleted(name);
        return;
    }
    if (known != m_objects.end() && known->second.revision >= change.object.revision)
        return;
    m_objects[name] = change.object;
    logChange(change, batchRevision);
    m_callbacks.onStored(change.object);
}

} // namespace basildeck
