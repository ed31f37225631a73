#include "admin/EditRunner.h"

#include "store/StoreClient.h"

#include <chrono>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr const char *fleetKind = "fleet";
constexpr const char *configName = "config";

std::int64_t unixSeconds()
{
    return std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
}

} // namespace

// Shared by the calls of the store that one edit leads to.
struct EditRunner::Job
{
    ConfigEdit edit;
    Done done;
    std::uint64_t readVersion = 0;
    json readDocument;
    json newDocument;
    int tries = 0;
};

void EditRunner::read(std::function<void(Result<std::pair<std::uint64_t, json>>)> done)
{
    m_store.read(fleetKind, configName, [done = std::move(done)](Result<StoredValue> value) {
        if (!value)
            return done(boost::outcome_v2::failure(value.error()));
        json document = json::parse(value.value().value, nullptr, false);
        if (document.is_discarded())
            document = json::object();
        done(std::pair(value.value().version, std::move(document)));
    });
}

void EditRunner::run(ConfigEdit edit, Done done)
{
    auto job = std::make_shared<Job>();
    job->edit = std::move(edit);
    job->done = std::move(done);
    start(job);
}

void EditRunner::start(const std::shared_ptr<Job> &job)
{
    read([this, job](Result<std::pair<std::uint64_t, json>> current) {
        if (!current)
            return job->done({ boost::outcome_v2::failure(current.error()), {}, 0 });
        job->readVersion = current.value().first;
        job->readDocument = std::move(current.value().second);
        if (job->edit.baseVersion != 0 && job->edit.baseVersion != job->readVersion)
            return job->done(
                    { failure(ErrorKind::EditConflict,
                              "the configuration has version " + std::to_string(job->readVersion)),
                      {},
                      job->readVersion });
        auto changed = applyConfigEdit(job->edit, job->readDocument, unixSeconds());
        if (!changed)
            return job->done({ boost::outcome_v2::failure(changed.error()), {}, job->readVersion });
        job->newDocument = std::move(changed.value());
        write(job);
    });
}

void EditRunner::write(const std::shared_ptr<Job> &job)
{
    ++job->tries;
    m_store.write(fleetKind, configName, job->readVersion, job->newDocument.dump(),
                  [this, job](Result<std::uint64_t> version) {
                      if (version)
                          return job->done({ version.value(), {}, version.value() });
                      const ErrorKind kind = version.error().kind;
                      if (kind == ErrorKind::InvalidObject)
                          return job->done({ boost::outcome_v2::failure(version.error()), {}, 0 });
                      readBack(job);
                  });
}

void EditRunner::readBack(const std::shared_ptr<Job> &job)
{
    read([this, job](Result<std::pair<std::uint64_t, json>> current) {
        if (!current)
            return job->done({ failure(ErrorKind::StoreAnswerLost,
                                       "the store does not say whether the edit took effect"),
                               {},
                               0 });
        const auto &[version, document] = current.value();
        if (version != job->readVersion && document == job->newDocument)
            return job->done({ version, {}, version });
        if (version != job->readVersion)
            return conflict(*job, version, document);
        if (job->tries >= maxTries)
            return job->done(
                    { failure(ErrorKind::StoreUnavailable, "the store did not take the edit"),
                      {},
                      version });
        write(job);
    });
}

void EditRunner::conflict(Job &job, std::uint64_t currentVersion, const json &current)
{
    job.done({ failure(ErrorKind::EditConflict, "another edit came first"),
               json::diff(job.readDocument, current), currentVersion });
}

} // namespace basildeck
