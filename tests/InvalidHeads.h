#pragma once

#include <string>
#include <vector>

namespace basildeck::test {

// Lines that no head of a response may have (RFC 9112, section 5).
inline std::vector<std::string> invalidLines()
{
    using namespace std::string_literals;
    return {
        "X Odd: 1",
        "X\tOdd: 1",
        "X\001Odd: 1",
        "X\0Odd: 1"s,
        "X\177Odd: 1",
        "X\351Odd: 1",
        "X\"Odd: 1",
        "X\vOdd: 1",
        "X-Odd : 1",
        "X-Odd\t: 1",
        "X-Odd",
        ": 1",
        "X-Odd: a\rb",
        "X-Odd: a\0b"s,
        "Content Length: 3",
        "Content-Length : 3",
        "Content-Length\001: 3",
        "Transfer-Encoding : chunked",
        "Transfer\tEncoding: chunked",
        "Content-Type : text/plain",
        "Content\001Type: text/plain",
    };
}

} // namespace basildeck::test
