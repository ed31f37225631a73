#pragma once

#include "store/ObjectProtocol.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basildeck {

// Logs the entries of a kind that cannot be read, each revision once.
class UnreadableEntryLog
{
public:
    // Entries that are remembered.
    static constexpr std::size_t maxEntries = 1000;

    explicit UnreadableEntryLog(std::string kind);

    void record(const std::vector<UnreadableEntry> &entries);

private:
    std::string m_kind;
    std::map<std::string, std::uint64_t> m_logged; // revision by name
};

} // namespace basildeck
