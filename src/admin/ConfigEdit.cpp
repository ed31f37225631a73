#include "admin/ConfigEdit.h"

#include "config/FleetConfig.h"
#include "core/Hash.h"
#include "http/HttpMessages.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <optional>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr std::size_t keyLength = 24;
constexpr std::string_view pathPrefix = "/admin/v1/";

// Returns the segments of a path after the prefix of the API.
std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> segments;
    std::string_view remaining = std::string_view(path).substr(pathPrefix.size());
    while (!remaining.empty()) {
        const auto slash = remaining.find('/');
        segments.emplace_back(remaining.substr(0, slash));
        remaining = slash == std::string_view::npos ? std::string_view()
                                                    : remaining.substr(slash + 1);
    }
    return segments;
}

std::string generateKey()
{
    std::array<unsigned char, keyLength> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    static constexpr std::string_view alphabet
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::string key = "bd_";
    for (const unsigned char byte : bytes)
        key += alphabet[byte & 63];
    return key;
}

json *findNamed(json &document, const char *arrayName, const std::string &name)
{
    if (!document.contains(arrayName))
        document[arrayName] = json::array();
    json &items = document[arrayName];
    const auto found = std::find_if(items.begin(), items.end(), [&](const json &item) {
        return item.value("name", "") == name;
    });
    return found == items.end() ? nullptr : &*found;
}

bool removeNamed(json &document, const char *arrayName, const std::string &name)
{
    if (findNamed(document, arrayName, name) == nullptr)
        return false;
    json &items = document[arrayName];
    items.erase(std::find_if(items.begin(), items.end(),
                             [&](const json &item) { return item.value("name", "") == name; }));
    return true;
}

Result<json *> findOrganisation(json &document, const std::string &name)
{
    json *organisation = findNamed(document, "organisations", name);
    if (organisation == nullptr)
        return failure(ErrorKind::NotFound, "organisation \"" + name + "\" does not exist");
    if (!organisation->contains("keyHashes"))
        (*organisation)["keyHashes"] = json::array();
    return organisation;
}

Result<void> applyKeyEdit(const ConfigEdit &edit, json &document)
{
    BOOST_OUTCOME_TRY(organisation, findOrganisation(document, edit.name));
    json &hashes = (*organisation)["keyHashes"];
    if (edit.kind == ConfigEdit::Kind::GrantKey) {
        hashes.push_back(edit.keyHash);
        return success();
    }
    const auto found = std::find(hashes.begin(), hashes.end(), json(edit.keyHash));
    if (found == hashes.end())
        return failure(ErrorKind::NotFound,
                       "organisation \"" + edit.name + "\" has no key with this hash");
    hashes.erase(found);
    return success();
}

Result<void> applyEdit(const ConfigEdit &edit, json &document)
{
    const auto notFound = [&](const char *objectType) {
        return failure(ErrorKind::NotFound,
                       std::string(objectType) + " \"" + edit.name + "\" does not exist");
    };
    switch (edit.kind) {
    case ConfigEdit::Kind::ReplaceAll:
        document = edit.value;
        return success();
    case ConfigEdit::Kind::ReplaceDefaults:
        document["defaults"] = edit.value;
        return success();
    case ConfigEdit::Kind::PutException:
        removeNamed(document, "exceptions", edit.name);
        document["exceptions"].push_back(edit.value);
        return success();
    case ConfigEdit::Kind::RemoveException:
        if (!removeNamed(document, "exceptions", edit.name))
            return notFound("exception");
        return success();
    case ConfigEdit::Kind::AddOrganisation:
        if (findNamed(document, "organisations", edit.name) != nullptr)
            return failure(ErrorKind::InvalidObject,
                           "organisation \"" + edit.name + "\" already exists");
        document["organisations"].push_back(
                { { "name", edit.name }, { "keyHashes", json::array() } });
        return success();
    case ConfigEdit::Kind::RemoveOrganisation:
        if (!removeNamed(document, "organisations", edit.name))
            return notFound("organisation");
        return success();
    case ConfigEdit::Kind::GrantKey:
    case ConfigEdit::Kind::WithdrawKey:
        return applyKeyEdit(edit, document);
    }
    return success();
}

std::optional<ConfigEdit::Kind> editKind(const std::string &method, const std::string &resource)
{
    const bool put = method == "PUT";
    const bool remove = method == "DELETE";
    if (resource == "config" && put)
        return ConfigEdit::Kind::ReplaceAll;
    if (resource == "defaults" && put)
        return ConfigEdit::Kind::ReplaceDefaults;
    if (resource == "exceptions" && put)
        return ConfigEdit::Kind::PutException;
    if (resource == "exceptions" && remove)
        return ConfigEdit::Kind::RemoveException;
    if (resource == "organisations" && put)
        return ConfigEdit::Kind::AddOrganisation;
    if (resource == "organisations" && remove)
        return ConfigEdit::Kind::RemoveOrganisation;
    if (resource == "keys" && method == "POST")
        return ConfigEdit::Kind::GrantKey;
    if (resource == "keys" && remove)
        return ConfigEdit::Kind::WithdrawKey;
    return std::nullopt;
}

} // namespace

Result<ConfigEdit> parseConfigEdit(const HttpRequest &request)
{
    const auto pathSegments = splitPath(request.path);
    const auto kind
            = pathSegments.empty() ? std::nullopt : editKind(request.method, pathSegments[0]);
    if (!kind)
        return failure(ErrorKind::NotFound,
                       request.method + " " + request.path + " is not an operation of this API");
    ConfigEdit edit;
    edit.kind = *kind;
    edit.name = pathSegments.size() > 1 ? pathSegments[1] : "";
    edit.keyHash = pathSegments.size() > 2 ? pathSegments[2] : "";
    edit.baseVersion = std::strtoull(request.queryParameter("version").c_str(), nullptr, 10);
    const bool needsName = pathSegments[0] != "config" && pathSegments[0] != "defaults";
    if (needsName && edit.name.empty())
        return failure(ErrorKind::NotFound, "the path does not contain a name");
    if (edit.kind == ConfigEdit::Kind::GrantKey) {
        edit.newKey = generateKey();
        edit.keyHash = sha256Hex(edit.newKey);
    }
    if (request.body.empty())
        return edit;
    edit.value = json::parse(request.body, nullptr, false);
    if (edit.value.is_discarded())
        return failure(ErrorKind::InvalidObject, "the request body is not valid JSON");
    if (edit.kind == ConfigEdit::Kind::PutException && edit.value.is_object())
        edit.value["name"] = edit.name;
    return edit;
}

Result<json> applyConfigEdit(const ConfigEdit &edit, const json &document,
                             std::int64_t nowUnixSeconds)
{
    json changed = document.is_object() ? document : json::object();
    BOOST_OUTCOME_TRYV(applyEdit(edit, changed));
    BOOST_OUTCOME_TRYV(FleetConfig::parse(changed, nowUnixSeconds));
    return changed;
}

} // namespace basildeck
