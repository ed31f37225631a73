#pragma once

#include <cstdint>
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
    bool add(std::uint64_t version, std::shared_ptr<const std::string> text);

    // The latest version; 0 if there is no document.
    std::uint64_t version() const;
    // The latest document; null if there is none.
    std::shared_ptr<const std::string> text() const;

    // Returns the JSON patch (RFC 6902) from a version to the latest one, if the history still
    // holds that version and the patch is smaller than the latest document.
    std::optional<std::string> patchFrom(std::uint64_t version) const;

    // Returns the latest document with a JSON patch applied, or nothing if the patch does not
    // apply.
    std::optional<std::string> applyPatch(const std::string &patch) const;

private:
    struct Entry
    {
        std::uint64_t version;
        std::shared_ptr<const std::string> text;
    };
    std::deque<Entry> m_entries; // oldest first
};

} // namespace basildeck
