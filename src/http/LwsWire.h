#pragma once

#include "http/HttpMessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct lws;

// Small helpers over the C interface of libwebsockets that several users of it share.
namespace basildeck::wire {

// The HTTP method of a parsed server request; empty if the library does not know it.
std::string method(lws *connection);

// The path that the library hands over (decoded and normalised), encoded anew.
std::string encodedPath(lws *connection, std::string_view decoded);

// The query, encoded anew from the decoded fragments that the library keeps.
std::string encodedQuery(lws *connection);

// The value of a header that the library knows by token.
std::optional<std::string> tokenHeader(lws *connection, int token);

// The value of a header that is looked up by its lower-case name.
std::optional<std::string> namedHeader(lws *connection, std::string_view name);

// The numeric address of the other end.
std::string peerIp(lws *connection);

// Room in front of every buffer that is handed to the library for writing.
std::size_t writePadding();

// Writes a status line, headers and, when the connection speaks HTTP/1.1, the body in the same
// write. Returns false when the connection is to be closed.
bool writeAnswer(lws *connection, const HttpResponse &answer, bool close);

} // namespace basildeck::wire
