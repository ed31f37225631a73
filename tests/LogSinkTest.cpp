#include "core/LogSink.h"

// glog's CHECK aborts the process; the tests use doctest's.
#undef CHECK

#include <doctest/doctest.h>

#include <string>

namespace basildeck::test {

TEST_SUITE_BEGIN("log sink");

TEST_CASE("a line break in the name of an entry begins a line of the log")
{
    using namespace std::string_literals;
    CHECK(basildeck::LogSink::toSingleLine("replica: odd name=a\r\n1.0 I edge: ready\t\0\x7f\x1b"s)
          == R"(replica: odd name=a\x0d\x0a1.0 I edge: ready\x09\x00\x7f\x1b)");
    const std::string plain = "replica: odd name=i-04 \"x\" \\ \xc3\xa9";
    CHECK(basildeck::LogSink::toSingleLine(plain) == plain);
}

TEST_SUITE_END();

} // namespace basildeck::test
