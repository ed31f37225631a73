#pragma once

#include "admin/ConfigEdit.h"
#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "core/StoreVersion.h"
#include "store/StoredConfig.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace basildeck {

class StoreClient;

// The outcome of an edit.
struct EditResult
{
    Result<StoreVersion> version = StoreVersion{}; // of the configuration after the edit
    nlohmann::json changedMeanwhile; // for EditConflict: JSON patch of the other edits
    StoreVersion currentVersion;
    nlohmann::json document; // after the edit
};

// Applies edits to the configuration in the store: reads the document, applies and validates the
// edit, and writes the result on condition that the version is still the one that was read.
//
// If a write fails or its response is lost, the object is read back. If it contains the edit, the
// write has taken effect. If its version is unchanged, the conditional write is retried, which
// cannot take effect twice.
//
// After a restore of the store an edit waits until the store holds the configuration in force
// again, so that it is not based on an older document. An edit whose write the restore may have
// undone starts again.
class EditRunner
{
public:
    using Callback = std::function<void(EditResult result)>;

    static constexpr int maxAttempts = 4;
    // Longest time that an edit waits for the configuration in force to be in the store.
    static constexpr Duration confirmationTimeout = seconds(8);
    static constexpr Duration confirmationPollInterval = milliseconds(200);

    explicit EditRunner(StoreClient &store)
        : m_store(store)
    {}

    void run(ConfigEdit edit, Callback callback);
    // Reads the current version and document.
    void read(std::function<void(Result<StoredConfig>)> callback);
    // Sets the version of the configuration that is in force at this VM.
    void setActiveVersion(const StoreVersion &version) { m_activeVersion = version; }
    // Continues the edits that wait. Call it at each tick.
    void tick(Time now);

private:
    struct PendingEdit;

    void start(const std::shared_ptr<PendingEdit> &pending);
    void applyTo(const std::shared_ptr<PendingEdit> &pending, StoredConfig current);
    void waitForConfirmation(const std::shared_ptr<PendingEdit> &pending);
    void write(const std::shared_ptr<PendingEdit> &pending);
    void readBack(const std::shared_ptr<PendingEdit> &pending);
    void restart(const std::shared_ptr<PendingEdit> &pending);
    static void conflict(PendingEdit &pending, const StoredConfig &current);

    struct WaitingEdit
    {
        std::shared_ptr<PendingEdit> edit;
        Time retryAt;
    };

    StoreClient &m_store;
    StoreVersion m_activeVersion;
    std::vector<WaitingEdit> m_waiting;
};

} // namespace basildeck
