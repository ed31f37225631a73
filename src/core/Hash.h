#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// 64-bit hash, equal on every VM and in every version: FNV-1a with a final mix.
std::uint64_t stableHash(std::string_view text);

// Hash of a pair, for rendezvous hashing.
std::uint64_t stableHash(std::string_view first, std::string_view second);

// Lower-case hexadecimal SHA-256 digest, 64 characters. Keys are stored in this form.
std::string sha256Hex(std::string_view text);

// Compares two strings in time that depends on their length only.
bool equalConstantTime(std::string_view first, std::string_view second);

// Index of the candidate with the highest hash for an item (rendezvous hashing, Thaler and
// Ravishankar 1998). The candidates must not be empty.
std::size_t rendezvousPick(std::string_view item, const std::vector<std::string> &candidates);

} // namespace basildeck
