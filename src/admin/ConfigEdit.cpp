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

constexpr std::size_t keyBytes = 24;
constexpr std::string_view prefix = "/admin/v1/";

// Splits a path behind the prefix of the API.
std::vector<std::string> segments(const std::string &path)
{
    std::vector<std::string> list;
    std::string_view rest = std::string_view(path).substr(prefix.size());
    while (!rest.empty()) {
        const auto slash = rest.find('/');
        list.emplace_back(rest.substr(0, slash));
        rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
    }
    return list;
}

std::string randomKey()
{
    std::array<unsigned char, keyBytes> bytes{};
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    static constexpr std::string_view digits
            = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::string key = "bd_";
    for (const unsigned char byte : bytes)
        key += digits[byte & 63];
    return key;
}

json *findNamed(json &document, const char *list, const std::string &name)
{
    if (!document.contains(list))
        document[list] = json::array();
    json &items = document[list];
    const auto found = std::find_if(items.begin(), items.end(), [&](const json &item) {
        return item.value("name", "") == name;
    });
    return found == items.end() ? nullptr : &*found;
}

bool removeNamed(json &document, const char *list, const std::string &name)
{
    if (findNamed(document, list, name) == nullptr)
        return false;
    json &items = document[list];
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

Result<void> changeKeys(const ConfigEdit &edit, json &document)
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

Result<void> change(const ConfigEdit &edit, json &document)
{
    const auto notFound = [&](const char *what) {
        return failure(ErrorKind::NotFound,
                       std::string(what) + " \"" + edit.name + "\" does not exist");
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
                           "organisation \"" + edit.name + "\" exists already");
        document["organisations"].push_back(
                { { "name", edit.name }, { "keyHashes", json::array() } });
        return success();
    case ConfigEdit::Kind::RemoveOrganisation:
        if (!removeNamed(document, "organisations", edit.name))
            return notFound("organisation");
        return success();
    case ConfigEdit::Kind::GrantKey:
    case ConfigEdit::Kind::WithdrawKey:
        return changeKeys(edit, document);
    }
    return success();
}

std::optional<ConfigEdit::Kind> kindOf(const std::string &method, const std::string &what)
{
    const bool put = method == "PUT";
    const bool remove = method == "DELETE";
    if (what == "config" && put)
        return ConfigEdit::Kind::ReplaceAll;
    if (what == "defaults" && put)
        return ConfigEdit::Kind::ReplaceDefaults;
    if (what == "exceptions" && put)
        return ConfigEdit::Kind::PutException;
    if (what == "exceptions" && remove)
        return ConfigEdit::Kind::RemoveException;
    if (what == "organisations" && put)
        return ConfigEdit::Kind::AddOrganisation;
    if (what == "organisations" && remove)
        return ConfigEdit::Kind::RemoveOrganisation;
    if (what == "keys" && method == "POST")
        return ConfigEdit::Kind::GrantKey;
    if (what == "keys" && remove)
        return ConfigEdit::Kind::WithdrawKey;
    return std::nullopt;
}

} // namespace

Result<ConfigEdit> readConfigEdit(const HttpRequest &request)
{
    const auto path = segments(request.path);
    const auto kind = path.empty() ? std::nullopt : kindOf(request.method, path[0]);
    if (!kind)
        return failure(ErrorKind::NotFound,
                       request.method + " " + request.path + " is not a call of this API");
    ConfigEdit edit;
    edit.kind = *kind;
    edit.name = path.size() > 1 ? path[1] : "";
    edit.keyHash = path.size() > 2 ? path[2] : "";
    edit.baseVersion = std::strtoull(request.queryParameter("version").c_str(), nullptr, 10);
    const bool named = path[0] != "config" && path[0] != "defaults";
    if (named && edit.name.empty())
        return failure(ErrorKind::NotFound, "the path names no object");
    if (edit.kind == ConfigEdit::Kind::GrantKey) {
        edit.newKey = randomKey();
        edit.keyHash = sha256Hex(edit.newKey);
    }
    if (request.body.empty())
        return edit;
    edit.value = json::parse(request.body, nullptr, false);
    if (edit.value.is_discarded())
        return failure(ErrorKind::InvalidObject, "the body is not JSON");
    if (edit.kind == ConfigEdit::Kind::PutException && edit.value.is_object())
        edit.value["name"] = edit.name;
    return edit;
}

Result<json> applyConfigEdit(const ConfigEdit &edit, const json &document,
                             std::int64_t nowUnixSeconds)
{
    json changed = document.is_object() ? document : json::object();
    BOOST_OUTCOME_TRYV(change(edit, changed));
    BOOST_OUTCOME_TRYV(FleetConfig::parse(changed, nowUnixSeconds));
    return changed;
}

} // namespace basildeck
