#pragma once

#include "basildeck/Time.h"
#include "edge/FleetObjects.h"
#include "store/ObjectProtocol.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Decides which objects of a kind are in force while the store has older states than before.
//
// After the store has returned from an older copy, what was written since the copy was made, and so
// was lost, is written again by its authors. A single write whose response was lost may also take
// effect seconds late, after newer ones of its author. Until the author has written again, or until
// a settling time is over, the states that were known before stay in force, so that nothing that
// had taken effect is undone in between. At all other times the objects in force are those of the
// store.
class RestoredObjectFilter
{
public:
    struct SettlingTimes
    {
        Duration missing; // of objects that the copy lacks
        Duration older;   // of objects that are older in the copy, or had been deleted; if zero,
                          // all objects of the copy are in force at once
    };

    struct Callbacks
    {
        std::function<void(const StoredObject &)> onStored;
        std::function<void(const std::string &name)> onDeleted;
    };

    // How long deleted objects are remembered. A copy is some seconds old.
    static constexpr Duration deletionMemory = seconds(60);
    static constexpr std::size_t maxRememberedDeletions = 4096;

    // Without an order, an object whose revision is not higher than the known one is older.
    RestoredObjectFilter(std::string kind, SettlingTimes times, ObjectOrder order,
                         Callbacks callbacks);

    // An object was stored or deleted.
    void stored(const StoredObject &object, Time now);
    void deleted(const std::string &name, Time now);
    // The store has returned from a copy with the given objects, by name.
    void restored(const std::map<std::string, StoredObject> &objects, Time now);
    // Brings the store's state into force where the settling time is over. Returns whether there
    // was such a state.
    bool tick(Time now);
    // The store takes no writes at the moment, so the settling times start again.
    void postpone(Time now);

    // The objects in force, by name.
    const std::map<std::string, StoredObject> &objects() const { return m_objects; }
    // The objects that had been deleted and that the store has again because of the copy, if they
    // were not written again for a time.
    std::vector<StoredObject> broughtBackByCopy(Time now, Duration unwrittenFor) const;

private:
    struct Deletion
    {
        StoredObject object;
        Time at;
    };
    // A state of the store that is not in force yet.
    struct HeldState
    {
        std::optional<StoredObject> object; // nothing if the store does not have the object
        Time until;
    };

    // Whether the order of the platform tells that an object is older than the last known state.
    std::optional<bool> isOlderByOrder(const StoredObject &object) const;
    // Whether an object was written before the last known state, though it was stored after it.
    bool isLateWrite(const StoredObject &object) const;
    bool isFromCopy(const StoredObject &object) const;
    const StoredObject *lastKnown(const std::string &name) const;
    void accept(const StoredObject &object);
    void remove(const std::string &name, Time now);

    std::string m_kind;
    SettlingTimes m_times;
    ObjectOrder m_order;
    Callbacks m_callbacks;
    std::map<std::string, StoredObject> m_objects;
    std::map<std::string, Deletion> m_deletions; // recent ones, by name
    std::map<std::string, HeldState> m_held;     // by name
    std::optional<Time> m_settlesAt;             // set while states may be held
};

} // namespace basildeck
