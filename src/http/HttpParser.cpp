#include "http/HttpParser.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <limits>

namespace basildeck {

namespace {

bool equalIgnoringCase(char first, char second)
{
    return std::tolower(static_cast<unsigned char>(first))
           == std::tolower(static_cast<unsigned char>(second));
}

// http_parser accepts whitespace between a field name and the colon. Another recipient could treat
// such a field as the one without the whitespace, so it must be rejected (RFC 9112, section 5.1).
bool isFieldName(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
               || symbols.find(c) != std::string_view::npos;
    });
}

bool hasControlCharacters(std::string_view value)
{
    return std::any_of(value.begin(), value.end(),
                       [](char c) { return c == '\r' || c == '\n' || c == '\0'; });
}

// The status line up to its status, and up to the byte that follows the status.
constexpr std::size_t versionBytes = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t maxStatusLineBytes = versionBytes + std::string_view("200 ").size();

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

// Whether a text is, or may become, a valid status and the byte that follows it.
bool isStatus(std::string_view text)
{
    constexpr std::string_view first = "12345";
    constexpr std::string_view ends = " \r\n";
    constexpr std::size_t digits = 3;
    return (text.empty() || first.find(text.front()) != std::string_view::npos)
           && std::all_of(text.begin(), text.begin() + std::min(text.size(), digits), isDigit)
           && (text.size() <= digits || ends.find(text[digits]) != std::string_view::npos)
           && !text.starts_with("101");
}

// http_parser has one global limit on the head size; this class enforces its own limit per message.
constexpr std::uint32_t libraryMaxHeadBytes = 1U << 30;

} // namespace

bool isFieldValue(std::string_view text)
{
    const auto isSpace = [](char c) { return c == ' ' || c == '\t'; };
    return std::none_of(text.begin(), text.end(),
                        [](char c) {
                            return c != '\t' && std::iscntrl(static_cast<unsigned char>(c)) != 0;
                        })
           && (text.empty() || (!isSpace(text.front()) && !isSpace(text.back())));
}

bool equalsIgnoreCase(std::string_view first, std::string_view second)
{
    return first.size() == second.size()
           && std::equal(first.begin(), first.end(), second.begin(), equalIgnoringCase);
}

void HeaderFields::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

const std::string *HeaderFields::find(std::string_view name) const
{
    for (const Field &field : m_fields) {
        if (equalsIgnoreCase(field.first, name))
            return &field.second;
    }
    return nullptr;
}

std::size_t HeaderFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(m_fields.begin(), m_fields.end(),
                          [&](const Field &field) { return equalsIgnoreCase(field.first, name); }));
}

std::string_view cookieValue(std::string_view header, std::string_view name)
{
    while (!header.empty()) {
        const std::size_t end = std::min(header.find(';'), header.size());
        std::string_view pair = header.substr(0, end);
        while (!pair.empty() && pair.front() == ' ')
            pair.remove_prefix(1);
        if (pair.size() > name.size() && pair[name.size()] == '=' && pair.starts_with(name))
            return pair.substr(name.size() + 1);
        header.remove_prefix(std::min(end + 1, header.size()));
    }
    return {};
}

struct HttpParser::State
{
    http_parser parser{};
    http_parser_settings settings{};
    MessageType type = MessageType::Request;
    std::size_t maxHeadBytes = 0;
    Callbacks callbacks;

    MessageHead head;
    std::string statusLine; // its first bytes
    std::string name;
    std::string value;
    bool isReadingValue = false;
    bool hasStarted = false;
    bool headComplete = false;
    bool complete = false;
    bool expectsNoBody = false;
    bool inTrailer = false;
    std::size_t headBytes = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t bytesAfterHead = 0; // of the body and what surrounds it
    ParseError parseError = ParseError::None;

    void finishField()
    {
        if (!inTrailer && !name.empty())
            head.fields.add(std::move(name), std::move(value));
        name.clear();
        value.clear();
        isReadingValue = false;
    }

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    int finishHead();
    // Whether the status is invalid as of these bytes. http_parser accepts any number up to 999.
    bool hasInvalidStatus(std::string_view bytes);
    // Returns an error if the head has too many fields, or the trailer a field that is too large.
    // The sizes of the fields of a head are limited together.
    int checkField();
    bool hasAmbiguousBodyLength() const;
    bool isHeadTooLarge() const;
    bool isFramingTooLarge() const
    {
        return bytesAfterHead - bodyBytes > maxHeadBytes + maxFramingPerBodyByte * bodyBytes;
    }
};

bool HttpParser::State::isHeadTooLarge() const
{
    std::size_t size = head.request.target.size();
    for (const auto &[fieldName, fieldValue] : head.fields.all())
        size += fieldName.size() + fieldValue.size();
    return size > maxHeadBytes;
}

bool HttpParser::State::hasAmbiguousBodyLength() const
{
    if (head.fields.count("content-length") > 1)
        return true;
    const std::string *coding = head.fields.find("transfer-encoding");
    if (coding == nullptr)
        return false;
    return !equalsIgnoreCase(*coding, "chunked") || head.fields.count("transfer-encoding") > 1
           || head.fields.count("content-length") > 0;
}

bool HttpParser::State::hasInvalidStatus(std::string_view bytes)
{
    for (const char c : bytes) {
        if (statusLine.size() == maxStatusLineBytes)
            return false;
        const bool isEmptyLine = statusLine.empty() && (c == '\r' || c == '\n');
        if (!isEmptyLine)
            statusLine += c;
        // http_parser rejects any other version.
        const bool hasVersion = statusLine.size() > versionBytes && statusLine.starts_with("HTTP/");
        if (hasVersion && !isStatus(std::string_view(statusLine).substr(versionBytes)))
            return true;
    }
    return false;
}

int HttpParser::State::checkField()
{
    const bool isValid = inTrailer ? name.size() + value.size() <= maxHeadBytes
                                   : head.fields.all().size() < maxFields;
    if (isValid)
        return 0;
    parseError = ParseError::HeadTooLarge;
    return -1;
}

int HttpParser::State::finishHead()
{
    finishField();
    inTrailer = true;
    headComplete = true;
    const bool hasBadField = std::any_of(
            head.fields.all().begin(), head.fields.all().end(), [](const HeaderFields::Field &f) {
                return !isFieldName(f.first) || hasControlCharacters(f.second);
            });
    if (hasBadField || hasAmbiguousBodyLength()) {
        parseError = ParseError::Malformed;
        return -1;
    }
    if (isHeadTooLarge()) {
        parseError = ParseError::HeadTooLarge;
        return -1;
    }
    head.chunked = (parser.flags & F_CHUNKED) != 0;
    if ((parser.flags & F_CONTENTLENGTH) != 0)
        head.contentLength = parser.content_length;
    head.keepAlive = http_should_keep_alive(&parser) != 0;
    head.isHttp10 = parser.http_major == 1 && parser.http_minor == 0;
    head.status = type == MessageType::Response ? static_cast<int>(parser.status_code) : 0;
    if (type == MessageType::Request) {
        head.request.method = http_method_str(static_cast<http_method>(parser.method));
        head.hasBody = head.chunked || head.contentLength.value_or(0) > 0;
    } else {
        const bool bodiless = expectsNoBody || head.status / 100 == 1 || head.status == 204
                              || head.status == 304;
        head.isDelimitedByClose = !bodiless && !head.chunked && !head.contentLength;
        head.hasBody = !bodiless && (head.chunked || head.contentLength.value_or(1) > 0);
    }
    callbacks.onHead(std::move(head));
    head = {};
    return type == MessageType::Response && expectsNoBody ? 1 : 0;
}

HttpParser::HttpParser(MessageType type, std::size_t maxHeadBytes, Callbacks callbacks)
    : m_state(std::make_unique<State>())
{
    State &state = *m_state;
    state.type = type;
    state.maxHeadBytes = maxHeadBytes;
    state.callbacks = std::move(callbacks);
    http_parser_set_max_header_size(libraryMaxHeadBytes);
    http_parser_settings_init(&state.settings);
    state.settings.on_message_begin = [](http_parser *parser) {
        State::of(parser).hasStarted = true;
        return 0;
    };
    state.settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
        State::of(parser).head.request.target.append(at, length);
        return 0;
    };
    state.settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
        State &self = State::of(parser);
        if (self.isReadingValue)
            self.finishField();
        self.name.append(at, length);
        return self.checkField();
    };
    state.settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
        State &self = State::of(parser);
        self.isReadingValue = true;
        self.value.append(at, length);
        return self.checkField();
    };
    state.settings.on_headers_complete
            = [](http_parser *parser) { return State::of(parser).finishHead(); };
    state.settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
        State &self = State::of(parser);
        self.bodyBytes += length;
        self.callbacks.onBody({ at, length });
        return 0;
    };
    state.settings.on_message_complete = [](http_parser *parser) {
        State::of(parser).complete = true;
        http_parser_pause(parser, 1);
        return 0;
    };
    reset();
}

HttpParser::~HttpParser() = default;

void HttpParser::reset()
{
    State &state = *m_state;
    http_parser_init(&state.parser,
                     state.type == MessageType::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.parser.data = &state;
    state.head = {};
    state.statusLine.clear();
    state.name.clear();
    state.value.clear();
    state.isReadingValue = state.hasStarted = state.headComplete = state.complete = state.inTrailer
            = false;
    state.headBytes = 0;
    state.bodyBytes = state.bytesAfterHead = 0;
    state.parseError = ParseError::None;
}

void HttpParser::expectNoBody(bool expectsNoBody)
{
    m_state->expectsNoBody = expectsNoBody;
}

std::size_t HttpParser::feed(std::string_view bytes)
{
    State &state = *m_state;
    if (state.complete || state.parseError != ParseError::None || bytes.empty())
        return 0;
    if (state.type == MessageType::Response && state.hasInvalidStatus(bytes)) {
        state.parseError = ParseError::InvalidStatus;
        return 0;
    }
    const bool wasInHead = !state.headComplete;
    const std::size_t consumed
            = http_parser_execute(&state.parser, &state.settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&state.parser);
    if (error != HPE_OK && error != HPE_PAUSED && state.parseError == ParseError::None)
        state.parseError = ParseError::Malformed;
    if (wasInHead && !state.headComplete) {
        state.headBytes += consumed;
        if (state.headBytes > state.maxHeadBytes)
            state.parseError = ParseError::HeadTooLarge;
    }
    // The part of the body that comes with the end of the head counts as body only.
    state.bytesAfterHead = wasInHead ? state.bodyBytes : state.bytesAfterHead + consumed;
    if (state.parseError == ParseError::None && state.isFramingTooLarge())
        state.parseError = ParseError::FramingTooLarge;
    if (state.complete && state.parseError == ParseError::None)
        state.callbacks.onComplete();
    return consumed;
}

void HttpParser::finishInput()
{
    State &state = *m_state;
    if (state.complete || state.parseError != ParseError::None)
        return;
    http_parser_execute(&state.parser, &state.settings, nullptr, 0);
    if (state.complete && state.parseError == ParseError::None)
        state.callbacks.onComplete();
}

HttpParser::ParseError HttpParser::parseError() const
{
    return m_state->parseError;
}

bool HttpParser::isComplete() const
{
    return m_state->complete;
}

bool HttpParser::hasPartialMessage() const
{
    return m_state->hasStarted && !m_state->complete;
}

bool HttpParser::isHeadComplete() const
{
    return m_state->headComplete;
}

} // namespace basildeck
