#pragma once

#include "config/Address.h"
#include "http/HttpMessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct lws;
struct lws_context;
struct lws_vhost;

// Shared helpers on top of the C API of libwebsockets.
namespace basildeck::lws_util {

// Returns the HTTP method of a parsed request, or an empty string if libwebsockets does not
// recognise it.
std::string method(lws *connection);

// Percent-encodes the path that libwebsockets passes to the callback decoded and normalised.
std::string encodedPath(lws *connection, std::string_view decoded);

// Rebuilds the percent-encoded query string from the decoded parameters that libwebsockets stores.
std::string encodedQuery(lws *connection);

// Returns the value of a header that libwebsockets stores under a token.
std::optional<std::string> tokenHeader(lws *connection, int token);

// Returns the value of a header without a token, by its lower-case name.
std::optional<std::string> namedHeader(lws *connection, std::string_view name);

// Starts a raw client connection, whose callbacks get the attached data. Returns false if that
// fails at once; the callbacks may have been told of it. libwebsockets' HTTP client is not used,
// because it does not tell whether the fields of a head are valid.
bool connectRaw(lws_context *context, lws_vhost *vhost, const Address &address,
                const char *protocolName, void *attached, lws **connection);

// Writes bytes to a raw connection. Returns false if it must be closed.
bool writeRaw(lws *connection, std::string_view bytes);

// Returns the numeric address of the client.
std::string clientIp(lws *connection);

// Bytes that must be reserved in front of every buffer passed to lws_write().
std::size_t writePadding();

// Writes a complete response. On HTTP/1.1 the head and the body go into a single lws_write() call.
// Returns false if the connection must be closed.
bool writeResponse(lws *connection, const HttpResponse &response, bool close);

} // namespace basildeck::lws_util
