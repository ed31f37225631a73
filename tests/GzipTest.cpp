#include "core/Gzip.h"

#include <doctest/doctest.h>

namespace basildeck::test {

namespace {

// A response of a relay as two members, and its text.
constexpr char keptResponse[]
        = "\x1f\x8b\x08\x00\x00\x00\x00\x00\x04\xff\xab\x56\x2a\x4e\x2d\x2a\x4b\x2d\x2a\x56"
          "\xb2\xaa\x56\x4a\xce\x48\xcc\x4b\x4f\x05\x32\xa3\x01\x1f\x7f\x26\xaf\x17\x00\x00"
          "\x00\x1f\x8b\x08\x00\x00\x00\x00\x00\x04\xff\x55\xca\x31\x0a\x80\x30\x0c\x05\xd0"
          "\xbb\xfc\x39\x83\x75\xcc\x5d\x1c\x4a\xfb\x05\xa1\xa6\xd0\x04\x97\xd2\xbb\x0b\x6e"
          "\xae\x8f\x37\x51\xba\x05\x2d\xa0\x13\xde\x7a\x38\x34\xa5\x25\xa8\x6c\x0c\x56\xe8"
          "\x99\x9b\x53\x60\xf9\x26\x14\x05\x82\xc1\xe7\xf2\xab\xdb\x37\x0f\x01\x47\x86\x6e"
          "\x3f\xdf\xd7\x7a\x01\x7b\x85\x73\x91\x5a\x00\x00\x00";
constexpr std::string_view keptText
        = R"({"servers":{"changes":[{"content":{"slots":11},"deleted":false,"name":"c",)"
          R"("revision":11}],"era":0,"revision":12}})";

constexpr std::size_t limit = 1'000'000;

} // namespace

TEST_SUITE_BEGIN("gzip");

TEST_CASE("members that follow each other are one text")
{
    const std::string text(300'000, 'x');
    CHECK((gunzip(gzipMember(text), limit) == text));
    CHECK((gunzip(gzipMember("a") + gzipMember(text) + gzipMember({}), limit) == "a" + text));
    CHECK(gzipMember(text).size() < text.size() / 100);
}

TEST_CASE("the compressed response of an earlier build cannot be read")
{
    CHECK(gunzip({ keptResponse, sizeof(keptResponse) - 1 }, limit) == keptText);
}

TEST_CASE("members that are cut off, damaged or too long are rejected")
{
    const std::string members = gzipMember("first") + gzipMember("second");
    const std::size_t border = gzipMember("first").size();
    for (std::size_t cut = 0; cut < members.size(); ++cut) {
        CAPTURE(cut);
        CHECK(gunzip(members.substr(0, cut), limit).has_value() == (cut == border));
    }
    CHECK_FALSE(gunzip(members + "x", limit));
    CHECK_FALSE(gunzip("first", limit));
    CHECK_FALSE(gunzip(gzipMember(std::string(limit + 1, 'x')), limit));
    CHECK(gunzip(gzipMember(std::string(limit, 'x')), limit));
}

TEST_SUITE_END();

} // namespace basildeck::test
