#include "http/HttpMessages.h"

#include "core/PercentEncoding.h"

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

} // namespace basildeck
