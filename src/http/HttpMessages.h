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

// A request with its complete body in memory.
struct HttpRequest
{
    std::string method = "GET";
    std::string path;  // normalised, without the query
    std::string query; // percent-encoded, without "?"
    std::vector<HttpHeader> headers;
    std::string body;
    std::string clientIp;

    // Returns the value of a header, or an empty string if it is absent.
    std::string_view header(std::string_view name) const;
    // Returns the decoded value of a query parameter, or an empty string if it is absent.
    std::string queryParameter(std::string_view name) const;
};

// A response with its complete body in memory.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

} // namespace basildeck
