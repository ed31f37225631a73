#include "edge/ForwardedRequest.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <set>

namespace basildeck {

namespace {

// Hop-by-hop fields (RFC 9110, section 7.6.1), and fields that this VM sets itself.
constexpr std::array<std::string_view, 11> connectionFields
        = { "connection", "keep-alive",       "proxy-authenticate", "proxy-authorization",
            "te",         "trailer",          "transfer-encoding",  "upgrade",
            "expect",     "proxy-connection", "content-length" };

bool isConnectionField(std::string_view name)
{
    return std::any_of(connectionFields.begin(), connectionFields.end(),
                       [&](std::string_view field) { return equalsIgnoreCase(field, name); });
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

// Returns the names of the fields that the Connection field lists as hop-by-hop, in lower case.
std::set<std::string> connectionOptions(const HeaderFields &fields)
{
    std::set<std::string> options;
    const std::string *connection = fields.find("connection");
    std::string_view rest = connection == nullptr ? std::string_view() : *connection;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find(','), rest.size());
        std::string_view word = rest.substr(0, end);
        while (!word.empty() && word.front() == ' ')
            word.remove_prefix(1);
        while (!word.empty() && word.back() == ' ')
            word.remove_suffix(1);
        options.insert(lowerCase(word));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return options;
}

void addField(std::string &text, std::string_view name, std::string_view value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

void addEndToEndFields(std::string &text, const HeaderFields &fields,
                       const std::vector<std::string_view> &without)
{
    const std::set<std::string> options = connectionOptions(fields);
    for (const HeaderFields::Field &field : fields.all()) {
        const std::string &name = field.first;
        const bool isLeftOut = std::any_of(without.begin(), without.end(), [&](std::string_view o) {
            return equalsIgnoreCase(o, name);
        });
        if (!isLeftOut && !isConnectionField(name) && !isForwardingField(name)
            && !options.contains(lowerCase(name)))
            addField(text, name, field.second);
    }
}

const char *reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string statusLine(int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
}

} // namespace

std::string serializeTargetHead(const ForwardedRequest &request, const WireNames &names, Time now)
{
    const MessageHead &head = request.incoming.head;
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now).count();
    std::string text = head.request.method + " " + head.request.target + " HTTP/1.1\r\n";
    addEndToEndFields(text, head.fields,
                      { names.timeoutMs, names.apiKey, names.organisation, names.expectedTarget });
    addField(text, names.timeoutMs, std::to_string(std::max<std::int64_t>(1, left)));
    addField(text, names.expectedTarget, request.targetId);
    if (request.organisation != nullptr)
        addField(text, names.organisation, request.organisation->name);
    if (head.contentLength || head.chunked)
        addField(text, "Content-Length", std::to_string(request.incoming.body.size()));
    text += "\r\n";
    return text;
}

std::string serializePeerHead(const ForwardedRequest &request, const WireNames &names,
                              const ForwardingTerms &terms)
{
    const MessageHead &head = request.incoming.head;
    std::string text = head.request.method + " " + head.request.target + " HTTP/1.1\r\n";
    addEndToEndFields(text, head.fields,
                      { names.timeoutMs, names.apiKey, names.organisation, names.expectedTarget });
    text += serializeForwardingTerms(terms);
    if (head.contentLength || head.chunked)
        addField(text, "Content-Length", std::to_string(request.incoming.body.size()));
    text += "\r\n";
    return text;
}

std::string serializeResponseHead(const ForwardedRequest &request, const WireNames &names,
                                  std::optional<std::size_t> bodySize)
{
    const MessageHead &head = request.response.head;
    std::string text = statusLine(head.status);
    const bool isForPeer = !request.takenFor.empty();
    addEndToEndFields(
            text, head.fields,
            isForPeer ? std::vector<std::string_view>()
                      : std::vector<std::string_view>{ names.serverLeaving, names.serverLimit });
    if (isForPeer)
        text += serializeForwardingOutcome({ request.attemptCount, request.triedTargets });
    const bool bodiless = head.status == 204 || head.status == 304;
    if (bodiless)
        return text;
    if (request.incoming.head.request.method == "HEAD") {
        if (head.contentLength)
            addField(text, "Content-Length", std::to_string(*head.contentLength));
        return text;
    }
    if (bodySize)
        addField(text, "Content-Length", std::to_string(*bodySize));
    else if (request.incoming.head.isHttp10)
        addField(text, "Connection", "close");
    else
        addField(text, "Transfer-Encoding", "chunked");
    return text;
}

LocalReply makeRefusal(ErrorKind kind, int status, const std::string &requestIdName,
                       const std::string &requestId, Duration retryAfter)
{
    const ErrorResponse &properties = errorResponse(kind);
    LocalReply reply;
    reply.body = "{\"refusal\":\"" + std::string(properties.name) + "\"}\n";
    reply.head = statusLine(status);
    if (!requestId.empty())
        addField(reply.head, requestIdName, requestId);
    addField(reply.head, "Basildeck-Refusal", properties.name);
    addField(reply.head, "Basildeck-Run", runStateName(properties.run));
    if (retryAfter > Duration::zero()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.2f", toSeconds(retryAfter));
        addField(reply.head, "Retry-After", text.data());
    }
    addField(reply.head, "Content-Type", "application/json");
    addField(reply.head, "Content-Length", std::to_string(reply.body.size()));
    return reply;
}

} // namespace basildeck
