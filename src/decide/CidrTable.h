#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace basildeck {

// An IPv6 address, or an IPv4 address in its mapped form (RFC 4291, section 2.5.5.2).
struct ClientAddress
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const ClientAddress &other) const = default;
};

// A CIDR block: all addresses that share a prefix.
struct CidrBlock
{
    ClientAddress first;
    ClientAddress last;
    int prefixLength = 0; // in bits, of the 128-bit form
};

// Parses "192.0.2.1" or "2001:db8::1".
std::optional<ClientAddress> parseClientAddress(std::string_view text);

// Parses "192.0.2.0/24" or "2001:db8::/32". A block with host bits set is invalid.
std::optional<CidrBlock> parseCidrBlock(std::string_view text);

// Immutable map from client addresses to values with longest-prefix matching.
//
// Nested blocks are flattened into disjoint ranges, so that a lookup is one binary search over
// contiguous memory. For IPv4, an index by the upper 16 bits narrows the search.
class CidrTable
{
public:
    using Value = std::uint32_t;

    struct Entry
    {
        CidrBlock block;
        Value value = 0;
    };

    static CidrTable make(std::vector<Entry> entries);

    // Returns the value of the most specific block that contains the address.
    std::optional<Value> find(const ClientAddress &address) const;

    std::size_t memoryBytes() const;
    std::size_t rangeCount() const { return m_starts.size(); }

private:
    static constexpr Value noValue = 0xffffffff;
    static constexpr std::size_t ipv4IndexSize = 65536;

    void buildIpv4Index();

    std::vector<ClientAddress> m_starts; // ascending; each range ends where the next starts
    std::vector<Value> m_values;
    std::vector<std::uint32_t> m_ipv4Index; // by upper 16 bits: first range that starts later
};

} // namespace basildeck
