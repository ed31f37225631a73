#include "edge/RestoredObjectFilter.h"

#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr const char *logComponent = "restore";

} // namespace

RestoredObjectFilter::RestoredObjectFilter(std::string kind, SettlingTimes times, ObjectOrder order,
                                           Callbacks callbacks)
    : m_kind(std::move(kind))
    , m_times(times)
    , m_order(std::move(order))
    , m_callbacks(std::move(callbacks))
{}

const StoredObject *RestoredObjectFilter::lastKnown(const std::string &name) const
{
    const auto object = m_objects.find(name);
    if (object != m_objects.end())
        return &object->second;
    const auto deletion = m_deletions.find(name);
    return deletion == m_deletions.end() ? nullptr : &deletion->second.object;
}

std::optional<bool> RestoredObjectFilter::isOlderByOrder(const StoredObject &object) const
{
    const StoredObject *known = lastKnown(object.name);
    if (known == nullptr || !m_order)
        return std::nullopt;
    const auto key = m_order(object);
    const auto knownKey = m_order(*known);
    if (!key || !knownKey)
        return std::nullopt;
    // A deletion is newer than the state that was deleted.
    return *key < *knownKey || (*key == *knownKey && !m_objects.contains(object.name));
}

bool RestoredObjectFilter::isLateWrite(const StoredObject &object) const
{
    const StoredObject *known = lastKnown(object.name);
    if (known == nullptr || !m_order)
        return false;
    const auto key = m_order(object);
    const auto knownKey = m_order(*known);
    // An entry that expired returns with the key that it had.
    return key && knownKey && *key < *knownKey;
}

bool RestoredObjectFilter::isFromCopy(const StoredObject &object) const
{
    if (const auto isOlder = isOlderByOrder(object))
        return *isOlder;
    const StoredObject *known = lastKnown(object.name);
    return known != nullptr && object.revision <= known->revision;
}

void RestoredObjectFilter::accept(const StoredObject &object)
{
    m_held.erase(object.name);
    m_deletions.erase(object.name);
    m_objects[object.name] = object;
    m_callbacks.onStored(object);
}

void RestoredObjectFilter::remove(const std::string &name, Time now)
{
    m_held.erase(name);
    auto known = m_objects.extract(name);
    if (known.empty())
        return;
    m_deletions[name] = { std::move(known.mapped()), now };
    if (m_deletions.size() > maxRememberedDeletions)
        m_deletions.erase(std::min_element(
                m_deletions.begin(), m_deletions.end(),
                [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
    m_callbacks.onDeleted(name);
}

void RestoredObjectFilter::stored(const StoredObject &object, Time now)
{
    // What was lost may be written again in several steps, the older ones first.
    if (m_settlesAt && now < *m_settlesAt && isOlderByOrder(object).value_or(false)) {
        m_held[object.name] = { object, *m_settlesAt };
        return;
    }
    if (isLateWrite(object)) {
        BASILDECK_INFO(logComponent)
                << "state written before the one in force is held back kind=" << m_kind
                << " name=" << object.name << " revision=" << object.revision;
        m_held[object.name] = { object, now + m_times.older };
        return;
    }
    accept(object);
}

void RestoredObjectFilter::deleted(const std::string &name, Time now)
{
    remove(name, now);
}

void RestoredObjectFilter::restored(const std::map<std::string, StoredObject> &objects, Time now)
{
    m_settlesAt = now + std::max(m_times.missing, m_times.older);
    m_held.clear();
    std::size_t missing = 0;
    for (const auto &[name, known] : m_objects) {
        if (objects.contains(name))
            continue;
        m_held[name] = { std::nullopt, now + m_times.missing };
        ++missing;
    }
    std::size_t older = 0;
    for (const auto &[name, object] : objects) {
        const auto known = m_objects.find(name);
        if (known != m_objects.end() && known->second.content == object.content) {
            known->second.revision = object.revision;
            continue;
        }
        if (m_times.older == Duration::zero() || !isFromCopy(object)) {
            accept(object);
            continue;
        }
        m_held[name] = { object, now + m_times.older };
        ++older;
    }
    BASILDECK_INFO(logComponent) << "states known before the restore stay in force kind=" << m_kind
                                 << " missing=" << missing << " older=" << older
                                 << " objects=" << m_objects.size();
}

bool RestoredObjectFilter::tick(Time now)
{
    std::erase_if(m_deletions, [&](const auto &entry) {
        return now - entry.second.at > deletionMemory && !m_held.contains(entry.first);
    });
    if (m_settlesAt && now >= *m_settlesAt)
        m_settlesAt.reset();
    std::map<std::string, HeldState> due;
    for (const auto &[name, held] : m_held) {
        if (now >= held.until)
            due.emplace(name, held);
    }
    for (const auto &[name, held] : due) {
        BASILDECK_WARNING(logComponent)
                << "not written again in time, the store's state is in force kind=" << m_kind
                << " name=" << name << " revision=" << (held.object ? held.object->revision : 0)
                << " exists=" << held.object.has_value();
        if (held.object)
            accept(*held.object);
        else
            remove(name, now);
    }
    return !due.empty();
}

void RestoredObjectFilter::postpone(Time now)
{
    for (auto &[name, held] : m_held)
        held.until = std::max(held.until, now + (held.object ? m_times.older : m_times.missing));
    if (m_settlesAt)
        m_settlesAt = std::max(*m_settlesAt, now + std::max(m_times.missing, m_times.older));
}

std::vector<StoredObject> RestoredObjectFilter::broughtBackByCopy(Time now,
                                                                  Duration unwrittenFor) const
{
    std::vector<StoredObject> objects;
    for (const auto &[name, held] : m_held) {
        const Time heldSince = held.until - m_times.older;
        if (held.object && !m_objects.contains(name) && now - heldSince >= unwrittenFor)
            objects.push_back(*held.object);
    }
    return objects;
}

} // namespace basildeck
