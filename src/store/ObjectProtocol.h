#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace basildeck {

// One object of the store.
struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0;
    nlohmann::json content;
};

// An object of the store that cannot be read, in whole or in its content.
struct UnreadableEntry
{
    std::string name; // empty if that cannot be read either
    std::uint64_t revision = 0;
    std::string reason;
};

// One page of the list of objects of a kind.
struct ObjectPage
{
    std::vector<StoredObject> objects; // content that cannot be read is null
    std::vector<UnreadableEntry> unreadable;
    bool hasMore = false;
    // The next page starts after this name: the last one that can be read, in bytes that need not
    // be valid UTF-8. Empty if there is none, or no next page.
    std::string continuation;
    std::uint64_t storeRevision = 0;
};

struct ObjectChange
{
    StoredObject object;
    bool deleted = false;
};

// The result of a watch call.
struct ObjectChanges
{
    std::vector<ObjectChange> changes; // content that cannot be read is null
    std::vector<UnreadableEntry> unreadable;
    std::uint64_t storeRevision = 0; // where the next watch continues
};

// The paths and bodies of a store's HTTP API. Each platform provides its own. Names of objects may
// hold any bytes.
struct ObjectProtocol
{
    std::string eraHeader; // in all responses; its number rises when the store returns from a copy
    std::function<std::string(const std::string &kind, const std::string &after)> listPath;
    std::function<std::string(const std::string &kind, std::uint64_t revision, milliseconds wait)>
            watchPath;
    std::function<std::string(const std::string &kind, const std::string &name)> objectPath;
    std::function<std::string(const std::string &name, const nlohmann::json &content)> createBody;
    std::function<Result<ObjectPage>(const std::string &body)> parsePage;
    std::function<Result<ObjectChanges>(const std::string &body)> parseChanges;
};

} // namespace basildeck
