#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace basildeck {

// A value in a JSON text that has not been parsed yet.
struct JsonSlice
{
    std::string_view name; // of a member of an object, as it is written; empty in an array
    std::string_view text;
    std::size_t depth = 0; // the deepest nesting of arrays and objects in the value
};

// Splits the text of a JSON array or object into its values, so that one that cannot be parsed
// costs only itself. Does not recurse. Returns nothing if brackets or quotes are not balanced.
std::optional<std::vector<JsonSlice>> splitJson(std::string_view text);

// Returns the last member of a name, or null.
const JsonSlice *findSlice(const std::vector<JsonSlice> &members, std::string_view name);

} // namespace basildeck
