#include "edge/ObjectReplica.h"

#include "core/Log.h"
#include "edge/ConfirmedAge.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "replica";
constexpr int statusOk = 200;
constexpr int statusGone = 410;

} // namespace

ObjectReplica::ObjectReplica(EventLoop &loop, const ObjectProtocol &protocol, Address store,
                             std::string kind, Callbacks callbacks, WatchTimes watchTimes)
    : m_loop(loop)
    , m_protocol(protocol)
    , m_store(std::move(store))
    , m_kind(std::move(kind))
    , m_unreadableLog(m_kind)
    , m_callbacks(std::move(callbacks))
    , m_watchTimes(watchTimes)
    , m_client(loop)
    , m_retryTimer(loop, [this] { m_needsFullList ? list() : watch(); })
{
    m_client.setTransferTimes(callTimeout, maxTransferTime);
}

void ObjectReplica::start()
{
    if (std::exchange(m_isWatching, true))
        return;
    m_needsFullList = !isListed() || isOfEarlierEra();
    m_needsFullList ? list() : watch();
}

void ObjectReplica::stop()
{
    m_isWatching = false;
    m_retryTimer.stop();
    m_client.cancel();
    m_isWatchPending = false;
    m_isUnresponsive = false;
    m_listContinuation.clear();
    setReachable(false, "no longer watched");
}

void ObjectReplica::setReachable(bool reachable, const std::string &reason)
{
    if (m_hasReportedReachability && reachable == m_reachable)
        return;
    m_hasReportedReachability = true;
    m_reachable = reachable;
    BASILDECK_INFO(logComponent)
            << (reachable ? "store reachable" : "store unreachable") << " kind=" << m_kind
            << " version=" << m_version << " reason=\"" << reason << "\" call_ms="
            << std::chrono::duration_cast<milliseconds>(m_loop.now() - m_calledAt).count()
            << " confirmed_ms=" << confirmedAgeText(confirmedAge());
    m_callbacks.onReachabilityChanged(reachable);
}

void ObjectReplica::retryLater(const std::string &reason)
{
    setReachable(false, reason);
    callAgainLater();
}

void ObjectReplica::callAgainLater()
{
    if (m_isWatching)
        m_retryTimer.startOnce(m_backoff);
    m_backoff = std::min<Duration>(maxBackoff, m_backoff * 2);
}

void ObjectReplica::raiseEra(std::uint64_t era)
{
    if (era <= m_storeEra)
        return;
    recordEra(era);
    if (m_isWatching)
        listAgain();
}

void ObjectReplica::recordEra(std::uint64_t era)
{
    m_storeEra = era;
    if (!isListed())
        return;
    m_needsFullList = true;
    BASILDECK_WARNING(logComponent)
            << "store has returned from an older copy, listing again kind=" << m_kind
            << " version=" << m_version << " era=" << era;
}

void ObjectReplica::listAgain()
{
    m_retryTimer.stop();
    if (m_client.isBusy())
        m_client.cancel();
    m_listContinuation.clear();
    list();
}

bool ObjectReplica::acceptEra(const JsonHttpResponse &response)
{
    const std::uint64_t era = response.numberField(m_protocol.eraHeader).value_or(m_storeEra);
    if (era < m_storeEra) {
        m_listContinuation.clear();
        retryLater("response of the earlier era " + std::to_string(era));
        return false;
    }
    if (era > m_storeEra) {
        recordEra(era);
        m_callbacks.onEraRaised(era);
    }
    return true;
}

void ObjectReplica::list()
{
    m_needsFullList = true;
    if (m_listContinuation.empty()) {
        m_listed.clear();
        m_listContinuations.clear();
        m_listCalledAt = m_loop.now();
    }
    call(m_protocol.listPath(m_kind, m_listContinuation), callTimeout,
         &ObjectReplica::handleListResponse);
}

void ObjectReplica::call(const std::string &path, Duration timeout,
                         void (ObjectReplica::*handle)(const Result<JsonHttpResponse> &))
{
    ++m_callCount;
    m_calledAt = m_loop.now();
    m_isWatchPending = false;
    m_client.call(m_store, "GET", path, {}, timeout,
                  [this, handle](const Result<JsonHttpResponse> &response) {
                      m_isWatchPending = false;
                      recordResponse(response.has_value());
                      (this->*handle)(response);
                  });
}

void ObjectReplica::recordResponse(bool received)
{
    if (std::exchange(m_isUnresponsive, !received) && received)
        m_callbacks.onResponsive();
}

void ObjectReplica::renewWatch(Time sentBefore)
{
    // A response that arrives is not lost.
    if (!m_isWatchPending || m_calledAt >= sentBefore || m_client.isReceiving())
        return;
    BASILDECK_INFO(logComponent)
            << "sending the watch again, its response may be lost kind=" << m_kind
            << " version=" << m_version << " waited_ms="
            << std::chrono::duration_cast<milliseconds>(m_loop.now() - m_calledAt).count();
    m_client.cancel();
    watchFor(milliseconds(0));
}

Duration ObjectReplica::callAge() const
{
    return m_client.isBusy() ? m_loop.now() - m_calledAt : Duration::zero();
}

std::optional<Duration> ObjectReplica::confirmedAge() const
{
    return m_confirmedAt ? std::optional<Duration>(m_loop.now() - *m_confirmedAt) : std::nullopt;
}

void ObjectReplica::confirm(const StoreVersion &version, Time at)
{
    if (version <= m_version && !isOfEarlierEra())
        recordConfirmation(at);
}

void ObjectReplica::recordConfirmation(Time at)
{
    m_confirmedAt = std::max(m_confirmedAt, std::optional<Time>(at));
}

void ObjectReplica::handleListResponse(const Result<JsonHttpResponse> &response)
{
    if (response && !acceptEra(response.value()))
        return;
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
    m_unreadableLog.record(page.value().unreadable);
    // The watch starts at the revision of the first page, so it reports changes made while later
    // pages were listed.
    if (m_listContinuation.empty()) {
        m_listVersion = { m_storeEra, page.value().storeRevision };
    } else if (m_listVersion.era != m_storeEra) {
        listAgain();
        return;
    }
    for (StoredObject &object : page.value().objects)
        m_listed[object.name] = std::move(object);
    if (page.value().hasMore) {
        continueList(page.value().continuation);
        return;
    }
    m_listContinuation.clear();
    m_needsFullList = false;
    setReachable(true, "listed");
    // A snapshot that was adopted in the meantime can be newer.
    if (m_listVersion < m_version) {
        callAgainLater();
        return;
    }
    m_backoff = initialBackoff;
    recordConfirmation(m_listCalledAt);
    replaceAll(std::exchange(m_listed, {}), m_listVersion);
    if (m_isWatching)
        watch();
}

void ObjectReplica::continueList(const std::string &after)
{
    m_listContinuation = after;
    if (!after.empty() && m_listContinuations.insert(after).second) {
        list();
        return;
    }
    BASILDECK_WARNING(logComponent)
            << "list of the store does not come to an end, listing again kind=" << m_kind
            << " after=" << after << " pages=" << m_listContinuations.size() + 1
            << " listed=" << m_listed.size();
    m_listContinuation.clear();
    retryLater("list does not come to an end");
}

void ObjectReplica::replaceAll(std::map<std::string, StoredObject> objects,
                               const StoreVersion &version)
{
    const StoreVersion versionBefore = std::exchange(m_version, version);
    if (versionBefore.revision != 0 && versionBefore.era < version.era) {
        BASILDECK_WARNING(logComponent) << "objects of a restored store kind=" << m_kind
                                        << " before=" << versionBefore << " version=" << version;
        m_objects = std::move(objects);
        // Revisions of the earlier era say nothing about the changes since then.
        m_log.clear();
        m_gaps.clear();
        m_logStart = version.revision;
        m_lastChange = { version.era, 0 };
        for (const auto &[name, object] : m_objects)
            m_lastChange.revision = std::max(m_lastChange.revision, object.revision);
        m_callbacks.onRestored(m_objects);
        m_callbacks.onBatchApplied();
        return;
    }
    const auto before = std::exchange(m_objects, std::move(objects));
    const bool isFirst = m_logStart == 0;
    for (const auto &[name, object] : before) {
        if (m_objects.contains(name))
            continue;
        m_lastChange = m_version; // upper bound: the revision of the deletion is unknown
        logChange(object, m_version.revision);
        m_callbacks.onDeleted(name);
    }
    for (const auto &[name, object] : m_objects) {
        m_lastChange = std::max(m_lastChange, { m_version.era, object.revision });
        const auto old = before.find(name);
        if (old != before.end() && old->second.revision == object.revision)
            continue;
        if (!isFirst)
            logChange(object, m_version.revision);
        m_callbacks.onStored(object);
    }
    if (isFirst)
        m_logStart = m_version.revision;
    else
        m_gaps.push_back({ versionBefore.revision, m_version.revision });
    if (m_gaps.size() > maxGaps) {
        m_logStart = std::max(m_logStart, m_gaps.front().before);
        m_gaps.pop_front();
    }
    m_callbacks.onBatchApplied();
}

void ObjectReplica::logChange(const StoredObject &object, std::uint64_t batchRevision)
{
    m_log.push_back({ batchRevision, object.name, object.revision });
    while (m_log.size() > maxLoggedChanges) {
        m_logStart = m_log.front().revision;
        m_log.pop_front();
    }
}

std::optional<std::vector<ReplicaChange>>
ObjectReplica::changesSince(const StoreVersion &version) const
{
    if (m_logStart == 0 || version.era != m_version.era || version.revision < m_logStart)
        return std::nullopt;
    if (std::any_of(m_gaps.begin(), m_gaps.end(), [&](const Gap &gap) {
            return gap.after < version.revision && version.revision < gap.before;
        }))
        return std::nullopt;
    std::vector<ReplicaChange> changes;
    std::set<std::string_view> names;
    for (auto logged = m_log.rbegin();
         logged != m_log.rend() && logged->revision > version.revision; ++logged) {
        if (!names.insert(logged->name).second)
            continue;
        const auto object = m_objects.find(logged->name);
        changes.push_back({ logged->name, logged->objectRevision,
                            object == m_objects.end() ? nullptr : &object->second });
    }
    std::reverse(changes.begin(), changes.end());
    return changes;
}

bool ObjectReplica::adoptSnapshot(std::map<std::string, StoredObject> objects,
                                  const StoreVersion &version)
{
    if (version <= m_version || version.era < m_storeEra)
        return false;
    const bool isEraNew = version.era > std::exchange(m_storeEra, version.era);
    replaceAll(std::move(objects), version);
    if (isEraNew)
        m_callbacks.onEraRaised(version.era);
    return true;
}

void ObjectReplica::adoptChanges(std::vector<ObjectChange> changes, const StoreVersion &version)
{
    if (version <= m_version || version.era != m_version.era || isOfEarlierEra())
        return;
    for (ObjectChange &change : changes)
        apply(std::move(change), version.revision);
    m_version = version;
    if (changes.empty())
        return;
    m_lastChange = m_version;
    m_callbacks.onBatchApplied();
}

void ObjectReplica::watch()
{
    // The first watch after an outage returns at once, to find out whether the store responds.
    if (!m_reachable) {
        watchFor(milliseconds(0));
        return;
    }
    watchFor(m_nextWait);
    m_nextWait = std::min(m_watchTimes.maxWait, m_nextWait * 2);
}

void ObjectReplica::watchFor(milliseconds wait)
{
    m_watchEra = m_version.era;
    call(m_protocol.watchPath(m_kind, m_version.revision, wait), wait + callTimeout,
         &ObjectReplica::handleWatchResponse);
    m_isWatchPending = true;
    m_watchEndsAt = m_calledAt + wait;
}

void ObjectReplica::handleWatchResponse(const Result<JsonHttpResponse> &response)
{
    if (!response) {
        retryLater(response.error().detail);
        return;
    }
    if (!acceptEra(response.value()))
        return;
    if (response.value().status == statusGone) {
        BASILDECK_INFO(logComponent)
                << "store no longer has the change history, listing again kind=" << m_kind
                << " version=" << m_version;
        listAgain();
        return;
    }
    if (response.value().status != statusOk) {
        retryLater("status " + std::to_string(response.value().status));
        return;
    }
    auto changes = m_protocol.parseChanges(response.value().body);
    if (!changes) {
        m_needsFullList = true;
        retryLater(changes.error().detail);
        return;
    }
    m_unreadableLog.record(changes.value().unreadable);
    // The revision from which the store reported changes is one of another history.
    if (m_watchEra != m_storeEra) {
        listAgain();
        return;
    }
    setReachable(true, "watched");
    // A response older than a snapshot adopted in the meantime could restore deleted objects.
    if (changes.value().storeRevision < m_version.revision) {
        callAgainLater();
        return;
    }
    m_backoff = initialBackoff;
    // A response that this VM reads late, because it was paused, says nothing about the time since.
    recordConfirmation(std::min(m_loop.now(), m_watchEndsAt));
    for (ObjectChange &change : changes.value().changes)
        apply(std::move(change), changes.value().storeRevision);
    m_version.revision = changes.value().storeRevision;
    if (changes.value().changes.empty()) {
        watch();
        return;
    }
    m_lastChange = m_version;
    m_nextWait = m_watchTimes.firstWait;
    m_callbacks.onBatchApplied();
    if (m_isWatching)
        m_retryTimer.startOnce(m_watchTimes.delay);
}

void ObjectReplica::apply(ObjectChange change, std::uint64_t batchRevision)
{
    const std::string name = change.object.name;
    const auto known = m_objects.find(name);
    if (change.deleted) {
        // A snapshot adopted from another VM may be newer than this event.
        if (known == m_objects.end() || known->second.revision > change.object.revision)
            return;
        m_objects.erase(known);
        logChange(change.object, batchRevision);
        m_callbacks.onDeleted(name);
        return;
    }
    if (known != m_objects.end() && known->second.revision >= change.object.revision)
        return;
    const StoredObject &object = m_objects[name] = std::move(change.object);
    logChange(object, batchRevision);
    m_callbacks.onStored(object);
}

} // namespace basildeck
