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

// The header fields of one message, in the order and spelling in which they arrived.
class HeaderFields
{
public:
    using Field = std::pair<std::string, std::string>;

    void add(std::string name, std::string value);
    // The value of the first field with a name, in any case of letters. Null if there is none.
    const std::string *find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    const std::vector<Field> &all() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

// Compares header names without regard to the case of letters.
bool equalsIgnoreCase(std::string_view first, std::string_view second);

// The value of a cookie in a Cookie header, empty if it has none of that name.
std::string_view cookieValue(std::string_view header, std::string_view name);

struct RequestLine
{
    std::string method;
    std::string target; // path and query as they arrived
};

// The head of one HTTP/1.1 message.
struct MessageHead
{
    RequestLine request; // requests only
    int status = 0;      // answers only
    HeaderFields fields;
    std::optional<std::uint64_t> contentLength;
    bool chunked = false;
    bool keepAlive = false;
    bool isHttp10 = false;
    bool hasBody = false;
    bool endsWithConnection = false; // answers without length
};

// Incremental parser of HTTP/1.1 messages, on http_parser. It takes one message at a time.
class HttpParser
{
public:
    enum class Kind { Request, Answer };
    enum class Problem { None, Malformed, HeadTooLarge };

    struct Callbacks
    {
        std::function<void(MessageHead)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> complete;
    };

    HttpParser(Kind kind, std::size_t maxHeadBytes, Callbacks callbacks);
    ~HttpParser();
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    // Parses until the end of a message or of the bytes, and returns how many bytes it took.
    std::size_t feed(std::string_view bytes);
    // The stream has ended. Completes an answer that ends with its connection.
    void feedEnd();
    // Prepares for the next message.
    void reset();
    // The answer to come has no body, because it answers HEAD.
    void expectNoBody(bool noBody);

    Problem problem() const;
    bool isComplete() const;
    // Some bytes of a message have arrived and its end has not.
    bool isInMessage() const;
    bool isHeadComplete() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace basildeck
