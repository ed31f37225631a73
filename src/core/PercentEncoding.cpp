#include "core/PercentEncoding.h"

#include <cctype>

namespace basildeck {

namespace {

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
