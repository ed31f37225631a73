#include "decide/ClaimRegistry.h"

#include "core/Hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace basildeck {

namespace {

constexpr Duration retryInterval = milliseconds(200);
constexpr Duration uncertainMemory = seconds(60);
constexpr Duration staleAfter = milliseconds(500);

} // namespace

int ClaimRegistry::bucketOf(const std::string &key)
{
    return static_cast<int>(stableHash(key) % bucketCount);
}

std::string ClaimRegistry::bucketName(int bucket)
{
    return "bucket-" + std::to_string(bucket);
}

std::string ClaimRegistry::encode(const std::map<std::string, Entry> &entries)
{
    nlohmann::json claims = nlohmann::json::object();
    for (const auto &[key, entry] : entries) {
        nlohmann::json item = { { "vm", entry.id.vm },
                                { "inc", entry.id.incarnation },
                                { "seq", entry.id.sequence },
                                { "fp", entry.fingerprint },
                                { "state", static_cast<int>(entry.state) },
                                { "until", entry.expiresUnixSeconds } };
        if (entry.state == EntryState::Done) {
            item["status"] = entry.outcome.status;
            item["type"] = entry.outcome.contentType;
            item["kept"] = entry.outcome.bodyKept;
            item["body"] = entry.outcome.body;
        }
        claims[key] = std::move(item);
    }
    return nlohmann::json({ { "claims", claims } })
            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::map<std::string, ClaimRegistry::Entry> ClaimRegistry::decode(const std::string &value)
{
    std::map<std::string, Entry> entries;
    const auto document = nlohmann::json::parse(value, nullptr, false);
    if (!document.is_object() || !document.contains("claims"))
        return entries;
    for (const auto &item : document["claims"].items()) {
        const nlohmann::json &from = item.value();
        Entry entry;
        entry.id = { from.value("vm", ""), from.value("inc", std::uint64_t{ 0 }),
                     from.value("seq", std::uint64_t{ 0 }) };
        entry.fingerprint = from.value("fp", std::uint64_t{ 0 });
        entry.state = static_cast<EntryState>(std::clamp(from.value("state", 2), 0, 2));
        entry.expiresUnixSeconds = from.value("until", std::int64_t{ 0 });
        entry.outcome = { from.value("status", 0), from.value("type", ""), from.value("body", ""),
                          from.value("kept", false) };
        entries.emplace(item.key(), std::move(entry));
    }
    return entries;
}

void ClaimRegistry::begin(const std::string &from, const ClaimBegin &claim, Time now)
{
    Bucket &bucket = m_buckets[bucketOf(claim.key)];
    const bool repeated
            = std::any_of(bucket.begins.begin(), bucket.begins.end(),
                          [&](const Waiting &waiting) { return waiting.claim.id == claim.id; });
    if (!repeated)
        bucket.begins.push_back({ from, claim, now, false });
}

void ClaimRegistry::finish(const std::string &from, const ClaimFinish &claim)
{
    Bucket &bucket = m_buckets[bucketOf(claim.key)];
    const bool repeated
            = std::any_of(bucket.finishes.begin(), bucket.finishes.end(),
                          [&](const Finishing &known) { return known.claim.id == claim.id; });
    if (!repeated)
        bucket.finishes.push_back({ from, claim });
}

void ClaimRegistry::release(const ClaimRelease &claim, Time now)
{
    Bucket &bucket = m_buckets[bucketOf(claim.key)];
    bucket.releases.push_back(claim);
    // A release may overtake the decision that it answers.
    for (Waiting &waiting : bucket.begins) {
        if (waiting.claim.id == claim.id && !waiting.inWrite)
            decide(waiting, ClaimVerdict::Unavailable, {});
    }
    std::erase_if(bucket.begins, [&](const Waiting &waiting) {
        if (waiting.claim.id != claim.id || waiting.inWrite)
            return false;
        if (waiting.maybeWritten)
            bucket.uncertain[claim.id] = { claim.key, now };
        return true;
    });
}

void ClaimRegistry::decide(const Waiting &waiting, ClaimVerdict verdict,
                           const ClaimOutcome &outcome)
{
    m_decisions.push_back(
            { waiting.from, { waiting.claim.id, waiting.claim.key, verdict, outcome } });
}

// Decides what the known entries already decide, and drops changes that have taken effect.
void ClaimRegistry::settle(Bucket &bucket, Time now)
{
    std::erase_if(bucket.begins, [&](const Waiting &waiting) {
        const auto found = bucket.entries.find(waiting.claim.key);
        if (found == bucket.entries.end())
            return false;
        const Entry &entry = found->second;
        if (entry.id == waiting.claim.id) {
            decide(waiting, ClaimVerdict::Granted, {});
            return true;
        }
        if (entry.fingerprint != waiting.claim.fingerprint)
            decide(waiting, ClaimVerdict::Mismatch, {});
        else if (entry.state == EntryState::Done)
            decide(waiting, ClaimVerdict::Replay, entry.outcome);
        else if (entry.state == EntryState::Unknown)
            decide(waiting, ClaimVerdict::OutcomeUnknown, {});
        else if (now - bucket.readAt > staleAfter)
            return false; // read again first: the run may have ended since
        else
            decide(waiting, ClaimVerdict::InProgress, {});
        return true;
    });
    const auto runs = [&](const ClaimId &id, const std::string &key) {
        const auto found = bucket.entries.find(key);
        return found != bucket.entries.end() && found->second.id == id
               && found->second.state == EntryState::Running;
    };
    std::erase_if(bucket.finishes, [&](const Finishing &finishing) {
        const ClaimFinish &claim = finishing.claim;
        if (runs(claim.id, claim.key))
            return false;
        m_decisions.push_back(
                { finishing.from, { claim.id, claim.key, ClaimVerdict::Recorded, {} } });
        return true;
    });
    std::erase_if(bucket.releases,
                  [&](const ClaimRelease &claim) { return !runs(claim.id, claim.key); });
    for (auto uncertain = bucket.uncertain.begin(); uncertain != bucket.uncertain.end();) {
        const auto &[key, since] = uncertain->second;
        const auto found = bucket.entries.find(key);
        const bool written = found != bucket.entries.end() && found->second.id == uncertain->first;
        if (written)
            bucket.releases.push_back({ uncertain->first, key });
        if (written || now - since > uncertainMemory)
            uncertain = bucket.uncertain.erase(uncertain);
        else
            ++uncertain;
    }
}

// Builds the entries of the next write. Returns false if nothing changes.
bool ClaimRegistry::applyChanges(Bucket &bucket, std::int64_t nowUnixSeconds)
{
    bucket.written = bucket.entries;
    bool changed = false;
    for (const ClaimRelease &release : bucket.releases) {
        const auto found = bucket.written.find(release.key);
        if (found == bucket.written.end() || found->second.id != release.id
            || found->second.state != EntryState::Running)
            continue;
        bucket.written.erase(found);
        changed = true;
    }
    for (const Finishing &finishing : bucket.finishes) {
        const ClaimFinish &finish = finishing.claim;
        const auto found = bucket.written.find(finish.key);
        if (found == bucket.written.end() || found->second.id != finish.id
            || found->second.state == EntryState::Done)
            continue;
        found->second.state = finish.outcome.status == 0 ? EntryState::Unknown : EntryState::Done;
        found->second.outcome = finish.outcome;
        changed = true;
    }
    for (Waiting &waiting : bucket.begins) {
        if (bucket.written.contains(waiting.claim.key))
            continue; // an earlier claim of the same write
        Entry entry;
        entry.id = waiting.claim.id;
        entry.fingerprint = waiting.claim.fingerprint;
        entry.expiresUnixSeconds = nowUnixSeconds + waiting.claim.retentionSeconds;
        bucket.written.emplace(waiting.claim.key, std::move(entry));
        waiting.inWrite = true;
        changed = true;
    }
    if (changed)
        std::erase_if(bucket.written, [&](const auto &known) {
            return known.second.expiresUnixSeconds <= nowUnixSeconds;
        });
    return changed;
}

std::vector<ClaimRegistry::StoreCall> ClaimRegistry::dueCalls(Time now, std::int64_t nowUnixSeconds)
{
    std::vector<StoreCall> calls;
    for (auto &entry : m_buckets) {
        const int index = entry.first;
        Bucket &bucket = entry.second;
        if (bucket.callOpen || bucket.retryAt > now)
            continue;
        if (bucket.begins.empty() && bucket.finishes.empty() && bucket.releases.empty())
            continue;
        // Expired entries no longer stand in the way of a key.
        std::erase_if(bucket.entries, [&](const auto &known) {
            return known.second.expiresUnixSeconds <= nowUnixSeconds;
        });
        if (bucket.known)
            settle(bucket, now);
        const bool undecided = std::any_of(
                bucket.begins.begin(), bucket.begins.end(),
                [&](const Waiting &waiting) { return bucket.entries.contains(waiting.claim.key); });
        if (!bucket.known || undecided) {
            bucket.callOpen = true;
            calls.push_back({ index, false, 0, "" });
            continue;
        }
        if (now - bucket.lastWrite < writeInterval)
            continue;
        if (!applyChanges(bucket, nowUnixSeconds))
            continue;
        std::string value = encode(bucket.written);
        if (value.size() > maxBucketBytes) {
            for (const Waiting &waiting : bucket.begins)
                decide(waiting, ClaimVerdict::Unavailable, {});
            bucket.begins.clear();
            continue;
        }
        bucket.callOpen = true;
        bucket.lastWrite = now;
        calls.push_back({ index, true, bucket.version, std::move(value) });
    }
    return calls;
}

void ClaimRegistry::readDone(int index, std::uint64_t version, const std::string &value, Time now)
{
    Bucket &bucket = m_buckets[index];
    bucket.callOpen = false;
    bucket.known = true;
    bucket.version = version;
    bucket.readAt = now;
    bucket.entries = version == 0 ? std::map<std::string, Entry>{} : decode(value);
    for (Waiting &waiting : bucket.begins)
        waiting.inWrite = false;
    settle(bucket, now);
}

void ClaimRegistry::writeDone(int index, std::uint64_t version, Time now)
{
    Bucket &bucket = m_buckets[index];
    bucket.callOpen = false;
    bucket.version = version;
    bucket.readAt = now;
    bucket.entries = std::move(bucket.written);
    for (Waiting &waiting : bucket.begins)
        waiting.inWrite = false;
    settle(bucket, now);
}

void ClaimRegistry::callFailed(int index, Time now)
{
    Bucket &bucket = m_buckets[index];
    bucket.callOpen = false;
    bucket.known = false;
    bucket.retryAt = now + retryInterval;
    for (Waiting &waiting : bucket.begins) {
        waiting.maybeWritten = waiting.maybeWritten || waiting.inWrite;
        waiting.inWrite = false;
    }
}

void ClaimRegistry::writeConflicted(int index, Time)
{
    Bucket &bucket = m_buckets[index];
    bucket.callOpen = false;
    bucket.known = false;
    for (Waiting &waiting : bucket.begins)
        waiting.inWrite = false;
}

std::vector<ClaimRegistry::OutgoingDecision> ClaimRegistry::takeDecisions(Time now)
{
    for (auto &entry : m_buckets) {
        Bucket &bucket = entry.second;
        std::erase_if(bucket.begins, [&](const Waiting &waiting) {
            if (now - waiting.arrived < decideWithin)
                return false;
            if (waiting.inWrite || waiting.maybeWritten)
                bucket.uncertain[waiting.claim.id] = { waiting.claim.key, now };
            decide(waiting, ClaimVerdict::Unavailable, {});
            return true;
        });
    }
    return std::exchange(m_decisions, {});
}

std::size_t ClaimRegistry::waiting() const
{
    std::size_t count = 0;
    for (const auto &[index, bucket] : m_buckets)
        count += bucket.begins.size();
    return count;
}

} // namespace basildeck
