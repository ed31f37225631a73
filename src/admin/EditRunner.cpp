#include "admin/EditRunner.h"

#include "store/StoreClient.h"

#include <chrono>

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
    std::uint64_t readVersion = 0;
    json readDocument;
    json newDocument;
    int attempts = 0;
};

void EditRunner::read(std::function<void(Result<std::pair<std::uint64_t, json>>)> callback)
{
    m_store.read(fleetKind, configName,
                 [callback = std::move(callback)](Result<StoredValue> value) {
                     if (!value)
                         return callback(boost::outcome_v2::failure(value.error()));
                     json document = json::parse(value.value().value, nullptr, false);
                     if (document.is_discarded())
                         document = json::object();
                     callback(std::pair(value.value().version, std::move(document)));
                 });
}

void EditRunner::run(ConfigEdit edit, Callback callback)
{
    auto pending = std::make_shared<PendingEdit>();
    pending->edit = std::move(edit);
    pending->callback = std::move(callback);
    start(pending);
}

void EditRunner::start(const std::shared_ptr<PendingEdit> &pending)
{
    read([this, pending](Result<std::pair<std::uint64_t, json>> current) {
        if (!current)
            return pending->callback({ boost::outcome_v2::failure(current.error()), {}, 0 });
        pending->readVersion = current.value().first;
        pending->readDocument = std::move(current.value().second);
        if (pending->edit.baseVersion != 0 && pending->edit.baseVersion != pending->readVersion)
            return pending->callback({ failure(ErrorKind::EditConflict,
                                               "the current version of the configuration is "
                                                       + std::to_string(pending->readVersion)),
                                       {},
                                       pending->readVersion });
        auto edited = applyConfigEdit(pending->edit, pending->readDocument, unixTimeSeconds());
        if (!edited)
            return pending->callback(
                    { boost::outcome_v2::failure(edited.error()), {}, pending->readVersion });
        pending->newDocument = std::move(edited.value());
        write(pending);
    });
}

void EditRunner::write(const std::shared_ptr<PendingEdit> &pending)
{
    ++pending->attempts;
    m_store.write(fleetKind, configName, pending->readVersion, pending->newDocument.dump(),
                  [this, pending](Result<std::uint64_t> version) {
                      if (version)
                          return pending->callback({ version.value(), {}, version.value() });
                      const ErrorKind kind = version.error().kind;
                      if (kind == ErrorKind::InvalidObject)
                          return pending->callback(
                                  { boost::outcome_v2::failure(version.error()), {}, 0 });
                      readBack(pending);
                  });
}

void EditRunner::readBack(const std::shared_ptr<PendingEdit> &pending)
{
    read([this, pending](Result<std::pair<std::uint64_t, json>> current) {
        if (!current)
            return pending->callback(
                    { failure(ErrorKind::StoreAnswerLost,
                              "it is not known whether the store applied the edit"),
                      {},
                      0 });
        const auto &[version, document] = current.value();
        if (version != pending->readVersion && document == pending->newDocument)
            return pending->callback({ version, {}, version });
        if (version != pending->readVersion)
            return conflict(*pending, version, document);
        if (pending->attempts >= maxAttempts)
            return pending->callback(
                    { failure(ErrorKind::StoreUnavailable, "the store did not apply the edit"),
                      {},
                      version });
        write(pending);
    });
}

void EditRunner::conflict(PendingEdit &pending, std::uint64_t currentVersion, const json &current)
{
    pending.callback({ failure(ErrorKind::EditConflict, "another edit was applied first"),
                       json::diff(pending.readDocument, current), currentVersion });
}

} // namespace basildeck
