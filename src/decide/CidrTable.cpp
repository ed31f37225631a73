#include "decide/CidrTable.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace basildeck {

namespace {

constexpr std::uint64_t mappedPrefix = 0xffffULL << 32;
constexpr int mappedPrefixLength = 96;
constexpr int wordBits = 64;

std::uint64_t readBigEndian(const unsigned char *bytes)
{
    std::uint64_t word = 0;
    for (int i = 0; i < 8; ++i)
        word = (word << 8) | bytes[i];
    return word;
}

// Mask of the host bits in a 64-bit word whose leading bits belong to the prefix.
std::uint64_t hostMask(int prefixBits)
{
    if (prefixBits <= 0)
        return ~0ULL;
    return prefixBits >= wordBits ? 0 : ~0ULL >> prefixBits;
}

std::optional<ClientAddress> successor(const ClientAddress &address)
{
    ClientAddress next{ address.high, address.low + 1 };
    if (next.low != 0)
        return next;
    ++next.high;
    if (next.high == 0)
        return std::nullopt;
    return next;
}

} // namespace

std::optional<ClientAddress> parseClientAddress(std::string_view text)
{
    const std::string copy(text);
    in_addr ipv4{};
    if (inet_pton(AF_INET, copy.c_str(), &ipv4) == 1)
        return ClientAddress{ 0, mappedPrefix | ntohl(ipv4.s_addr) };
    in6_addr ipv6{};
    if (inet_pton(AF_INET6, copy.c_str(), &ipv6) != 1)
        return std::nullopt;
    return ClientAddress{ readBigEndian(ipv6.s6_addr), readBigEndian(ipv6.s6_addr + 8) };
}

std::optional<CidrBlock> parseCidrBlock(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto address = parseClientAddress(text.substr(0, slash));
    if (!address)
        return std::nullopt;
    const bool ipv4 = text.find(':') == std::string_view::npos;
    const std::string_view digits = text.substr(slash + 1);
    int length = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (error != std::errc() || end != digits.data() + digits.size() || length < 0
        || length > (ipv4 ? 32 : 128))
        return std::nullopt;
    if (ipv4)
        length += mappedPrefixLength;
    const std::uint64_t highMask = hostMask(length);
    const std::uint64_t lowMask = hostMask(length - wordBits);
    if ((address->high & highMask) != 0 || (address->low & lowMask) != 0)
        return std::nullopt;
    return CidrBlock{ *address, { address->high | highMask, address->low | lowMask }, length };
}

CidrTable CidrTable::make(std::vector<Entry> entries)
{
    // Sorts each block before the blocks nested in it. Of equal blocks, the last one wins.
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &a, const Entry &b) {
        return a.block.first != b.block.first ? a.block.first < b.block.first
                                              : a.block.prefixLength < b.block.prefixLength;
    });
    CidrTable table;
    const auto startRange = [&](const ClientAddress &first, Value value) {
        if (!table.m_starts.empty() && table.m_starts.back() == first) {
            table.m_values.back() = value;
            return;
        }
        table.m_starts.push_back(first);
        table.m_values.push_back(value);
    };
    std::vector<Entry> enclosing; // blocks that contain the current position, outermost first
    const auto closeBlocksBefore = [&](const ClientAddress *position) {
        while (!enclosing.empty()
               && (position == nullptr || enclosing.back().block.last < *position)) {
            const auto next = successor(enclosing.back().block.last);
            enclosing.pop_back();
            if (next)
                startRange(*next, enclosing.empty() ? noValue : enclosing.back().value);
        }
    };
    for (const Entry &entry : entries) {
        closeBlocksBefore(&entry.block.first);
        startRange(entry.block.first, entry.value);
        enclosing.push_back(entry);
    }
    closeBlocksBefore(nullptr);
    table.buildIpv4Index();
    return table;
}

void CidrTable::buildIpv4Index()
{
    m_ipv4Index.reserve(ipv4IndexSize + 1);
    for (std::size_t upperHalf = 0; upperHalf <= ipv4IndexSize; ++upperHalf) {
        const ClientAddress first{ 0,
                                   mappedPrefix + (static_cast<std::uint64_t>(upperHalf) << 16) };
        const auto found = std::upper_bound(m_starts.begin(), m_starts.end(), first);
        m_ipv4Index.push_back(static_cast<std::uint32_t>(found - m_starts.begin()));
    }
}

std::optional<CidrTable::Value> CidrTable::find(const ClientAddress &address) const
{
    auto low = m_starts.begin();
    auto high = m_starts.end();
    if (address.high == 0 && (address.low >> 32) == 0xffff) {
        const std::size_t upperHalf = (address.low >> 16) & 0xffff;
        low += m_ipv4Index[upperHalf];
        high = m_starts.begin() + m_ipv4Index[upperHalf + 1];
    }
    const auto after = std::upper_bound(low, high, address);
    if (after == m_starts.begin())
        return std::nullopt;
    const Value value = m_values[static_cast<std::size_t>(after - m_starts.begin()) - 1];
    if (value == noValue)
        return std::nullopt;
    return value;
}

std::size_t CidrTable::memoryBytes() const
{
    return m_starts.capacity() * sizeof(ClientAddress) + m_values.capacity() * sizeof(Value)
           + m_ipv4Index.capacity() * sizeof(std::uint32_t);
}

} // namespace basildeck
