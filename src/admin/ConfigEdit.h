#pragma once

#include "basildeck/Result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace basildeck {

struct HttpRequest;

// One edit of the configuration document, as an operator asks for it.
struct ConfigEdit
{
    enum class Kind {
        ReplaceAll,
        ReplaceDefaults,
        PutException,
        RemoveException,
        AddOrganisation,
        RemoveOrganisation,
        GrantKey,
        WithdrawKey,
    };

    Kind kind = Kind::ReplaceAll;
    std::string name;              // of the exception or the organisation
    std::string keyHash;           // of the key that is granted or withdrawn
    nlohmann::json value;          // the new document, defaults or exception
    std::uint64_t baseVersion = 0; // 0: whatever is current
    std::string newKey;            // of a grant, shown to the operator once
};

// Reads an edit from a request to the administration API. The errors are NotFound and
// InvalidObject.
Result<ConfigEdit> readConfigEdit(const HttpRequest &request);

// The document after an edit, checked as a whole. The errors are NotFound and InvalidObject.
Result<nlohmann::json> applyConfigEdit(const ConfigEdit &edit, const nlohmann::json &document,
                                       std::int64_t nowUnixSeconds);

} // namespace basildeck
