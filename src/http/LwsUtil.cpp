#include "http/LwsUtil.h"

#include "core/PercentEncoding.h"

#include <libwebsockets.h>

#include <array>
#include <cstring>

namespace basildeck::lws_util {

namespace {

struct MethodEntry
{
    lws_token_indexes token;
    const char *name;
};

constexpr std::array<MethodEntry, 7> methodTokens = { {
        { WSI_TOKEN_GET_URI, "GET" },
        { WSI_TOKEN_POST_URI, "POST" },
        { WSI_TOKEN_PUT_URI, "PUT" },
        { WSI_TOKEN_DELETE_URI, "DELETE" },
        { WSI_TOKEN_PATCH_URI, "PATCH" },
        { WSI_TOKEN_HEAD_URI, "HEAD" },
        { WSI_TOKEN_OPTIONS_URI, "OPTIONS" },
} };

// Upper bound for the status line, Content-Type, Content-Length and Connection of a response.
constexpr std::size_t fixedHeadBytes = 1024;

bool addHeader(lws *connection, std::string_view name, std::string_view value,
               unsigned char **cursor, unsigned char *end)
{
    const std::string nameWithColon = std::string(name) + ":";
    return lws_add_http_header_by_name(
                   connection, reinterpret_cast<const unsigned char *>(nameWithColon.c_str()),
                   reinterpret_cast<const unsigned char *>(value.data()),
                   static_cast<int>(value.size()), cursor, end)
           == 0;
}

std::size_t headCapacity(const HttpResponse &response)
{
    std::size_t bytes = fixedHeadBytes;
    for (const HttpHeader &header : response.headers)
        bytes += header.name.size() + header.value.size() + 8;
    return bytes;
}

bool isHttp2(lws *connection)
{
    return lws_get_network_wsi(connection) != connection;
}

} // namespace

std::string method(lws *connection)
{
    const auto http2 = tokenHeader(connection, WSI_TOKEN_HTTP_COLON_METHOD);
    if (http2)
        return *http2;
    for (const MethodEntry &entry : methodTokens) {
        if (lws_hdr_total_length(connection, entry.token) > 0)
            return entry.name;
    }
    return "";
}

std::string encodedPath(lws *connection, std::string_view decoded)
{
    static_cast<void>(connection);
    return percentEncode(decoded, "/!$&'()*,:@=");
}

std::string encodedQuery(lws *connection)
{
    std::string query;
    std::array<char, 4096> parameter{};
    for (int index = 0;; ++index) {
        const int length = lws_hdr_copy_fragment(connection, parameter.data(),
                                                 static_cast<int>(parameter.size()),
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length < 0)
            return query;
        const std::string_view text(parameter.data(), static_cast<std::size_t>(length));
        if (!query.empty())
            query += '&';
        const auto equals = text.find('=');
        query += percentEncode(text.substr(0, equals), "/:@");
        if (equals != std::string_view::npos)
            query += "=" + percentEncode(text.substr(equals + 1), "/:@");
    }
}

std::optional<std::string> tokenHeader(lws *connection, int token)
{
    const auto index = static_cast<lws_token_indexes>(token);
    const int length = lws_hdr_total_length(connection, index);
    if (length <= 0)
        return std::nullopt;
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_copy(connection, value.data(), length + 1, index);
    if (copied < 0)
        return std::nullopt;
    value.resize(static_cast<std::size_t>(copied));
    return value;
}

std::optional<std::string> namedHeader(lws *connection, std::string_view name)
{
    const std::string nameWithColon = std::string(name) + ":";
    const int nameLength = static_cast<int>(nameWithColon.size());
    const int length = lws_hdr_custom_length(connection, nameWithColon.c_str(), nameLength);
    if (length < 0)
        return std::nullopt;
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    const int copied = lws_hdr_custom_copy(connection, value.data(), length + 1,
                                           nameWithColon.c_str(), nameLength);
    if (copied < 0)
        return std::nullopt;
    value.resize(static_cast<std::size_t>(copied));
    return value;
}

bool connectRaw(lws_context *context, lws_vhost *vhost, const Address &address,
                const char *protocolName, void *attached, lws **connection)
{
    lws_client_connect_info info{};
    info.context = context;
    info.vhost = vhost;
    info.address = address.ip.c_str();
    info.port = address.port;
    info.path = "";
    info.host = info.address;
    info.method = "RAW";
    info.local_protocol_name = protocolName;
    info.opaque_user_data = attached;
    info.pwsi = connection;
    return lws_client_connect_via_info(&info) != nullptr;
}

bool writeRaw(lws *connection, std::string_view bytes)
{
    std::string buffer(LWS_PRE, '\0');
    buffer.append(bytes);
    return lws_write(connection, reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE,
                     bytes.size(), LWS_WRITE_RAW)
           >= 0;
}

std::string clientIp(lws *connection)
{
    std::array<char, 64> ip{};
    lws_get_peer_simple(lws_get_network_wsi(connection), ip.data(), ip.size());
    return ip.data();
}

std::size_t writePadding()
{
    return LWS_PRE;
}

bool writeResponse(lws *connection, const HttpResponse &response, bool close)
{
    const std::size_t capacity = headCapacity(response);
    std::string buffer(LWS_PRE + capacity + response.body.size() + LWS_PRE, '\0');
    auto *start = reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE;
    unsigned char *cursor = start;
    unsigned char *end = start + capacity;
    const bool bodyless = response.status == 204 || response.status == 304;
    if (lws_add_http_header_status(connection, static_cast<unsigned int>(response.status), &cursor,
                                   end)
        != 0)
        return false;
    bool added = true;
    if (!bodyless) {
        added = addHeader(connection, "content-type", response.contentType, &cursor, end)
                && lws_add_http_header_content_length(connection, response.body.size(), &cursor,
                                                      end)
                           == 0;
    }
    for (const HttpHeader &header : response.headers)
        added = added && addHeader(connection, header.name, header.value, &cursor, end);
    if (close && !isHttp2(connection))
        added = added && addHeader(connection, "connection", "close", &cursor, end);
    if (!added || lws_finalize_http_header(connection, &cursor, end) != 0)
        return false;
    const bool hasBody = !bodyless && !response.body.empty();
    if (!isHttp2(connection)) {
        std::memcpy(cursor, response.body.data(), hasBody ? response.body.size() : 0);
        const std::size_t length
                = static_cast<std::size_t>(cursor - start) + (hasBody ? response.body.size() : 0);
        return lws_write(connection, start, length, LWS_WRITE_HTTP_HEADERS) >= 0;
    }
    const auto headFlags = static_cast<lws_write_protocol>(
            LWS_WRITE_HTTP_HEADERS | (hasBody ? 0 : LWS_WRITE_H2_STREAM_END));
    if (lws_write(connection, start, static_cast<std::size_t>(cursor - start), headFlags) < 0)
        return false;
    if (!hasBody)
        return true;
    std::string body(LWS_PRE, '\0');
    body += response.body;
    return lws_write(connection, reinterpret_cast<unsigned char *>(body.data()) + LWS_PRE,
                     response.body.size(), LWS_WRITE_HTTP_FINAL)
           >= 0;
}

} // namespace basildeck::lws_util
