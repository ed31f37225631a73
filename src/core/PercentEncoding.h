#pragma once

#include <string>
#include <string_view>

namespace basildeck {

// Percent-encodes every byte that is neither unreserved nor listed in `literals` (RFC 3986,
// section 2.1).
std::string percentEncode(std::string_view text, std::string_view literals = "");
// Decodes percent-encoding. Copies invalid sequences unchanged.
std::string percentDecode(std::string_view text);

} // namespace basildeck
