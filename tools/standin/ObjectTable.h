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

// The objects of the platform's store: versions from one counter, conditional updates.
class ObjectTable
{
public:
    static constexpr std::size_t maxValueBytes = 1'000'000;

    const StoredObject *find(const std::string &kind, const std::string &name) const;
    std::vector<StoredObject> list(const std::string &kind, std::uint64_t after) const;
    std::uint64_t version() const { return m_version; }

    // Writes a value if the version of the object is the expected one; 0 means that the object
    // must not exist. Returns the new version. The errors are EditConflict and InvalidObject.
    Result<std::uint64_t> put(const std::string &kind, const std::string &name,
                              std::uint64_t expected, std::string value);
    Result<std::uint64_t> remove(const std::string &kind, const std::string &name,
                                 std::uint64_t expected);

private:
    std::map<std::pair<std::string, std::string>, StoredObject> m_objects;
    std::uint64_t m_version = 0;
};

} // namespace basildeck::standin
