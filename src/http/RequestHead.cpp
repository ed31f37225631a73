#include "http/RequestHead.h"

#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace basildeck {

namespace {

struct PassedHeader
{
    int token; // noToken: looked up by name
    const char *name;
};

constexpr int noToken = -1;
constexpr std::size_t shortestKey = 8; // characters
constexpr std::string_view bearer = "Bearer ";

// End-to-end request headers. Authorization and the hop-by-hop headers of RFC 9110, section 7.6.1,
// are not among them.
constexpr std::array passedRequestHeaders = {
    PassedHeader{ WSI_TOKEN_HTTP_ACCEPT, "accept" },
    PassedHeader{ WSI_TOKEN_HTTP_ACCEPT_ENCODING, "accept-encoding" },
    PassedHeader{ WSI_TOKEN_HTTP_ACCEPT_LANGUAGE, "accept-language" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_ENCODING, "content-encoding" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_LANGUAGE, "content-language" },
    PassedHeader{ WSI_TOKEN_HTTP_COOKIE, "cookie" },
    PassedHeader{ WSI_TOKEN_HTTP_IF_MATCH, "if-match" },
    PassedHeader{ WSI_TOKEN_HTTP_IF_NONE_MATCH, "if-none-match" },
    PassedHeader{ WSI_TOKEN_HTTP_IF_MODIFIED_SINCE, "if-modified-since" },
    PassedHeader{ WSI_TOKEN_HTTP_IF_UNMODIFIED_SINCE, "if-unmodified-since" },
    PassedHeader{ WSI_TOKEN_HTTP_IF_RANGE, "if-range" },
    PassedHeader{ WSI_TOKEN_HTTP_RANGE, "range" },
    PassedHeader{ WSI_TOKEN_HTTP_USER_AGENT, "user-agent" },
    PassedHeader{ WSI_TOKEN_ORIGIN, "origin" },
    PassedHeader{ noToken, "x-request-id" },
    PassedHeader{ noToken, "traceparent" },
    PassedHeader{ noToken, "tracestate" },
    PassedHeader{ noToken, "idempotency-key" },
};

constexpr std::array passedAnswerHeaders = {
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_ENCODING, "content-encoding" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_LANGUAGE, "content-language" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_DISPOSITION, "content-disposition" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_LOCATION, "content-location" },
    PassedHeader{ WSI_TOKEN_HTTP_CONTENT_RANGE, "content-range" },
    PassedHeader{ WSI_TOKEN_HTTP_ACCEPT_RANGES, "accept-ranges" },
    PassedHeader{ WSI_TOKEN_HTTP_AGE, "age" },
    PassedHeader{ WSI_TOKEN_HTTP_ALLOW, "allow" },
    PassedHeader{ WSI_TOKEN_HTTP_CACHE_CONTROL, "cache-control" },
    PassedHeader{ WSI_TOKEN_HTTP_DATE, "date" },
    PassedHeader{ WSI_TOKEN_HTTP_ETAG, "etag" },
    PassedHeader{ WSI_TOKEN_HTTP_EXPIRES, "expires" },
    PassedHeader{ WSI_TOKEN_HTTP_LAST_MODIFIED, "last-modified" },
    PassedHeader{ WSI_TOKEN_HTTP_LINK, "link" },
    PassedHeader{ WSI_TOKEN_HTTP_LOCATION, "location" },
    PassedHeader{ WSI_TOKEN_HTTP_RETRY_AFTER, "retry-after" },
    PassedHeader{ WSI_TOKEN_HTTP_SET_COOKIE, "set-cookie" },
    PassedHeader{ WSI_TOKEN_HTTP_VARY, "vary" },
    PassedHeader{ WSI_TOKEN_HTTP_WWW_AUTHENTICATE, "www-authenticate" },
    PassedHeader{ noToken, "x-request-id" },
};

std::optional<std::string> headerValue(lws *connection, const PassedHeader &header)
{
    return header.token == noToken ? lws_util::namedHeader(connection, header.name)
                                   : lws_util::tokenHeader(connection, header.token);
}

template <typename Table>
std::vector<HttpHeader> readTable(lws *connection, const Table &table)
{
    std::vector<HttpHeader> headers;
    for (const PassedHeader &header : table) {
        if (auto value = headerValue(connection, header))
            headers.push_back({ header.name, std::move(*value) });
    }
    return headers;
}

template <typename Number>
std::optional<Number> wholeNumber(std::string_view text)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool digits
            = std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (text.empty() || !digits || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Reads the headers that frame the body.
Result<void> readFraming(lws *connection, RequestHead &head)
{
    const auto length = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_TRANSFER_ENCODING)) {
        if (length)
            return failure(ErrorKind::BadRequest,
                           "both Transfer-Encoding and Content-Length are given");
        return failure(ErrorKind::LengthRequired, "a body needs a Content-Length");
    }
    if (!length)
        return success();
    head.contentLength = wholeNumber<std::size_t>(*length);
    if (!head.contentLength)
        return failure(ErrorKind::BadRequest, "Content-Length is not one whole number");
    return success();
}

Result<void> readKey(lws *connection, RequestHead &head)
{
    const auto value = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_AUTHORIZATION);
    if (!value)
        return success();
    if (!value->starts_with(bearer)
        || value->find_first_of(", ", bearer.size()) != std::string::npos)
        return failure(ErrorKind::BadRequest, "Authorization is not one bearer key");
    head.key = value->substr(bearer.size());
    return success();
}

Result<void> readTimeout(lws *connection, RequestHead &head)
{
    const auto value = lws_util::namedHeader(connection, "basildeck-timeout-ms");
    if (!value)
        return success();
    head.timeoutMs = wholeNumber<long>(*value);
    if (!head.timeoutMs)
        return failure(ErrorKind::BadRequest, "Basildeck-Timeout-Ms is not a whole number");
    return success();
}

void splitInto(std::vector<std::string> &parts, std::string_view text, std::string_view separators)
{
    while (!text.empty()) {
        const auto end = text.find_first_of(separators);
        const std::string_view part = text.substr(0, end);
        if (part.size() >= shortestKey)
            parts.emplace_back(part);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
}

} // namespace

Result<RequestHead> readRequestHead(lws *connection, std::string_view decodedPath)
{
    RequestHead head;
    head.method = lws_util::method(connection);
    head.path = lws_util::encodedPath(connection, decodedPath);
    head.query = lws_util::encodedQuery(connection);
    head.clientIp = lws_util::clientIp(connection);
    head.http10 = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP).value_or("") == "HTTP/1.0";
    BOOST_OUTCOME_TRYV(readFraming(connection, head));
    BOOST_OUTCOME_TRYV(readKey(connection, head));
    BOOST_OUTCOME_TRYV(readTimeout(connection, head));
    const auto authority = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_COLON_AUTHORITY);
    const auto host = authority ? authority : lws_util::tokenHeader(connection, WSI_TOKEN_HOST);
    if (!host)
        return failure(ErrorKind::BadRequest, "the Host header is missing");
    if (host->find(',') != std::string::npos)
        return failure(ErrorKind::BadRequest, "the Host header stands twice");
    head.host = *host;
    if (head.method.empty())
        return failure(ErrorKind::BadRequest, "the method is not known");
    head.idempotencyKey = lws_util::namedHeader(connection, "idempotency-key").value_or("");
    const std::string expect
            = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_EXPECT).value_or("");
    head.expectsContinue = expect == "100-continue";
    head.forwarded = readTable(connection, passedRequestHeaders);
    return head;
}

std::vector<std::string> keyLikeParts(const RequestHead &head)
{
    std::vector<std::string> parts;
    splitInto(parts, percentDecode(head.path), "/");
    splitInto(parts, percentDecode(head.query), "&=;, ");
    for (const HttpHeader &header : head.forwarded)
        splitInto(parts, header.value, "=;, \"");
    return parts;
}

std::vector<HttpHeader> readAnswerHeaders(lws *connection)
{
    return readTable(connection, passedAnswerHeaders);
}

} // namespace basildeck
