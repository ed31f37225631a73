#include "edge/UnreadableEntryLog.h"

#include "core/Log.h"

#include <utility>

namespace basildeck {

UnreadableEntryLog::UnreadableEntryLog(std::string kind)
    : m_kind(std::move(kind))
{}

void UnreadableEntryLog::record(const std::vector<UnreadableEntry> &entries)
{
    for (const UnreadableEntry &entry : entries) {
        // An entry without a name is told apart by the reason.
        const std::string &key = entry.name.empty() ? entry.reason : entry.name;
        const auto logged = m_logged.find(key);
        if (logged != m_logged.end() && logged->second == entry.revision)
            continue;
        if (m_logged.size() >= maxEntries)
            m_logged.clear();
        m_logged[key] = entry.revision;
        BASILDECK_WARNING("replica")
                << "entry of the store cannot be read, the others hold kind=" << m_kind
                << " name=" << entry.name << " revision=" << entry.revision << " reason=\""
                << entry.reason << '"';
    }
}

} // namespace basildeck
