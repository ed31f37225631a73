#include "admin/EditRunner.h"

#include "store/StoreClient.h"

#include <chrono>
#include <utility>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr const char *fleetKind = "fleet";
constexpr const char *configName = "config";

std::int64_t unixTimeSeconds()
{
    return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

} // namespace

// The state of an edit, shared by the callbacks of its store calls.
struct EditRunner::PendingEdit
{
    ConfigEdit edit;
    Callback callback;
    Time deadline; // of waiting for the configuration in force
    StoredConfig base;
    json newDocument; // null before the first write
    int attempts = 0;
};

void EditRunner::read(std::function<void(Result<StoredConfig>)> callback)
{
    m_store.read(fleetKind, configName,
                 [callback = std::move(callback)](Result<StoredValue> value) {
                     if (!value)
                         return callback(boost::outcome_v2::failure(value.error()));
                     callback(decodeConfig(value.value()));
                 });
}

void EditRunner::run(ConfigEdit edit, Callback callback)
{
    auto pending = std::make_shared<PendingEdit>();
    pending->edit = std::move(edit);
    pending->callback = std::move(callback);
    pending->deadline = Clock::now() + confirmationTimeout;
    start(pending);
}

void EditRunner::start(const std::shared_ptr<PendingEdit> &pending)
{
    read([this, pending](Result<StoredConfig> current) {
        if (!current && pending->attempts == 0)
            return pending->callback({ boost::outcome_v2::failure(current.error()), {}, {}, {} });
        if (!current)
            return pending->callback(
                    { failure(ErrorKind::StoreAnswerLost,
                              "it is not known whether the store applied the edit"),
                      {},
                      {},
                      {} });
        if (current.value().version < m_activeVersion || !current.value().isConfirmed())
            return waitForConfirmation(pending);
        applyTo(pending, std::move(current.value()));
    });
}

void EditRunner::applyTo(const std::shared_ptr<PendingEdit> &pending, StoredConfig current)
{
    pending->base = std::move(current);
    const StoreVersion &version = pending->base.version;
    if (pending->attempts > 0 && pending->base.document == pending->newDocument)
        return pending->callback({ version, {}, version, pending->newDocument });
    if (pending->edit.baseVersion != 0 && pending->edit.baseVersion != version.revision)
        return pending->callback(
                { failure(ErrorKind::EditConflict, "the current version of the configuration is "
                                                           + std::to_string(version.revision)),
                  {},
                  version,
                  {} });
    auto edited = applyConfigEdit(pending->edit, pending->base.document, unixTimeSeconds());
    if (!edited)
        return pending->callback({ boost::outcome_v2::failure(edited.error()), {}, version, {} });
    pending->newDocument = std::move(edited.value());
    write(pending);
}

void EditRunner::waitForConfirmation(const std::shared_ptr<PendingEdit> &pending)
{
    const Time now = Clock::now();
    if (now < pending->deadline) {
        m_waiting.push_back({ pending, now + confirmationPollInterval });
        return;
    }
    const bool maybeWritten = pending->attempts > 0;
    pending->callback(
            { failure(maybeWritten ? ErrorKind::StoreAnswerLost : ErrorKind::StoreUnavailable,
                      "the store came back from a copy and does not hold the "
                      "configuration in force yet"),
              {},
              m_activeVersion,
              {} });
}

void EditRunner::tick(Time now)
{
    std::vector<WaitingEdit> waiting = std::exchange(m_waiting, {});
    for (WaitingEdit &entry : waiting) {
        if (entry.retryAt <= now)
            start(entry.edit);
        else
            m_waiting.push_back(std::move(entry));
    }
}

void EditRunner::write(const std::shared_ptr<PendingEdit> &pending)
{
    ++pending->attempts;
    const std::uint64_t era = pending->base.era;
    m_store.write(fleetKind, configName, pending->base.version.revision,
                  encodeConfig(pending->newDocument, era),
                  [this, pending, era](Result<StoreVersion> version) {
                      if (version && version.value().era != era)
                          return restart(pending);
                      if (version)
                          return pending->callback(
                                  { version.value(), {}, version.value(), pending->newDocument });
                      if (version.error().kind == ErrorKind::InvalidObject)
                          return pending->callback(
                                  { boost::outcome_v2::failure(version.error()), {}, {}, {} });
                      readBack(pending);
                  });
}

void EditRunner::readBack(const std::shared_ptr<PendingEdit> &pending)
{
    read([this, pending](Result<StoredConfig> current) {
        if (!current)
            return pending->callback(
                    { failure(ErrorKind::StoreAnswerLost,
                              "it is not known whether the store applied the edit"),
                      {},
                      {},
                      {} });
        if (current.value().era != pending->base.era)
            return restart(pending);
        const StoreVersion &version = current.value().version;
        if (version != pending->base.version && current.value().document == pending->newDocument)
            return pending->callback({ version, {}, version, pending->newDocument });
        if (version != pending->base.version)
            return conflict(*pending, current.value());
        if (pending->attempts >= maxAttempts)
            return pending->callback(
                    { failure(ErrorKind::StoreUnavailable, "the store did not apply the edit"),
                      {},
                      version,
                      {} });
        write(pending);
    });
}

// The store was restored while the write was in flight.
void EditRunner::restart(const std::shared_ptr<PendingEdit> &pending)
{
    if (pending->attempts < maxAttempts)
        return start(pending);
    pending->callback({ failure(ErrorKind::StoreAnswerLost,
                                "it is not known whether the store applied the edit"),
                        {},
                        {},
                        {} });
}

void EditRunner::conflict(PendingEdit &pending, const StoredConfig &current)
{
    pending.callback({ failure(ErrorKind::EditConflict, "another edit was applied first"),
                       json::diff(pending.base.document, current.document),
                       current.version,
                       {} });
}

} // namespace basildeck
