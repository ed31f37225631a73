#include "decide/CidrTable.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace basildeck;

namespace {

// Reference implementation: a linear scan of all blocks.
std::optional<CidrTable::Value> findByLinearScan(const std::vector<CidrTable::Entry> &entries,
                                                 const ClientAddress &address)
{
    const CidrTable::Entry *best = nullptr;
    for (const CidrTable::Entry &entry : entries) {
        const bool contains = entry.block.first <= address && address <= entry.block.last;
        if (contains && (best == nullptr || entry.block.prefixLength >= best->block.prefixLength))
            best = &entry;
    }
    return best == nullptr ? std::nullopt : std::optional(best->value);
}

std::string randomBlock(std::mt19937 &random)
{
    // Uses few distinct leading bytes, so that blocks are often nested or adjacent.
    if (random() % 3 == 0) {
        const int length = 16 * static_cast<int>(1 + random() % 3);
        std::string text = "2001:";
        text += length >= 32 ? std::to_string(random() % 4) : "0";
        if (length >= 48)
            text += ":" + std::to_string(random() % 4);
        return text + "::/" + std::to_string(length);
    }
    const int length = 8 * static_cast<int>(1 + random() % 4);
    std::string text = std::to_string(10 + random() % 3);
    for (int byte = 1; byte < 4; ++byte)
        text += "." + std::to_string(length > 8 * byte ? random() % 4 : 0);
    return text + "/" + std::to_string(length);
}

} // namespace

TEST_CASE("CIDR table agrees with a linear scan on random nested blocks")
{
    constexpr unsigned seed = 20261204;
    MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    for (int round = 0; round < 200; ++round) {
        std::vector<CidrTable::Entry> entries;
        const auto count = random() % 60;
        for (CidrTable::Value value = 0; value < count; ++value) {
            const std::string text = randomBlock(random);
            const auto block = parseCidrBlock(text);
            REQUIRE_MESSAGE(block.has_value(), text);
            entries.push_back({ *block, value });
        }
        const CidrTable table = CidrTable::make(entries);
        const auto compare = [&](const ClientAddress &address) {
            CHECK(table.find(address) == findByLinearScan(entries, address));
        };
        for (const CidrTable::Entry &entry : entries) {
            compare(entry.block.first);
            compare(entry.block.last);
            compare({ entry.block.first.high, entry.block.first.low - 1 });
            compare({ entry.block.last.high, entry.block.last.low + 1 });
        }
        compare({ 0, 0 });
        compare({ ~0ULL, ~0ULL });
    }
}

TEST_CASE("blocks with host bits, an invalid prefix length or none are rejected")
{
    for (const char *text : { "10.0.0.1/8", "10.0.0.0/33", "10.0.0.0", "10.0.0.0/-1", "::/129",
                              "2001::1/16", "x/8", "10.0.0.0/8 " })
        CHECK_MESSAGE(!parseCidrBlock(text).has_value(), text);
    CHECK(parseCidrBlock("0.0.0.0/0").has_value());
    CHECK(parseCidrBlock("::/0").has_value());
}
