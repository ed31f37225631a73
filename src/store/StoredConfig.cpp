#include "store/StoredConfig.h"

#include "store/StoreClient.h"

namespace basildeck {

using nlohmann::json;

namespace {

constexpr const char *eraMember = "storeEra";

} // namespace

StoredConfig decodeConfig(const StoredValue &object)
{
    StoredConfig config;
    config.version.revision = object.version;
    config.era = object.era;
    config.document = json::parse(object.value, nullptr, false);
    if (!config.document.is_object())
        config.document = json::object();
    const auto era = config.document.find(eraMember);
    if (era != config.document.end()) {
        config.version.era = era->is_number_unsigned() ? era->get<std::uint64_t>() : 0;
        config.document.erase(era);
    }
    return config;
}

std::string encodeConfig(json document, std::uint64_t era)
{
    document[eraMember] = era;
    return document.dump();
}

} // namespace basildeck
