#include "store/JsonSlices.h"

#include <algorithm>

namespace basildeck {

namespace {

constexpr std::string_view whiteSpace = " \t\r\n";

class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text)
        : m_text(text)
    {}

    bool isAtEnd() const { return m_position == m_text.size(); }
    char next() const { return isAtEnd() ? '\0' : m_text[m_position]; }
    void skipSpace()
    {
        while (!isAtEnd() && whiteSpace.find(next()) != std::string_view::npos)
            ++m_position;
    }
    bool take(char expected)
    {
        skipSpace();
        if (next() != expected)
            return false;
        ++m_position;
        return true;
    }

    // Takes a string with its quotes.
    std::optional<std::string_view> takeString()
    {
        skipSpace();
        const std::size_t start = m_position;
        if (!take('"'))
            return std::nullopt;
        while (!isAtEnd() && next() != '"')
            m_position += next() == '\\' ? 2 : 1;
        m_position = std::min(m_position, m_text.size());
        if (!take('"'))
            return std::nullopt;
        return m_text.substr(start, m_position - start);
    }

    // Takes a value up to the comma or bracket that ends it.
    std::optional<JsonSlice> takeValue()
    {
        skipSpace();
        const std::size_t start = m_position;
        JsonSlice slice;
        std::size_t depth = 0;
        while (!isAtEnd()) {
            const char character = next();
            const bool closes = character == ']' || character == '}';
            if (depth == 0 && (closes || character == ','))
                break;
            if (character == '"') {
                if (!takeString())
                    return std::nullopt;
                continue;
            }
            if (character == '[' || character == '{')
                slice.depth = std::max(slice.depth, ++depth);
            depth -= closes ? 1 : 0;
            ++m_position;
        }
        if (depth > 0 || m_position == start)
            return std::nullopt;
        slice.text = m_text.substr(start, m_position - start);
        slice.text.remove_suffix(slice.text.size() - 1 - slice.text.find_last_not_of(whiteSpace));
        return slice;
    }

private:
    std::string_view m_text;
    std::size_t m_position = 0;
};

} // namespace

std::optional<std::vector<JsonSlice>> splitJson(std::string_view text)
{
    JsonScanner scanner(text);
    const bool isObject = scanner.take('{');
    if (!isObject && !scanner.take('['))
        return std::nullopt;
    const char end = isObject ? '}' : ']';
    std::vector<JsonSlice> slices;
    while (!scanner.take(end)) {
        if (!slices.empty() && !scanner.take(','))
            return std::nullopt;
        std::string_view name;
        if (isObject) {
            const auto quoted = scanner.takeString();
            if (!quoted || !scanner.take(':'))
                return std::nullopt;
            name = quoted->substr(1, quoted->size() - 2);
        }
        auto slice = scanner.takeValue();
        if (!slice)
            return std::nullopt;
        slice->name = name;
        slices.push_back(*slice);
    }
    scanner.skipSpace();
    return scanner.isAtEnd() ? std::optional(std::move(slices)) : std::nullopt;
}

const JsonSlice *findSlice(const std::vector<JsonSlice> &members, std::string_view name)
{
    const auto found = std::find_if(members.rbegin(), members.rend(),
                                    [&](const JsonSlice &member) { return member.name == name; });
    return found == members.rend() ? nullptr : &*found;
}

} // namespace basildeck
