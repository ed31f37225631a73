#include "Benchmark.h"
#include "basildeck/Time.h"
#include "decide/CidrTable.h"

#include <iostream>
#include <random>

namespace basildeck::bench {

namespace {

constexpr unsigned seed = 1;
constexpr std::size_t lookups = 4'000'000;

// Half of the blocks are IPv4 prefixes of /16 to /24, half IPv6 prefixes of /32 to /48, as in a
// routing table. There are 340 distinct values.
std::vector<CidrTable::Entry> makeRandomEntries(std::size_t entryCount, std::mt19937_64 &random)
{
    std::vector<CidrTable::Entry> entries;
    while (entries.size() < entryCount) {
        const auto value = static_cast<CidrTable::Value>(random() % 340);
        const bool ipv4 = entries.size() % 2 == 0;
        const int length = ipv4 ? 112 + static_cast<int>(random() % 9)
                                : 32 + static_cast<int>(random() % 17);
        const std::uint64_t mask = ipv4 ? ~0ULL >> (length - 64) : ~0ULL >> length;
        CidrBlock block;
        block.prefixLength = length;
        if (ipv4) {
            block.first = { 0, (0xffffULL << 32) | (random() & 0xffffffffULL & ~mask) };
            block.last = { 0, block.first.low | mask };
        } else {
            block.first = { (0x2000ULL << 48) | (random() >> 3 & ~mask), 0 };
            block.first.high &= ~mask;
            block.last = { block.first.high | mask, ~0ULL };
        }
        entries.push_back({ block, value });
    }
    return entries;
}

void run()
{
    for (const std::size_t entryCount : { 1'000UL, 10'000UL, 150'000UL }) {
        std::mt19937_64 random(seed);
        const auto entries = makeRandomEntries(entryCount, random);
        const Time buildStart = Clock::now();
        const CidrTable table = CidrTable::make(entries);
        const double buildMs = toSeconds(Clock::now() - buildStart) * 1e3;
        std::vector<ClientAddress> addresses;
        for (std::size_t i = 0; i < 65'536; ++i) {
            const CidrBlock &block = entries[random() % entries.size()].block;
            addresses.push_back(
                    { block.first.high,
                      block.first.low | (random() & (block.last.low - block.first.low)) });
        }
        std::uint64_t checksum = 0;
        const Time lookupStart = Clock::now();
        for (std::size_t i = 0; i < lookups; ++i)
            checksum += table.find(addresses[i & 65'535]).value_or(0);
        const double lookupNs = toSeconds(Clock::now() - lookupStart) * 1e9 / lookups;
        std::cout << entryCount << " blocks: " << table.rangeCount() << " ranges, "
                  << static_cast<double>(table.memoryBytes()) / 1e6 << " MB, built in " << buildMs
                  << " ms, " << lookupNs << " ns a look-up (checksum " << checksum << ")\n";
    }
}

const BenchmarkRegistration registration("block-table", run);

} // namespace

} // namespace basildeck::bench
