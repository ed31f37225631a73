#include "core/Hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <cassert>

namespace basildeck {

namespace {

constexpr std::uint64_t fnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t fnvPrime = 1099511628211ULL;

std::uint64_t fnv1a(std::uint64_t state, std::string_view text)
{
    for (const unsigned char byte : text) {
        state ^= byte;
        state *= fnvPrime;
    }
    return state;
}

// The 64-bit finaliser of MurmurHash3. FNV-1a leaves the low bits of similar inputs correlated.
std::uint64_t murmurFinaliser(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    return murmurFinaliser(fnv1a(fnvOffsetBasis, text));
}

std::uint64_t stableHash(std::string_view first, std::string_view second)
{
    return murmurFinaliser(
            fnv1a(fnv1a(fnv1a(fnvOffsetBasis, first), std::string_view("\0", 1)), second));
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(static_cast<std::size_t>(length) * 2);
    for (unsigned int i = 0; i < length; ++i) {
        hex += digits[digest[i] >> 4];
        hex += digits[digest[i] & 15];
    }
    return hex;
}

bool constantTimeEquals(std::string_view first, std::string_view second)
{
    return first.size() == second.size()
           && CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

std::size_t rendezvousPick(std::string_view item, const std::vector<std::string> &candidates)
{
    assert(!candidates.empty());
    std::size_t best = 0;
    std::uint64_t bestHash = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t hash = stableHash(candidates[i], item);
        if (i == 0 || hash > bestHash) {
            best = i;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace basildeck
