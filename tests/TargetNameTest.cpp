#include "edge/FleetObjects.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

#include <string>

namespace basildeck::test {

namespace {

bool isTarget(const std::string &name)
{
    const auto content = nlohmann::json::parse(
            R"({"service":"gauge","address":"10.0.0.9:80","zone":"z1","slots":4,"state":"ready"})");
    return platform::fleetObjectFormat().parseTarget({ name, 1, content }).has_value();
}

} // namespace

TEST_SUITE_BEGIN("names of targets");

TEST_CASE("a target whose name holds a line break is sent fields of another request")
{
    using namespace std::string_literals;
    for (const std::string &name : { "i-1\r\nTenant: other"s, "i-1\nX: 1"s, "i-1\r"s, "i-1\0"s,
                                     "\001i-1"s, "i-1\177"s, " i-1"s, "i-1 "s, "i-1\t"s }) {
        CAPTURE(name);
        CHECK_FALSE(isTarget(name));
    }
    for (const std::string name : { "i-1", "i-04 x", "i-04&x", "i-04\"x", "i,1", "i-\xc3\xa9" }) {
        CAPTURE(name);
        CHECK(isTarget(name));
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
