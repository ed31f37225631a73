#pragma once

#include "core/StoreVersion.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace basildeck {

// The most recent configuration documents that a VM has received. VMs send patches against them
// instead of whole documents. Versions only increase.
class ConfigHistory
{
public:
    static constexpr std::size_t maxEntries = 8;

    // Appends a document and evicts the oldest one beyond maxEntries. Returns false, without
    // effect, if the version is not newer than the latest one.
    bool add(const StoreVersion &version, std::shared_ptr<const std::string> text);

    // The latest version; none if there is no document.
    StoreVersion version() const;
    // The latest document; null if there is none.
    std::shared_ptr<const std::string> text() const;

    // Returns the JSON patch (RFC 6902) from a version to the latest one, if the history still
    // holds that version and the patch is smaller than the latest document.
    std::optional<std::string> patchFrom(const StoreVersion &version) const;

    // Returns the latest document with a JSON patch applied, or nothing if the patch does not
    // apply.
    std::optional<std::string> applyPatch(const std::string &patch) const;

private:
    struct Entry
    {
        StoreVersion version;
        std::shared_ptr<const std::string> text;
    };
    std::deque<Entry> m_entries; // oldest first
};

} // namespace basildeck
