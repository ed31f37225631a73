#include "edge/HttpParser.h"

#include <doctest/doctest.h>

#include <string>

namespace basildeck {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;
constexpr std::size_t readBytes = 4096;

// Feeds a head and then a text that is repeated. Returns the bytes after the head that were parsed,
// at most a limit.
std::size_t bytesUntilError(HttpParser &parser, const std::string &head,
                            const std::string &repeated, std::size_t limit)
{
    parser.feed(head);
    std::string input;
    while (input.size() < readBytes)
        input += repeated;
    std::size_t parsed = 0;
    while (parsed < limit && parser.parseError() == HttpParser::ParseError::None
           && !parser.isComplete())
        parsed += parser.feed(input);
    return parsed;
}

std::size_t countFields(HttpParser::MessageType type, const std::string &startLine,
                        std::size_t fields)
{
    std::size_t received = 0;
    HttpParser parser(type, maxHeadBytes,
                      { [&](const MessageHead &head) { received = head.fields.all().size(); },
                        [](std::string_view) {}, [] {} });
    std::string head = startLine;
    for (std::size_t i = 0; i < fields; ++i)
        head += "a:\r\n";
    parser.feed(head + "\r\n");
    CHECK((received > 0) == (parser.parseError() == HttpParser::ParseError::None));
    return received;
}

} // namespace

TEST_SUITE_BEGIN("http parser");

// A head of 64 KiB had up to 16,384 fields, which took 1 MiB, twice while they were copied.
TEST_CASE("a head of many short fields takes much more memory than it has bytes")
{
    for (const auto &[type, startLine] :
         { std::pair(HttpParser::MessageType::Response, "HTTP/1.1 200 OK\r\n"),
           std::pair(HttpParser::MessageType::Request, "GET / HTTP/1.1\r\n") }) {
        CHECK(countFields(type, startLine, HttpParser::maxFields) == HttpParser::maxFields);
        CHECK(countFields(type, startLine, HttpParser::maxFields + 1) == 0);
        HttpParser parser(type, maxHeadBytes,
                          { [](const MessageHead &) {}, [](std::string_view) {}, [] {} });
        CHECK(bytesUntilError(parser, startLine, "a:\r\n", maxHeadBytes) < 2 * readBytes);
        CHECK(parser.parseError() == HttpParser::ParseError::HeadTooLarge);
    }
}

TEST_SUITE_END();

} // namespace basildeck
