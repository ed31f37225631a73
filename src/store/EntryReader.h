#pragma once

#include "store/JsonSlices.h"
#include "store/ObjectProtocol.h"

#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// Nesting of arrays and objects in a value that is parsed. Copies of a value recurse.
constexpr std::size_t maxJsonDepth = 64;

// Returns the start of an error's message, which may quote a long text.
std::string reasonOf(const nlohmann::json::exception &error);

// Parses a value. Throws nlohmann::json::exception if it is invalid or nested too deeply.
nlohmann::json parseSlice(const JsonSlice *slice);

// The names of the parts of a stored object in the store's JSON.
struct EntryNames
{
    std::string_view metadata; // holds name and revision
    std::string_view name;
    std::string_view revision;
    std::string_view content;
};

// Reads one object of a list, which another writer may have damaged. Content that cannot be read
// becomes null, and the reason is added to the unreadable entries, as it is for an object without a
// name or a revision, for which nothing is returned.
std::optional<StoredObject> readEntry(const JsonSlice *entry, const EntryNames &names,
                                      std::vector<UnreadableEntry> &unreadable);

// Returns the bytes of an entry's name, which need not be valid UTF-8, or an empty string if it
// cannot be read.
std::string readEntryName(const JsonSlice &entry, const EntryNames &names);

} // namespace basildeck
