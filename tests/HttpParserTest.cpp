#include "http/HttpParser.h"

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

// The bytes around a body were not limited at all: they kept the request's place at its target, and
// the processor of the VM busy, until the timeout of the route.
TEST_CASE("chunk extensions or trailers without end are read until the timeout")
{
    const std::string filler(1000, 'x');
    struct Endless
    {
        std::string head;
        std::string repeated;
    };
    for (const Endless &endless : {
                 Endless{ "5;", filler }, // one extension
                 Endless{ "5;" + filler + "\r\nfirst\r\n", "1;" + filler + "\r\nx\r\n" },
                 Endless{ "0\r\n", "x-trailer: " + filler + "\r\n" }, // many fields
                 Endless{ "0\r\n", "a:\r\n" },                        // short ones
                 Endless{ "0\r\nx-trailer: ", filler },               // one field
         }) {
        CAPTURE(endless.head.substr(0, 20));
        for (const auto &[type, startLine] :
             { std::pair(HttpParser::MessageType::Response, "HTTP/1.1 200 OK\r\n"),
               std::pair(HttpParser::MessageType::Request, "POST / HTTP/1.1\r\n") }) {
            HttpParser parser(type, maxHeadBytes,
                              { [](const MessageHead &) {}, [](std::string_view) {}, [] {} });
            parser.feed(std::string(startLine) + "Transfer-Encoding: chunked\r\n\r\n");
            const std::size_t limit = 4 * maxHeadBytes;
            CHECK(bytesUntilError(parser, endless.head, endless.repeated, limit) < limit);
            CHECK(parser.parseError() != HttpParser::ParseError::None);
        }
    }
}

TEST_CASE("a body in chunks of one byte may be as long as any other")
{
    std::size_t received = 0;
    HttpParser parser(HttpParser::MessageType::Response, maxHeadBytes,
                      { [](const MessageHead &) {},
                        [&](std::string_view bytes) { received += bytes.size(); }, [] {} });
    parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    constexpr std::size_t bodyBytes = 1024 * 1024;
    for (std::size_t i = 0; i < bodyBytes; ++i)
        parser.feed("00001\r\nx\r\n");
    parser.feed("0\r\nx-trailer: value\r\n\r\n");
    CHECK(received == bodyBytes);
    CHECK(parser.isComplete());
    CHECK(parser.parseError() == HttpParser::ParseError::None);
}

TEST_CASE("a status that is not three digits from 100 to 599 is parsed as a number")
{
    struct StatusLine
    {
        std::string text;
        int status; // 0 if it is invalid
    };
    for (const StatusLine &line : {
                 StatusLine{ "HTTP/1.1 000 X", 0 },
                 StatusLine{ "HTTP/1.1 099 X", 0 },
                 StatusLine{ "HTTP/1.1 600", 0 },
                 StatusLine{ "HTTP/1.1 999 ", 0 },
                 StatusLine{ "HTTP/1.1 20 OK", 0 },
                 StatusLine{ "HTTP/1.1 20", 0 },
                 StatusLine{ "HTTP/1.1 2000 OK", 0 },
                 StatusLine{ "HTTP/1.1 0200 OK", 0 },
                 StatusLine{ "HTTP/1.1  200 OK", 0 },
                 StatusLine{ "HTTP/1.1 +200 OK", 0 },
                 StatusLine{ "HTTP/1.1 ", 0 },
                 StatusLine{ "HTTP/1.10 200", 0 },
                 StatusLine{ "HTTP/1.1 101 X", 0 },
                 StatusLine{ "HTTP/1.1 100", 100 },
                 StatusLine{ "HTTP/1.1 200", 200 },
                 StatusLine{ "HTTP/1.0 200 ", 200 },
                 StatusLine{ "\r\nHTTP/1.1 599 X", 599 },
         }) {
        CAPTURE(line.text);
        const std::string message = line.text + "\r\nContent-Length: 0\r\n\r\n";
        for (const std::size_t partBytes : { message.size(), std::size_t(1) }) {
            int status = 0;
            HttpParser parser(HttpParser::MessageType::Response, maxHeadBytes,
                              { [&](const MessageHead &head) { status = head.status; },
                                [](std::string_view) {}, [] {} });
            for (std::size_t i = 0; i < message.size(); i += partBytes)
                parser.feed(message.substr(i, partBytes));
            CHECK(status == line.status);
            CHECK(parser.isComplete() == (line.status != 0));
            CHECK((parser.parseError() == HttpParser::ParseError::None) == parser.isComplete());
        }
    }
}

TEST_SUITE_END();

} // namespace basildeck
