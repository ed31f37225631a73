#include "edge/HttpParser.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <limits>

namespace basildeck {

namespace {

bool equalLetters(char first, char second)
{
    return std::tolower(static_cast<unsigned char>(first))
           == std::tolower(static_cast<unsigned char>(second));
}

// The library lets a space pass before the colon; another reader might take such a field for the
// one without it (RFC 9112, section 5.1).
bool isToken(std::string_view name)
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

// The library counts head bytes in a global limit; this class counts its own.
constexpr std::uint32_t libraryHeadLimit = 1U << 30;

} // namespace

bool equalsIgnoreCase(std::string_view first, std::string_view second)
{
    return first.size() == second.size()
           && std::equal(first.begin(), first.end(), second.begin(), equalLetters);
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
    Kind kind = Kind::Request;
    std::size_t maxHeadBytes = 0;
    Callbacks callbacks;

    MessageHead head;
    std::string name;
    std::string value;
    bool inValue = false;
    bool started = false;
    bool headComplete = false;
    bool complete = false;
    bool noBody = false;
    bool trailer = false;
    std::size_t headBytes = 0;
    Problem problem = Problem::None;

    void storeField()
    {
        if (!trailer && !name.empty())
            head.fields.add(std::move(name), std::move(value));
        name.clear();
        value.clear();
        inValue = false;
    }

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    int takeHead();
    bool hasAmbiguousLength() const;
    bool isHeadTooLarge() const;
};

bool HttpParser::State::isHeadTooLarge() const
{
    std::size_t size = head.request.target.size();
    for (const auto &[fieldName, fieldValue] : head.fields.all())
        size += fieldName.size() + fieldValue.size();
    return size > maxHeadBytes;
}

bool HttpParser::State::hasAmbiguousLength() const
{
    if (head.fields.count("content-length") > 1)
        return true;
    const std::string *coding = head.fields.find("transfer-encoding");
    if (coding == nullptr)
        return false;
    return !equalsIgnoreCase(*coding, "chunked") || head.fields.count("transfer-encoding") > 1
           || head.fields.count("content-length") > 0;
}

int HttpParser::State::takeHead()
{
    storeField();
    trailer = true;
    headComplete = true;
    const bool hasBadField = std::any_of(
            head.fields.all().begin(), head.fields.all().end(), [](const HeaderFields::Field &f) {
                return !isToken(f.first) || hasControlCharacters(f.second);
            });
    if (hasBadField || hasAmbiguousLength()) {
        problem = Problem::Malformed;
        return -1;
    }
    if (isHeadTooLarge()) {
        problem = Problem::HeadTooLarge;
        return -1;
    }
    head.chunked = (parser.flags & F_CHUNKED) != 0;
    if ((parser.flags & F_CONTENTLENGTH) != 0)
        head.contentLength = parser.content_length;
    head.keepAlive = http_should_keep_alive(&parser) != 0;
    head.isHttp10 = parser.http_major == 1 && parser.http_minor == 0;
    head.status = kind == Kind::Answer ? static_cast<int>(parser.status_code) : 0;
    if (kind == Kind::Request) {
        head.request.method = http_method_str(static_cast<http_method>(parser.method));
        head.hasBody = head.chunked || head.contentLength.value_or(0) > 0;
    } else {
        const bool bodiless
                = noBody || head.status / 100 == 1 || head.status == 204 || head.status == 304;
        head.endsWithConnection = !bodiless && !head.chunked && !head.contentLength;
        head.hasBody = !bodiless && (head.chunked || head.contentLength.value_or(1) > 0);
    }
    callbacks.head(std::move(head));
    head = {};
    return kind == Kind::Answer && noBody ? 1 : 0;
}

HttpParser::HttpParser(Kind kind, std::size_t maxHeadBytes, Callbacks callbacks)
    : m_state(std::make_unique<State>())
{
    State &state = *m_state;
    state.kind = kind;
    state.maxHeadBytes = maxHeadBytes;
    state.callbacks = std::move(callbacks);
    http_parser_set_max_header_size(libraryHeadLimit);
    http_parser_settings_init(&state.settings);
    state.settings.on_message_begin = [](http_parser *parser) {
        State::of(parser).started = true;
        return 0;
    };
    state.settings.on_url = [](http_parser *parser, const char *at, std::size_t length) {
        State::of(parser).head.request.target.append(at, length);
        return 0;
    };
    state.settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) {
        State &self = State::of(parser);
        if (self.inValue)
            self.storeField();
        self.name.append(at, length);
        return 0;
    };
    state.settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) {
        State &self = State::of(parser);
        self.inValue = true;
        self.value.append(at, length);
        return 0;
    };
    state.settings.on_headers_complete
            = [](http_parser *parser) { return State::of(parser).takeHead(); };
    state.settings.on_body = [](http_parser *parser, const char *at, std::size_t length) {
        State::of(parser).callbacks.body({ at, length });
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
    http_parser_init(&state.parser, state.kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.parser.data = &state;
    state.head = {};
    state.name.clear();
    state.value.clear();
    state.inValue = state.started = state.headComplete = state.complete = state.trailer = false;
    state.headBytes = 0;
    state.problem = Problem::None;
}

void HttpParser::expectNoBody(bool noBody)
{
    m_state->noBody = noBody;
}

std::size_t HttpParser::feed(std::string_view bytes)
{
    State &state = *m_state;
    if (state.complete || state.problem != Problem::None || bytes.empty())
        return 0;
    const bool headOpen = !state.headComplete;
    const std::size_t taken
            = http_parser_execute(&state.parser, &state.settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&state.parser);
    if (error != HPE_OK && error != HPE_PAUSED && state.problem == Problem::None)
        state.problem = Problem::Malformed;
    if (headOpen && !state.headComplete) {
        state.headBytes += taken;
        if (state.headBytes > state.maxHeadBytes)
            state.problem = Problem::HeadTooLarge;
    }
    if (state.complete && state.problem == Problem::None)
        state.callbacks.complete();
    return taken;
}

void HttpParser::feedEnd()
{
    State &state = *m_state;
    if (state.complete || state.problem != Problem::None)
        return;
    http_parser_execute(&state.parser, &state.settings, nullptr, 0);
    if (state.complete && state.problem == Problem::None)
        state.callbacks.complete();
}

HttpParser::Problem HttpParser::problem() const
{
    return m_state->problem;
}

bool HttpParser::isComplete() const
{
    return m_state->complete;
}

bool HttpParser::isInMessage() const
{
    return m_state->started && !m_state->complete;
}

bool HttpParser::isHeadComplete() const
{
    return m_state->headComplete;
}

} // namespace basildeck
