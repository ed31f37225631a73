#include "http/RequestHead.h"

#include "core/PercentEncoding.h"
#include "http/LwsUtil.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace basildeck {

namespace {

struct ForwardedHeader
{
    int token; // noToken: libwebsockets stores the header by name
    const char *name;
};

constexpr int noToken = -1;
constexpr std::size_t minKeyLength = 8; // characters
constexpr std::string_view bearerPrefix = "Bearer ";

// The request headers that are forwarded to upstreams. Omits Authorization and the hop-by-hop
// headers of RFC 9110, section 7.6.1.
constexpr std::array forwardedRequestHeaders = {
    ForwardedHeader{ WSI_TOKEN_HTTP_ACCEPT, "accept" },
    ForwardedHeader{ WSI_TOKEN_HTTP_ACCEPT_ENCODING, "accept-encoding" },
    ForwardedHeader{ WSI_TOKEN_HTTP_ACCEPT_LANGUAGE, "accept-language" },
    ForwardedHeader{ WSI_TOKEN_HTTP_CONTENT_TYPE, "content-type" },
    ForwardedHeader{ WSI_TOKEN_HTTP_CONTENT_ENCODING, "content-encoding" },
    ForwardedHeader{ WSI_TOKEN_HTTP_CONTENT_LANGUAGE, "content-language" },
    ForwardedHeader{ WSI_TOKEN_HTTP_COOKIE, "cookie" },
    ForwardedHeader{ WSI_TOKEN_HTTP_IF_MATCH, "if-match" },
    ForwardedHeader{ WSI_TOKEN_HTTP_IF_NONE_MATCH, "if-none-match" },
    ForwardedHeader{ WSI_TOKEN_HTTP_IF_MODIFIED_SINCE, "if-modified-since" },
    ForwardedHeader{ WSI_TOKEN_HTTP_IF_UNMODIFIED_SINCE, "if-unmodified-since" },
    ForwardedHeader{ WSI_TOKEN_HTTP_IF_RANGE, "if-range" },
    ForwardedHeader{ WSI_TOKEN_HTTP_RANGE, "range" },
    ForwardedHeader{ WSI_TOKEN_HTTP_USER_AGENT, "user-agent" },
    ForwardedHeader{ WSI_TOKEN_ORIGIN, "origin" },
    ForwardedHeader{ noToken, "x-request-id" },
    ForwardedHeader{ noToken, "traceparent" },
    ForwardedHeader{ noToken, "tracestate" },
    ForwardedHeader{ noToken, "idempotency-key" },
};

constexpr std::array<std::string_view, 21> forwardedResponseHeaders = {
    "content-type",
    "content-encoding",
    "content-language",
    "content-disposition",
    "content-location",
    "content-range",
    "accept-ranges",
    "age",
    "allow",
    "cache-control",
    "date",
    "etag",
    "expires",
    "last-modified",
    "link",
    "location",
    "retry-after",
    "set-cookie",
    "vary",
    "www-authenticate",
    "x-request-id",
};

std::optional<std::string> headerValue(lws *connection, const ForwardedHeader &header)
{
    return header.token == noToken ? lws_util::namedHeader(connection, header.name)
                                   : lws_util::tokenHeader(connection, header.token);
}

std::vector<HttpHeader> readForwardedHeaders(lws *connection)
{
    std::vector<HttpHeader> headers;
    for (const ForwardedHeader &header : forwardedRequestHeaders) {
        if (auto value = headerValue(connection, header))
            headers.push_back({ header.name, std::move(*value) });
    }
    return headers;
}

template <typename Number>
std::optional<Number> parseDecimal(std::string_view text)
{
    Number value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool onlyDigits
            = std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (text.empty() || !onlyDigits || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

// Reads the headers that determine the length of the body.
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
    head.contentLength = parseDecimal<std::size_t>(*length);
    if (!head.contentLength)
        return failure(ErrorKind::BadRequest, "Content-Length is not one whole number");
    return success();
}

Result<void> readKey(lws *connection, RequestHead &head)
{
    const auto value = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP_AUTHORIZATION);
    if (!value)
        return success();
    if (!value->starts_with(bearerPrefix)
        || value->find_first_of(", ", bearerPrefix.size()) != std::string::npos)
        return failure(ErrorKind::BadRequest, "Authorization is not one bearer key");
    head.apiKey = value->substr(bearerPrefix.size());
    return success();
}

Result<void> readTimeout(lws *connection, RequestHead &head)
{
    const auto value = lws_util::namedHeader(connection, "basildeck-timeout-ms");
    if (!value)
        return success();
    head.timeoutMs = parseDecimal<long>(*value);
    if (!head.timeoutMs)
        return failure(ErrorKind::BadRequest, "Basildeck-Timeout-Ms is not a whole number");
    return success();
}

void appendKeyCandidates(std::vector<std::string> &candidates, std::string_view text,
                         std::string_view separators)
{
    while (!text.empty()) {
        const auto end = text.find_first_of(separators);
        const std::string_view candidate = text.substr(0, end);
        if (candidate.size() >= minKeyLength)
            candidates.emplace_back(candidate);
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
    head.isHttp10 = lws_util::tokenHeader(connection, WSI_TOKEN_HTTP).value_or("") == "HTTP/1.0";
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
    head.forwardedHeaders = readForwardedHeaders(connection);
    return head;
}

std::vector<std::string> keyCandidates(const RequestHead &head)
{
    std::vector<std::string> candidates;
    appendKeyCandidates(candidates, percentDecode(head.path), "/");
    appendKeyCandidates(candidates, percentDecode(head.query), "&=;, ");
    for (const HttpHeader &header : head.forwardedHeaders)
        appendKeyCandidates(candidates, header.value, "=;, \"");
    return candidates;
}

std::vector<HttpHeader> forwardedHeaders(const HeaderFields &fields)
{
    std::vector<HttpHeader> headers;
    for (const HeaderFields::Field &field : fields.all()) {
        const auto found
                = std::find_if(forwardedResponseHeaders.begin(), forwardedResponseHeaders.end(),
                               [&](auto name) { return equalsIgnoreCase(name, field.first); });
        if (found != forwardedResponseHeaders.end())
            headers.push_back({ std::string(*found), field.second });
    }
    return headers;
}

} // namespace basildeck
