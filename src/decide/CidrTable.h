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

// A block of addresses that share a prefix.
struct CidrBlock
{
    ClientAddress first;
    ClientAddress last;
    int prefixLength = 0; // in bits of the 128-bit form
};

// Parses "192.0.2.1" or "2001:db8::1".
std::optional<ClientAddress> parseClientAddress(std::string_view text);

// Parses "192.0.2.0/24" or "2001:db8::/32". Bits behind the prefix must be zero.
std::optional<CidrBlock> parseCidrBlock(std::string_view text);

// Immutable map from client address to a value, by longest prefix.
//
// The nested blocks are flattened into disjoint ranges, so that a look-up is one binary search
// over contiguous memory. IPv4 has an index by its upper 16 bits.
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

    // The value of the longest block that holds the address.
    std::optional<Value> find(const ClientAddress &address) const;

    // Memory of the table in bytes.
    std::size_t memoryBytes() const;
    std::size_t rangeCount() const { return m_starts.size(); }

private:
    static constexpr Value noValue = 0xffffffff;
    static constexpr std::size_t ipv4IndexSize = 65536;

    void buildIpv4Index();

    std::vector<ClientAddress> m_starts; // ascending; each range ends where the next starts
    std::vector<Value> m_values;
    std::vector<std::uint32_t> m_ipv4Index; // first range that may hold an upper half
};

} // namespace basildeck
