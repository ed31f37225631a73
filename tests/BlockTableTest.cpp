#include "decide/BlockTable.h"

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace basildeck;

namespace {

// The naive twin: looks at every block.
std::optional<BlockTable::Value> scan(const std::vector<BlockTable::Entry> &entries,
                                      const ClientAddress &address)
{
    const BlockTable::Entry *best = nullptr;
    for (const BlockTable::Entry &entry : entries) {
        const bool holds = entry.block.first <= address && address <= entry.block.last;
        if (holds && (best == nullptr || entry.block.prefixLength >= best->block.prefixLength))
            best = &entry;
    }
    return best == nullptr ? std::nullopt : std::optional(best->value);
}

std::string randomBlock(std::mt19937 &random)
{
    // Few distinct upper bytes, so that blocks nest and touch.
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

TEST_CASE("block table agrees with a linear scan on random nested blocks")
{
    constexpr unsigned seed = 20261204;
    MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    for (int round = 0; round < 200; ++round) {
        std::vector<BlockTable::Entry> entries;
        const auto count = random() % 60;
        for (BlockTable::Value value = 0; value < count; ++value) {
            const std::string text = randomBlock(random);
            const auto block = parseBlock(text);
            REQUIRE_MESSAGE(block.has_value(), text);
            entries.push_back({ *block, value });
        }
        const BlockTable table = BlockTable::make(entries);
        const auto compare = [&](const ClientAddress &address) {
            CHECK(table.find(address) == scan(entries, address));
        };
        for (const BlockTable::Entry &entry : entries) {
            compare(entry.block.first);
            compare(entry.block.last);
            compare({ entry.block.first.high, entry.block.first.low - 1 });
            compare({ entry.block.last.high, entry.block.last.low + 1 });
        }
        compare({ 0, 0 });
        compare({ ~0ULL, ~0ULL });
    }
}

TEST_CASE("blocks with bits behind the prefix, absurd lengths or no length are refused")
{
    for (const char *text : { "10.0.0.1/8", "10.0.0.0/33", "10.0.0.0", "10.0.0.0/-1", "::/129",
                              "2001::1/16", "x/8", "10.0.0.0/8 " })
        CHECK_MESSAGE(!parseBlock(text).has_value(), text);
    CHECK(parseBlock("0.0.0.0/0").has_value());
    CHECK(parseBlock("::/0").has_value());
}
