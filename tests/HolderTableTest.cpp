#include "decide/HolderTable.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

HolderTable makeTable(const StoreVersion &version, std::vector<std::string> before,
                      std::vector<std::string> after)
{
    HolderTable table;
    table.version = version;
    table.before = std::move(before);
    table.after = std::move(after);
    return table;
}

} // namespace

TEST_CASE("a table of an earlier era does not replace the one that a VM follows")
{
    HolderView view("a");
    view.setTable(makeTable({ 1, 10 }, { "a" }, { "a", "b" }));
    view.acknowledgeOwn();
    CHECK(view.fraction() == 0.5);
    view.setTable(makeTable({ 1, 5 }, { "a" }, { "a" }));
    CHECK(view.fraction() == 0.5);
    view.setTable(makeTable({ 2, 6 }, { "a", "b" }, { "a", "b" }));
    CHECK(view.table().version == StoreVersion{ 2, 6 });
}

TEST_CASE("no fraction grows after a restore before every VM has confirmed the table")
{
    // "c" follows a lost table that gives it half of the limits.
    HolderView view("a");
    view.setTable(makeTable({ 1, 9 }, { "a", "c" }, { "a", "c" }));
    CHECK(view.fraction() == 0.5);
    HolderCandidates candidates;
    candidates.live = { "a" };
    candidates.listed = { "a", "c", "d" };
    candidates.gone = { "d" };
    HolderTable table = confirmHolders(makeTable({ 1, 5 }, { "a" }, { "a" }), true, candidates);
    table.version = { 2, 6 };
    CHECK(table.confirming == std::vector<std::string>{ "a", "c" });
    view.setTable(table);
    view.acknowledgeOwn();
    CHECK(view.fraction() == 0.5);
    view.acknowledge("c", { 1, 9 });
    CHECK(view.fraction() == 0.5);

    SUBCASE("all have confirmed it")
    {
        view.acknowledge("c", { 2, 6 });
        CHECK(view.fraction() == 1.0);
    }

    SUBCASE("the platform lists the other VM as gone")
    {
        candidates.gone.insert("c");
        auto next = proposeHolders(table, view.complete(), candidates);
        REQUIRE(next);
        CHECK(next->confirming == table.confirming);
        next->version = { 2, 7 };
        view.setTable(*next);
        view.acknowledgeOwn();
        CHECK(view.fraction() == 1.0);
    }
}

TEST_CASE("acknowledging a table of a later era does not acknowledge a lost one")
{
    HolderView view("b");
    view.setTable(makeTable({ 1, 10 }, { "a" }, { "a", "b" }));
    view.acknowledge("a", { 2, 6 });
    CHECK(view.fraction() == 0);
    view.setTable(makeTable({ 2, 7 }, { "a" }, { "a", "b" }));
    view.acknowledge("a", { 2, 7 });
    CHECK(view.fraction() == 0.5);
}

} // namespace basildeck::test
