#include "basildeck/Command.h"
#include "cli/CommandLine.h"
#include "core/Hash.h"
#include "core/PercentEncoding.h"
#include "http/HttpClient.h"
#include "http/LwsLoop.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr milliseconds requestTimeout{ 5000 };
constexpr const char *actionHelp
        = "action to run: status | explain | config get | config put FILE | "
          "defaults put FILE | exception add NAME | exception remove NAME | "
          "organisation add NAME | organisation remove NAME | "
          "key grant ORGANISATION | key withdraw ORGANISATION";

std::optional<std::string> readFile(const std::string &name)
{
    std::ifstream stream(name);
    if (!stream)
        return std::nullopt;
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

// Sends one request and blocks until the response arrives or the request times out.
Result<HttpResponse> sendRequest(const Address &address, HttpRequest request)
{
    const auto loop = LwsLoop::make({});
    const auto client = HttpClient::make(*loop);
    std::optional<Result<HttpResponse>> result;
    loop->setOnTick([&] { client->expire(Clock::now()); });
    client->send(address, std::move(request), requestTimeout,
                 [&](Result<HttpResponse> response) { result.emplace(std::move(response)); });
    while (!result)
        loop->serviceOnce();
    return std::move(*result);
}

class AdminCommand final : public Command
{
public:
    std::string_view name() const override { return "admin"; }
    std::string_view summary() const override
    {
        return "show and edit the configuration of the fleet";
    }

    int run(const std::vector<std::string> &arguments) override;

private:
    // The command-line options of all actions.
    struct Options
    {
        std::vector<std::string> words;
        std::string scope;
        std::string of;
        std::string setting;
        double value = 0;
        std::string reason;
        long until = 0;
        std::uint64_t version = 0;
        std::string keyHash;
        std::string keyFile;
        std::string caller;
        std::string path;
        std::string method;
        std::string host;
    };

    static Result<HttpRequest> requestFor(const Options &options);
    static Result<HttpRequest> putFileRequest(const Options &options, const std::string &path);
    static Result<HttpRequest> exceptionRequest(const Options &options);
    static Result<HttpRequest> keyRequest(const Options &options);
    static HttpRequest explainRequest(const Options &options);
};

auto invalidArguments(const std::string &what)
{
    return failure(ErrorKind::InvalidSetting, what);
}

Result<HttpRequest> AdminCommand::putFileRequest(const Options &options, const std::string &path)
{
    if (options.words.size() != 3 || options.words[1] != "put")
        return invalidArguments("\"" + options.words[0] + "\" requires put FILE");
    const auto text = readFile(options.words[2]);
    if (!text)
        return invalidArguments("file \"" + options.words[2] + "\" cannot be read");
    HttpRequest request;
    request.method = "PUT";
    request.path = path;
    request.body = *text;
    return request;
}

Result<HttpRequest> AdminCommand::exceptionRequest(const Options &options)
{
    HttpRequest request;
    request.path = "/admin/v1/exceptions/" + percentEncode(options.words[2]);
    if (options.words[1] == "remove") {
        request.method = "DELETE";
        return request;
    }
    if (options.reason.empty())
        return invalidArguments("exception add requires --reason");
    json exception = { { "scope", options.scope },
                       { "of", options.of },
                       { "setting", options.setting },
                       { "value", options.value },
                       { "reason", options.reason } };
    if (options.until > 0)
        exception["untilUnixSeconds"] = options.until;
    request.method = "PUT";
    request.body = exception.dump();
    return request;
}

Result<HttpRequest> AdminCommand::keyRequest(const Options &options)
{
    HttpRequest request;
    request.path = "/admin/v1/keys/" + percentEncode(options.words[2]);
    if (options.words[1] == "grant") {
        request.method = "POST";
        return request;
    }
    std::string hash = options.keyHash;
    if (!options.keyFile.empty()) {
        const auto text = readFile(options.keyFile);
        if (!text)
            return invalidArguments("file \"" + options.keyFile + "\" cannot be read");
        hash = sha256Hex(text->substr(0, text->find('\n')));
    }
    if (hash.empty())
        return invalidArguments("key withdraw requires --key-file or --key-hash");
    request.method = "DELETE";
    request.path += "/" + hash;
    return request;
}

HttpRequest AdminCommand::explainRequest(const Options &options)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/admin/v1/explain";
    json body = { { "caller", options.caller },
                  { "method", options.method },
                  { "host", options.host },
                  { "path", options.path } };
    if (const auto key = options.keyFile.empty() ? std::nullopt : readFile(options.keyFile))
        body["key"] = key->substr(0, key->find('\n'));
    request.body = body.dump();
    return request;
}

Result<HttpRequest> AdminCommand::requestFor(const Options &options)
{
    const std::vector<std::string> &words = options.words;
    HttpRequest request;
    if (words.size() == 1 && words[0] == "status") {
        request.path = "/status";
        return request;
    }
    if (words.size() == 1 && words[0] == "explain")
        return explainRequest(options);
    if (words.size() == 2 && words[0] == "config" && words[1] == "get") {
        request.path = "/admin/v1/config";
        return request;
    }
    if (words[0] == "config")
        return putFileRequest(options, "/admin/v1/config");
    if (words[0] == "defaults")
        return putFileRequest(options, "/admin/v1/defaults");
    if (words.size() != 3)
        return invalidArguments("\"" + words[0] + "\" is not a complete action");
    const std::string action = words[0] + " " + words[1];
    if (action == "exception add" || action == "exception remove")
        return exceptionRequest(options);
    if (action == "key grant" || action == "key withdraw")
        return keyRequest(options);
    if (action == "organisation add" || action == "organisation remove") {
        request.method = words[1] == "add" ? "PUT" : "DELETE";
        request.path = "/admin/v1/organisations/" + percentEncode(words[2]);
        return request;
    }
    return invalidArguments("unknown action \"" + action + "\"");
}

int AdminCommand::run(const std::vector<std::string> &arguments)
{
    using Text = TCLAP::ValueArg<std::string>;
    TCLAP::CmdLine line("Calls the administration API of any entry VM.", ' ', BASILDECK_VERSION);
    Text address("", "operator", "operator address of an entry VM", true, "", "IP:PORT", line);
    Text token("", "token-file", "file with the operator token", false, "", "FILE", line);
    Text scope("", "scope", "organisation, service, route, region or target", false, "", "SCOPE",
               line);
    Text of("", "of", "name of the object that the exception applies to", false, "", "NAME", line);
    Text setting("", "setting", "setting that the exception overrides", false, "", "NAME", line);
    TCLAP::ValueArg<double> value("", "value", "value of the setting", false, 0, "NUMBER", line);
    Text reason("", "reason", "reason for the exception", false, "", "TEXT", line);
    TCLAP::ValueArg<long> until("", "until",
                                "end of the exception; without it, the exception does not expire",
                                false, 0, "UNIX-SECONDS", line);
    TCLAP::ValueArg<unsigned long> version("", "base-version",
                                           "configuration version that the edit is based on", false,
                                           0, "VERSION", line);
    Text keyHash("", "key-hash", "SHA-256 of the key to withdraw", false, "", "HEX", line);
    Text keyFile("", "key-file", "file with the key to withdraw, or of the request to explain",
                 false, "", "FILE", line);
    Text caller("", "caller", "address of the caller to explain a request of", false, "127.0.0.1",
                "IP", line);
    Text path("", "path", "path of the request to explain", false, "/", "PATH", line);
    Text method("", "method", "method of the request to explain", false, "GET", "METHOD", line);
    Text host("", "host", "host of the request to explain", false, "", "HOST", line);
    TCLAP::UnlabeledMultiArg<std::string> words("action", actionHelp, true, "ACTION", line);
    if (const auto status = parseArguments(line, "admin", arguments))
        return *status;

    const auto operatorAddress = Address::parse(address.getValue());
    if (!operatorAddress) {
        std::cerr << "basildeck admin: " << operatorAddress.error().detail << '\n';
        return exitInvalid;
    }
    const Options options{ words.getValue(),   scope.getValue(),   of.getValue(),
                           setting.getValue(), value.getValue(),   reason.getValue(),
                           until.getValue(),   version.getValue(), keyHash.getValue(),
                           keyFile.getValue(), caller.getValue(),  path.getValue(),
                           method.getValue(),  host.getValue() };
    auto request = requestFor(options);
    if (!request) {
        std::cerr << "basildeck admin: " << request.error().detail << '\n';
        return exitInvalid;
    }
    if (options.version != 0)
        request.value().query = "version=" + std::to_string(options.version);
    if (const auto text = token.getValue().empty() ? std::nullopt : readFile(token.getValue()))
        request.value().headers.push_back(
                { "authorization", "Bearer " + text->substr(0, text->find('\n')) });
    const auto response = sendRequest(operatorAddress.value(), std::move(request.value()));
    if (!response) {
        std::cerr << "basildeck admin: " << response.error().detail << '\n';
        return exitFailure;
    }
    const bool accepted = response.value().status < 300;
    (accepted ? std::cout : std::cerr) << response.value().body;
    return accepted ? exitSuccess : response.value().status == 422 ? exitInvalid : exitFailure;
}

const RegisterCommand<AdminCommand> registered;

} // namespace

} // namespace basildeck
