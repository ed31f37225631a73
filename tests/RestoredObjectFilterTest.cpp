#include "edge/RestoredObjectFilter.h"

#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

#include <utility>

namespace basildeck::test {

namespace {

using nlohmann::json;

constexpr Duration missingTime = seconds(2);
constexpr Duration olderTime = seconds(6);

// A filter and the changes that it has passed on.
class Filter
{
public:
    explicit Filter(ObjectOrder order, Duration olderSettlingTime = olderTime)
        : filter("kind", { missingTime, olderSettlingTime }, std::move(order),
                 { [this](const StoredObject &object) { m_events += "+" + object.name + " "; },
                   [this](const std::string &name) { m_events += "-" + name + " "; } })
    {}

    std::string takeEvents() { return std::exchange(m_events, {}); }
    const json &content(const std::string &name) const { return filter.objects().at(name).content; }

    RestoredObjectFilter filter;
    Time now = Time() + seconds(100);

private:
    std::string m_events;
};

struct TargetFilter : Filter
{
    TargetFilter()
        : Filter(platform::fleetObjectFormat().targetOrder)
    {}
};

struct ConfigFilter : Filter
{
    ConfigFilter()
        : Filter(platform::fleetObjectFormat().configOrder)
    {}
};

// Objects whose content has no order.
struct ZoneFilter : Filter
{
    ZoneFilter()
        : Filter({})
    {}
};

struct EvacuationFilter : Filter
{
    EvacuationFilter()
        : Filter({}, Duration::zero())
    {}
};

StoredObject config(std::uint64_t revision, const std::string &version)
{
    return { "main", revision, json{ { "version", version } } };
}

StoredObject target(const std::string &id, std::uint64_t revision, int seq,
                    const std::string &state = "ready", int born = 1000)
{
    return { id, revision, json{ { "born", born }, { "seq", seq }, { "state", state } } };
}

StoredObject zone(const std::string &name, std::uint64_t revision)
{
    return { name, revision, json::object() };
}

} // namespace

TEST_SUITE_BEGIN("restored object filter");

TEST_CASE("without a restore all changes are passed on but for late writes")
{
    TargetFilter f;
    f.filter.stored(target("a", 5, 3), f.now);
    f.filter.stored(target("a", 6, 3), f.now);
    f.filter.stored(target("a", 7, 4), f.now);
    f.filter.stored(target("b", 8, 1), f.now);
    f.filter.deleted("a", f.now);
    f.filter.deleted("a", f.now);
    f.filter.stored(target("a", 9, 4), f.now);
    CHECK(f.takeEvents() == "+a +a +a +b -a +a ");
    CHECK_FALSE(f.filter.tick(f.now + seconds(100)));
}

// Guards against requests to a target that is leaving: the store carried out an earlier report of
// it after the one that said so.
TEST_CASE("a late report makes a leaving target ready again")
{
    TargetFilter f;
    f.filter.stored(target("a", 5, 3), f.now);
    f.filter.stored(target("a", 6, 5, "draining"), f.now);
    f.takeEvents();

    SUBCASE("the report is not in force until the target reports again")
    {
        f.filter.stored(target("a", 7, 4), f.now);
        CHECK_FALSE(f.filter.tick(f.now + olderTime - milliseconds(1)));
        CHECK(f.takeEvents().empty());
        CHECK(f.content("a")["state"] == "draining");
        f.filter.stored(target("a", 8, 6, "draining"), f.now);
        CHECK(f.takeEvents() == "+a ");
        CHECK_FALSE(f.filter.tick(f.now + olderTime));
    }

    SUBCASE("the store cannot be written, so that the target cannot report")
    {
        f.filter.stored(target("a", 7, 4), f.now);
        f.filter.postpone(f.now + olderTime);
        CHECK_FALSE(f.filter.tick(f.now + olderTime));
        CHECK(f.filter.tick(f.now + 2 * olderTime));
        CHECK(f.takeEvents() == "+a ");
    }

    SUBCASE("the report is of the instance before")
    {
        f.filter.stored(target("a", 7, 1, "draining", 2000), f.now);
        f.filter.stored(target("a", 8, 9, "ready", 1000), f.now);
        CHECK(f.takeEvents() == "+a ");
        f.filter.stored(target("a", 9, 1, "ready", 3000), f.now);
        CHECK(f.takeEvents() == "+a ");
    }

    SUBCASE("the target has left")
    {
        f.filter.deleted("a", f.now);
        f.filter.stored(target("a", 7, 4), f.now);
        CHECK(f.takeEvents() == "-a ");
        f.filter.deleted("a", f.now); // it has expired
        CHECK_FALSE(f.filter.tick(f.now + olderTime));
        CHECK(f.takeEvents().empty());
    }
}

TEST_CASE("a late write brings an earlier configuration into force")
{
    ConfigFilter f;
    f.filter.stored(config(5, "0000000b"), f.now);
    f.filter.stored(config(6, "0000000c"), f.now);
    f.takeEvents();
    f.filter.stored(config(7, "0000000b"), f.now);
    CHECK(f.takeEvents().empty());
    f.filter.stored(config(8, "0000000d"), f.now);
    CHECK(f.takeEvents() == "+main ");
}

TEST_CASE("a configuration lost with the copy stays in force until it is written again")
{
    ConfigFilter f;
    f.filter.stored(config(10, "000000ff"), f.now);
    f.takeEvents();
    // Its revision in the copy can be higher than the one that is lost.
    f.filter.restored({ { "main", config(12, "000000fe") } }, f.now);
    f.filter.tick(f.now + olderTime - milliseconds(1));
    CHECK(f.takeEvents().empty());
    CHECK(f.content("main")["version"] == "000000ff");
    f.filter.stored(config(13, "000000ff"), f.now);
    f.filter.stored(config(14, "00000100"), f.now);
    CHECK(f.takeEvents() == "+main +main ");
    CHECK_FALSE(f.filter.tick(f.now + olderTime));
    CHECK(f.content("main")["version"] == "00000100");
}

TEST_CASE("a configuration is not undone by an older one that is written again before it")
{
    ConfigFilter f;
    f.filter.stored(config(10, "0000000c"), f.now);
    f.filter.restored({ { "main", config(6, "0000000a") } }, f.now);
    f.takeEvents();
    f.filter.stored(config(7, "0000000b"), f.now + seconds(1));
    CHECK(f.takeEvents().empty());
    f.filter.stored(config(8, "0000000c"), f.now + seconds(2));
    CHECK(f.takeEvents() == "+main ");
}

TEST_CASE("what is not written again in time is replaced by the store's state")
{
    ConfigFilter f;
    f.filter.stored(config(10, "0000000c"), f.now);
    f.filter.restored({ { "main", config(6, "0000000a") } }, f.now);
    f.takeEvents();
    CHECK(f.filter.tick(f.now + olderTime));
    CHECK(f.takeEvents() == "+main ");
    CHECK(f.content("main")["version"] == "0000000a");
}

TEST_CASE("a newer state in the restored store comes into force at once")
{
    TargetFilter f;
    f.filter.stored(target("a", 10, 3), f.now);
    f.filter.stored(target("b", 11, 9), f.now);
    f.takeEvents();
    f.filter.restored({ { "a", target("a", 8, 4, "draining") },
                        { "b", target("b", 9, 1, "ready", 2000) },
                        { "c", target("c", 7, 1) } },
                      f.now);
    CHECK(f.takeEvents() == "+a +b +c ");
    CHECK_FALSE(f.filter.tick(f.now + olderTime));
}

TEST_CASE("a target that was draining does not become ready because of the copy")
{
    TargetFilter f;
    f.filter.stored(target("a", 10, 3, "draining"), f.now);
    f.takeEvents();
    f.filter.restored({ { "a", target("a", 4, 2) } }, f.now);
    CHECK(f.takeEvents().empty());
    CHECK(f.content("a")["state"] == "draining");
    f.filter.deleted("a", f.now + seconds(5));
    CHECK(f.takeEvents() == "-a ");
    CHECK_FALSE(f.filter.tick(f.now + olderTime));
}

TEST_CASE("a target that left does not return with the copy")
{
    TargetFilter f;
    f.filter.stored(target("a", 10, 3), f.now);
    f.filter.deleted("a", f.now);
    f.takeEvents();
    const Time later = f.now + RestoredObjectFilter::deletionMemory;
    f.filter.tick(later);
    f.filter.restored({ { "a", target("a", 10, 3) } }, later);
    CHECK(f.takeEvents().empty());
    CHECK(f.filter.broughtBackByCopy(later, seconds(1)).empty()); // its author may write it again
    CHECK(f.filter.broughtBackByCopy(later + seconds(1), seconds(1)).size() == 1);

    SUBCASE("its entry is removed again")
    {
        f.filter.deleted("a", later + seconds(4));
        CHECK(f.takeEvents().empty());
        CHECK_FALSE(f.filter.tick(later + olderTime));
        CHECK(f.filter.objects().empty());
    }
    SUBCASE("it starts again under its id")
    {
        f.filter.stored(target("a", 11, 1, "ready", 2000), later + seconds(1));
        CHECK(f.takeEvents() == "+a ");
        CHECK(f.filter.broughtBackByCopy(later + seconds(1), seconds(1)).empty());
    }
    SUBCASE("its entry is still there after the settling time")
    {
        CHECK_FALSE(f.filter.tick(later + olderTime - milliseconds(1)));
        CHECK(f.filter.tick(later + olderTime));
        CHECK(f.takeEvents() == "+a ");
    }
}

TEST_CASE("a target that the copy lacks is kept until it should have reported again")
{
    TargetFilter f;
    f.filter.stored(target("a", 10, 3), f.now);
    f.filter.stored(target("b", 11, 3), f.now);
    f.takeEvents();
    f.filter.restored({}, f.now);
    CHECK_FALSE(f.filter.tick(f.now + missingTime - milliseconds(1)));
    f.filter.stored(target("a", 8, 4), f.now + seconds(1));
    CHECK(f.takeEvents() == "+a ");
    CHECK(f.filter.tick(f.now + missingTime));
    CHECK(f.takeEvents() == "-b ");
}

TEST_CASE("without an order, known states stay until an event of the new era")
{
    ZoneFilter f;
    f.filter.stored(zone("kept", 10), f.now);
    f.filter.stored(zone("lifted", 11), f.now);
    f.filter.stored(zone("again", 12), f.now);
    f.filter.deleted("lifted", f.now);
    f.filter.deleted("again", f.now);
    f.takeEvents();
    // A revision above the known one cannot be from the copy.
    f.filter.restored({ { "lifted", zone("lifted", 11) }, { "again", zone("again", 13) } }, f.now);
    CHECK(f.takeEvents() == "+again ");
    CHECK(f.filter.objects().contains("kept"));
    CHECK_FALSE(f.filter.objects().contains("lifted"));
    f.filter.stored(zone("lifted", 14), f.now);
    CHECK(f.takeEvents() == "+lifted ");
}

TEST_CASE("an evacuation requested again with a lower revision is in force at once")
{
    EvacuationFilter f;
    f.filter.stored(zone("a", 46), f.now);
    f.filter.deleted("a", f.now);
    f.filter.stored(zone("b", 47), f.now);
    f.takeEvents();
    f.filter.restored({ { "a", zone("a", 43) } }, f.now);
    CHECK(f.takeEvents() == "+a ");
    CHECK(f.filter.objects().contains("b")); // lost with the copy, not taken back
    CHECK(f.filter.tick(f.now + missingTime));
    CHECK(f.takeEvents() == "-b ");
}

TEST_CASE("a second restore starts the settling time again")
{
    ConfigFilter f;
    f.filter.stored(config(10, "0000000c"), f.now);
    f.filter.restored({ { "main", config(6, "0000000a") } }, f.now);
    f.filter.restored({ { "main", config(6, "0000000a") } }, f.now + seconds(5));
    f.takeEvents();
    CHECK_FALSE(f.filter.tick(f.now + olderTime));
    CHECK(f.filter.tick(f.now + seconds(5) + olderTime));
    CHECK(f.takeEvents() == "+main ");
}

TEST_CASE("the memory of deletions is bounded by their age and number")
{
    TargetFilter f;
    f.filter.stored(target("old", 1, 1), f.now);
    f.filter.deleted("old", f.now);
    f.now += RestoredObjectFilter::deletionMemory + milliseconds(1);
    f.filter.tick(f.now);
    f.filter.stored(target("first", 2, 1), f.now);
    f.filter.deleted("first", f.now);
    for (std::size_t i = 0; i < RestoredObjectFilter::maxRememberedDeletions; ++i) {
        const std::string id = std::to_string(i);
        f.filter.stored(target(id, 3, 1), f.now + milliseconds(1));
        f.filter.deleted(id, f.now + milliseconds(1));
    }
    f.takeEvents();
    f.filter.restored({ { "old", target("old", 1, 1) },
                        { "first", target("first", 2, 1) },
                        { "0", target("0", 3, 1) } },
                      f.now);
    CHECK(f.takeEvents() == "+first +old ");
}

TEST_SUITE_END();

} // namespace basildeck::test
