#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basildeck {

// The header fields of one message, in their original order and spelling.
class HeaderFields
{
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string name, std::string value);
    // Returns the value of the first field with a name, ignoring case, or null.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Field> &all() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

// Whether a text can be the value of a field: no control characters but tabs, and no white space at
// its ends (RFC 9110, section 5.5).
bool isFieldValue(std::string_view text);

bool equalsIgnoreCase(std::string_view first, std::string_view second);

// Returns the value of a cookie in a Cookie header, or an empty string if it is missing.
std::string_view cookieValue(std::string_view header, std::string_view name);

struct RequestLine
{
    std::string method;
    std::string target; // path and query, not decoded
};

// The start line and header fields of an HTTP/1.1 message.
struct MessageHead
{
    RequestLine request; // requests only
    int status = 0;      // responses only
    HeaderFields fields;
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = false;
    bool isHttp10 = false;
    bool hasBody = false;
    bool isDelimitedByClose = false; // a response without a length
};

// An incremental HTTP/1.1 parser based on http_parser. Parses one message at a time, and holds at
// most its head. The status of a response must be three digits from 100 to 599, and not 101, which
// answers an upgrade that is never requested.
class HttpParser
{
public:
    enum class MessageType { Request, Response };
    enum class ParseError { None, Malformed, InvalidStatus, HeadTooLarge, FramingTooLarge };

    // Maximum number of fields of a head. A field takes far more memory than the few bytes that it
    // may have in the message.
    static constexpr std::size_t maxFields = 256;
    // What surrounds a body in chunks (chunk sizes, chunk extensions and the trailer) may have the
    // maximum size of a head, and this many bytes for each byte of the body.
    static constexpr std::uint64_t maxFramingPerBodyByte = 16;

    struct Callbacks
    {
        std::function<void(MessageHead)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onComplete;
    };

    HttpParser(MessageType type, std::size_t maxHeadBytes, Callbacks callbacks);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    // Parses up to the end of the message or of the input. Returns the number of bytes consumed.
    std::size_t feed(std::string_view bytes);
    // Signals the end of the stream, which completes a response that is delimited by it.
    void finishInput();
    // Prepares for the next message.
    void reset();
    // The next response has no body, because the request was HEAD.
    void expectNoBody(bool expectsNoBody);

    ParseError parseError() const;
    bool isComplete() const;
    // Whether a message has begun but is not complete.
    bool hasPartialMessage() const;
    bool isHeadComplete() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace basildeck
