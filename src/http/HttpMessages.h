#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basildeck {

struct HttpHeader
{
    std::string name; // lower case
    std::string value;
};

// A request whose body is held whole.
struct HttpRequest
{
    std::string method = "GET";
    std::string path;  // normalised, without the query
    std::string query; // percent-encoded, without "?"
    std::vector<HttpHeader> headers;
    std::string body;
    std::string peerIp;

    // The value of a header, or an empty string.
    std::string_view header(std::string_view name) const;
    // The decoded value of a query argument, or an empty string.
    std::string queryParameter(std::string_view name) const;
};

// An answer whose body is held whole.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

// Encodes the bytes of one query argument (RFC 3986, section 2.1).
std::string percentEncode(std::string_view text, std::string_view keep = "");
// Decodes percent-encoding; invalid sequences stay as they are.
std::string percentDecode(std::string_view text);

} // namespace basildeck
