#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace basildeck {

// The newest configuration documents that a VM has seen, for sending patches instead of documents.
// Versions only go up.
class ConfigHistory
{
public:
    static constexpr std::size_t kept = 8;

    // Takes in a document. False if its version is not newer than the newest one.
    bool add(std::uint64_t version, std::shared_ptr<const std::string> text);

    std::uint64_t version() const;
    // The newest document; null if there is none.
    std::shared_ptr<const std::string> text() const;

    // The patch (RFC 6902) from a version to the newest one, if that version is still known and the
    // patch is smaller than the document.
    std::optional<std::string> patchFrom(std::uint64_t version) const;

    // Applies a patch to the newest document. Nothing if it does not fit.
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
