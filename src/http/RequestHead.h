#pragma once

#include "basildeck/Result.h"
#include "http/HttpMessages.h"
#include "http/HttpParser.h"

#include <optional>
#include <string>
#include <vector>

struct lws;

namespace basildeck {

// The parsed head of a caller's request.
struct RequestHead
{
    std::string method;
    std::string host;
    std::string path;   // normalised and percent-encoded
    std::string query;  // percent-encoded, without "?"
    std::string apiKey; // empty if the request carries none
    std::string idempotencyKey;
    std::optional<long> timeoutMs; // the caller's deadline, from the Basildeck-Timeout-Ms header
    std::optional<std::size_t> contentLength;
    bool expectsContinue = false;
    bool isHttp10 = false;
    std::string clientIp;
    std::vector<HttpHeader> forwardedHeaders; // end-to-end headers to send to the upstream

    // The request target in origin form: path and query (RFC 9112, section 3.2.1).
    std::string requestTarget() const { return query.empty() ? path : path + "?" + query; }
    bool hasBody() const { return contentLength.value_or(0) > 0; }
};

// Reads and validates a request head. A head whose body length two parsers could interpret
// differently is an error, because it allows request smuggling (RFC 9112, section 6.3).
Result<RequestHead> readRequestHead(lws *connection, std::string_view decodedPath);

// Returns the parts of a request outside of the Authorization header into which a caller may have
// put an API key by mistake: path segments, query values and header values.
std::vector<std::string> keyCandidates(const RequestHead &head);

// Returns the end-to-end headers of an upstream's response that are forwarded to callers.
std::vector<HttpHeader> forwardedHeaders(const HeaderFields &fields);

} // namespace basildeck
