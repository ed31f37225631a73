#pragma once

#include "soak/SoakStore.h"

#include <map>
#include <string>

namespace basildeck::soak {

// The operator of the soak, who writes the configuration and evacuations to the store. Each version
// of the configuration adds a route, whose prefix is versionPrefix().
class SoakOperator
{
public:
    SoakOperator(EventLoop &loop, SoakStore &store)
        : m_loop(loop)
        , m_store(store)
    {}

    static std::string versionPrefix(int version);

    void updateConfig();
    void evacuate(const std::string &zone);
    void endEvacuation(const std::string &zone);
    // Writes what a store that was restored from a copy may have lost, removals included.
    void writeAgain();

    int version() const { return m_version; }
    // When the store acknowledged each version, after its last restore.
    const std::map<int, Time> &acknowledgements() const { return m_acknowledgements; }

private:
    void writeConfig();

    EventLoop &m_loop;
    SoakStore &m_store;
    int m_version = 0;
    std::map<int, Time> m_acknowledgements;
    std::map<std::string, bool> m_isEvacuated; // by zone, kept after the end of the evacuation
};

} // namespace basildeck::soak
