#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// 64-bit FNV-1a hash with a finaliser. The value must stay the same on all VMs and in all versions
// of the program.
std::uint64_t stableHash(std::string_view text);

// Hash of an ordered pair, for rendezvous hashing.
std::uint64_t stableHash(std::string_view first, std::string_view second);

// SHA-256 digest as 64 lower-case hexadecimal digits. API keys are stored in this form.
std::string sha256Hex(std::string_view text);

// Compares two strings in a time that depends only on their lengths, to prevent timing attacks on
// secrets.
bool constantTimeEquals(std::string_view first, std::string_view second);

// Returns the index of the candidate that rendezvous hashing (Thaler and Ravishankar 1998) assigns
// to the item: the one with the highest hash. There must be at least one candidate.
std::size_t rendezvousPick(std::string_view item, const std::vector<std::string> &candidates);

} // namespace basildeck
