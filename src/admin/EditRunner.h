#pragma once

#include "admin/ConfigEdit.h"
#include "basildeck/Result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace basildeck {

class StoreClient;

// What an edit came to.
struct EditResult
{
    Result<std::uint64_t> version = std::uint64_t{ 0 }; // of the configuration with the edit
    nlohmann::json changedMeanwhile; // for EditConflict: what another edit changed, as a patch
    std::uint64_t currentVersion = 0;
};

// Runs edits against the store: read, apply and check, write with the version that was read.
//
// When the answer of the write is lost, the object is read back. If it holds the edit, the edit has
// taken effect; if its version is still the one that was read, the same conditional write is sent
// again, which cannot take effect twice.
class EditRunner
{
public:
    using Done = std::function<void(EditResult result)>;

    static constexpr int maxTries = 4;

    explicit EditRunner(StoreClient &store)
        : m_store(store)
    {}

    void run(ConfigEdit edit, Done done);
    // Reads the current document.
    void read(std::function<void(Result<std::pair<std::uint64_t, nlohmann::json>>)> done);

private:
    struct Job;

    void start(const std::shared_ptr<Job> &job);
    void write(const std::shared_ptr<Job> &job);
    void readBack(const std::shared_ptr<Job> &job);
    static void conflict(Job &job, std::uint64_t currentVersion, const nlohmann::json &current);

    StoreClient &m_store;
};

} // namespace basildeck
