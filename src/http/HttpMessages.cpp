#include "http/HttpMessages.h"

#include <cctype>

namespace basildeck {

namespace {

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (header.name == name)
            return header.value;
    }
    return {};
}

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string HttpRequest::queryParameter(std::string_view name) const
{
    std::string_view remainder = query;
    while (!remainder.empty()) {
        const auto end = remainder.find('&');
        const std::string_view pair = remainder.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos)
            return percentDecode(pair.substr(equals + 1));
        remainder = end == std::string_view::npos ? std::string_view() : remainder.substr(end + 1);
    }
    return "";
}

std::string percentEncode(std::string_view text, std::string_view literals)
{
    static constexpr std::string_view unreserved = "-._~";
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isLiteral = std::isalnum(byte) != 0
                               || unreserved.find(character) != std::string_view::npos
                               || literals.find(character) != std::string_view::npos;
        if (isLiteral) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 <= text.size() - 1) {
            const int high = hexDigit(text[i + 1]);
            const int low = hexDigit(text[i + 2]);
            if (high >= 0 && low >= 0) {
                decoded += static_cast<char>(high * 16 + low);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

} // namespace basildeck
