#pragma once

#include "admin/ConfigEdit.h"
#include "basildeck/Result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace basildeck {

class StoreClient;

// The outcome of an edit.
struct EditResult
{
    Result<std::uint64_t> version = std::uint64_t{ 0 }; // of the configuration after the edit
    nlohmann::json changedMeanwhile; // for EditConflict: JSON patch of the other edits
    std::uint64_t currentVersion = 0;
};

// Applies edits to the configuration in the store: reads the document, applies and validates the
// edit, and writes the result on condition that the version is still the one that was read.
//
// If a write fails or its response is lost, the object is read back. If it contains the edit, the
// write has taken effect. If its version is unchanged, the conditional write is retried, which
// cannot take effect twice.
class EditRunner
{
public:
    using Callback = std::function<void(EditResult result)>;

    static constexpr int maxAttempts = 4;

    explicit EditRunner(StoreClient &store)
        : m_store(store)
    {}

    void run(ConfigEdit edit, Callback callback);
    // Reads the current version and document.
    void read(std::function<void(Result<std::pair<std::uint64_t, nlohmann::json>>)> callback);

private:
    struct PendingEdit;

    void start(const std::shared_ptr<PendingEdit> &pending);
    void write(const std::shared_ptr<PendingEdit> &pending);
    void readBack(const std::shared_ptr<PendingEdit> &pending);
    static void conflict(PendingEdit &pending, std::uint64_t currentVersion,
                         const nlohmann::json &current);

    StoreClient &m_store;
};

} // namespace basildeck
