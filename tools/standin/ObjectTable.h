#pragma once

#include "basildeck/Result.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace basildeck::standin {

struct StoredObject
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0;
    std::string value;
    bool deleted = false;
};

// The objects of the store stand-in. All versions come from one counter, and updates are
// conditional on the version. Deleted objects remain as tombstones.
class ObjectTable
{
public:
    static constexpr std::size_t maxValueBytes = 1'000'000;

    const StoredObject *find(const std::string &kind, const std::string &name) const;
    // Lists the objects of a kind that are newer than a version. Tombstones are listed only if the
    // version is not 0.
    std::vector<StoredObject> list(const std::string &kind, std::uint64_t after) const;
    std::uint64_t version() const { return m_version; }

    // Writes a value if the object has the expected version; 0 requires that the object does not
    // exist. Returns the new version. The errors are EditConflict and InvalidObject.
    Result<std::uint64_t> put(const std::string &kind, const std::string &name,
                              std::uint64_t expectedVersion, std::string value);
    // Deletes an object that has the expected version. Returns the version of the tombstone. The
    // error is EditConflict.
    Result<std::uint64_t> remove(const std::string &kind, const std::string &name,
                                 std::uint64_t expectedVersion);

private:
    std::map<std::pair<std::string, std::string>, StoredObject> m_objects;
    std::uint64_t m_version = 0;
};

} // namespace basildeck::standin
