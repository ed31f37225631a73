#include "peer/ConfigHistory.h"

#include <nlohmann/json.hpp>

namespace basildeck {

bool ConfigHistory::add(const StoreVersion &version, std::shared_ptr<const std::string> text)
{
    if (version <= this->version())
        return false;
    m_entries.push_back({ version, std::move(text) });
    if (m_entries.size() > maxEntries)
        m_entries.pop_front();
    return true;
}

StoreVersion ConfigHistory::version() const
{
    return m_entries.empty() ? StoreVersion{} : m_entries.back().version;
}

std::shared_ptr<const std::string> ConfigHistory::text() const
{
    return m_entries.empty() ? nullptr : m_entries.back().text;
}

std::optional<std::string> ConfigHistory::patchFrom(const StoreVersion &version) const
{
    for (const Entry &entry : m_entries) {
        if (entry.version != version)
            continue;
        const auto from = nlohmann::json::parse(*entry.text, nullptr, false);
        const auto to = nlohmann::json::parse(*text(), nullptr, false);
        std::string patch = nlohmann::json::diff(from, to).dump();
        if (patch.size() < text()->size())
            return patch;
    }
    return std::nullopt;
}

std::optional<std::string> ConfigHistory::applyPatch(const std::string &patch) const
{
    if (!text())
        return std::nullopt;
    try {
        const auto document = nlohmann::json::parse(*text());
        return document.patch(nlohmann::json::parse(patch)).dump();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace basildeck
