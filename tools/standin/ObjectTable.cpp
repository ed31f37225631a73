#include "standin/ObjectTable.h"

namespace basildeck::standin {

const StoredObject *ObjectTable::find(const std::string &kind, const std::string &name) const
{
    const auto found = m_objects.find({ kind, name });
    return found == m_objects.end() || found->second.deleted ? nullptr : &found->second;
}

std::vector<StoredObject> ObjectTable::list(const std::string &kind, std::uint64_t after) const
{
    std::vector<StoredObject> result;
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind && object.version > after && (after > 0 || !object.deleted))
            result.push_back(object);
    }
    return result;
}

Result<std::uint64_t> ObjectTable::put(const std::string &kind, const std::string &name,
                                       std::uint64_t expectedVersion, std::string value)
{
    if (value.size() > maxValueBytes)
        return failure(ErrorKind::InvalidObject, "the value is larger than 1 MB");
    const StoredObject *current = find(kind, name);
    const std::uint64_t currentVersion = current == nullptr ? 0 : current->version;
    if (currentVersion != expectedVersion)
        return failure(ErrorKind::EditConflict, "the version is " + std::to_string(currentVersion));
    m_objects[{ kind, name }] = { kind, name, ++m_version, std::move(value), false };
    return m_version;
}

Result<std::uint64_t> ObjectTable::remove(const std::string &kind, const std::string &name,
                                          std::uint64_t expectedVersion)
{
    const StoredObject *current = find(kind, name);
    if (current == nullptr || current->version != expectedVersion)
        return failure(ErrorKind::EditConflict, "the object does not have this version");
    m_objects[{ kind, name }] = { kind, name, ++m_version, "", true };
    return m_version;
}

} // namespace basildeck::standin
