#pragma once

#include "basildeck/Result.h"
#include "http/HttpMessages.h"

#include <optional>
#include <string>
#include <vector>

struct lws;

namespace basildeck {

// What basildeck reads of the head of a caller's request.
struct RequestHead
{
    std::string method;
    std::string host;
    std::string path;  // normalised and percent-encoded
    std::string query; // percent-encoded, without "?"
    std::string key;   // empty: none was sent
    std::string idempotencyKey;
    std::optional<long> timeoutMs; // the caller's deadline, from the Basildeck-Timeout-Ms header
    std::optional<std::size_t> contentLength;
    bool expectsContinue = false;
    bool http10 = false;
    std::string clientIp;
    std::vector<HttpHeader> forwarded; // end-to-end headers that go to the upstream

    // The target of the request line.
    std::string target() const { return query.empty() ? path : path + "?" + query; }
    bool hasBody() const { return contentLength.value_or(0) > 0; }
};

// Reads and checks a head. Anything whose framing two parsers could read in two ways is an error
// (RFC 9112, section 6.3).
Result<RequestHead> readRequestHead(lws *connection, std::string_view decodedPath);

// Parts of a request, other than the Authorization header, in which a caller may have put a key by
// mistake: path segments, query values and header values.
std::vector<std::string> keyLikeParts(const RequestHead &head);

// Reads an end-to-end header of an answer by its lower-case name. Used for the headers that are
// passed to callers.
std::vector<HttpHeader> readAnswerHeaders(lws *connection);

} // namespace basildeck
