#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace basildeck {

// The name of the format in HTTP (RFC 9110), and the field that asks for it.
inline constexpr std::string_view gzipCoding = "gzip";
inline constexpr std::string_view acceptGzipField = "Accept-Encoding: gzip\r\n";

// Returns a text as one member of the gzip format (RFC 1952). Members that follow each other are
// the compressed form of their texts one after the other.
std::string gzipMember(std::string_view text);

// Returns the text of any number of members. Returns nothing if they are malformed or cut off, or
// if their text is longer than the limit.
std::optional<std::string> gunzip(std::string_view members, std::size_t maxBytes);

} // namespace basildeck
