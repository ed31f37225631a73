#include "decide/memory/MemoryBudget.h"

#include <doctest/doctest.h>

namespace basildeck {

TEST_SUITE_BEGIN("memory budget");

TEST_CASE("two longest bodies fit at 260 MiB and one at 160 MiB")
{
    constexpr std::size_t mebibyte = 1024 * 1024;
    MemoryBudget small(MemoryBudget::limitFor(160 * mebibyte));
    CHECK(small.admitsBody(small.charge(MemoryUse::RequestBody), 64 * mebibyte));
    MemoryBudget usual(MemoryBudget::limitFor(260 * mebibyte));
    MemoryCharge first = usual.charge(MemoryUse::RequestBody);
    first.set(64 * mebibyte);
    CHECK(usual.admitsBody(usual.charge(MemoryUse::RequestBody), 64 * mebibyte));
}

TEST_CASE("large bodies are admitted in order and leave room for small ones")
{
    MemoryBudget budget(128'000);
    MemoryCharge held = budget.charge(MemoryUse::RequestBody);
    held.set(100'000);
    const MemoryCharge none = budget.charge(MemoryUse::RequestBody);
    CHECK_FALSE(budget.admitsBody(none, 20'000)); // of the 112,000 that large ones may take
    CHECK(budget.admitsBody(none, 1000));
    const auto first = budget.beginWait(20'000);
    const auto second = budget.beginWait(5000);
    CHECK_FALSE(budget.admitsBody(none, 5000, second));
    CHECK(budget.admitsBody(held, 105'000)); // one that holds memory does not wait for the others
    held.set(0);
    CHECK(budget.admitsBody(none, 20'000, first));
    CHECK_FALSE(budget.admitsBody(none, 5000, second));
    budget.endWait(first);
    CHECK(budget.admitsBody(none, 5000, second));
}

TEST_CASE("charges are released once, also after a move and after the end of the budget")
{
    MemoryCharge survivor;
    {
        MemoryBudget budget(1000);
        MemoryCharge charge = budget.charge(MemoryUse::Response);
        charge.set(300);
        survivor = std::move(charge);
        CHECK(budget.held(MemoryUse::Response) == 300);
        survivor.set(200);
        CHECK(budget.held() == 200);
        MemoryCharge other = budget.charge(MemoryUse::CallerOutput);
        other.set(700);
        CHECK(budget.isShort());
        other = {};
        CHECK(budget.held() == 200);
    }
    survivor.set(0);
}

TEST_CASE("refused callers return when memory is released, and not together")
{
    MemoryBudget budget(1'000'000);
    const Time start{ seconds(100) };
    CHECK(budget.retryAfter() >= MemoryBudget::maxRetryAfter); // nothing is released
    MemoryCharge charge = budget.charge(MemoryUse::RequestBody);
    for (int i = 0; i <= 40; ++i) {
        charge.set(250'000);
        budget.tick(start + milliseconds(250) * i);
        charge.set(0);
    }
    charge.set(1'000'000); // half of it is released in half a second, at 1 MB per second
    budget.countRefusal();
    const Duration first = budget.retryAfter();
    budget.countRefusal();
    const Duration second = budget.retryAfter();
    for (const Duration wait : { first, second }) {
        CHECK(wait >= milliseconds(450));
        CHECK(wait <= milliseconds(850));
    }
    CHECK(first != second);
}

TEST_SUITE_END();

} // namespace basildeck
