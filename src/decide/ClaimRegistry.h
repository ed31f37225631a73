#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Names one attempt to run a request: the VM and process that makes it, and a number there.
struct ClaimId
{
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    auto operator<=>(const ClaimId &other) const = default;
};

// The recorded answer of a request. The body is kept if it is small.
struct ClaimOutcome
{
    int status = 0; // 0: the outcome is not known
    std::string contentType;
    std::string body;
    bool bodyKept = false;
};

// Asks for the right to run the request with an idempotency key. The key is a digest of the
// organisation and the caller's key; the fingerprint is a digest of the request itself.
struct ClaimBegin
{
    ClaimId id;
    std::string key;
    std::uint64_t fingerprint = 0;
    int retentionSeconds = 0;
};

// Records how the run of a claim ended.
struct ClaimFinish
{
    ClaimId id;
    std::string key;
    ClaimOutcome outcome;
};

// Gives a claim back: the request was not run and will not be.
struct ClaimRelease
{
    ClaimId id;
    std::string key;
};

// Recorded answers a ClaimFinish: the outcome is in the store, or the claim no longer is.
enum class ClaimVerdict {
    Granted,
    Replay,
    InProgress,
    OutcomeUnknown,
    Mismatch,
    Unavailable,
    Recorded,
};

struct ClaimDecision
{
    ClaimId id;
    std::string key;
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    ClaimOutcome outcome;
};

// Claims of idempotency keys, kept in buckets of the platform's store.
//
// The owner of a bucket collects what arrives while a write is open and commits it in one
// conditional write. Ownership only saves conflicts: the version check of the store decides, so two
// owners, a paused owner or a lost answer are harmless. A claim is granted only after its write is
// known to have taken effect.
class ClaimRegistry
{
public:
    static constexpr int bucketCount = 16;
    // Time between two writes of one bucket; bounds the writes of the fleet to 160 a second.
    static constexpr Duration writeInterval = milliseconds(100);
    // A claim that cannot be decided in this time is unavailable.
    static constexpr Duration decideWithin = milliseconds(1500);
    static constexpr std::size_t maxBucketBytes = 900'000;
    static constexpr std::size_t maxKeptBodyBytes = 1024;

    // The bucket of a key.
    static int bucketOf(const std::string &key);
    // The name of a bucket's object in the store.
    static std::string bucketName(int bucket);

    void begin(const std::string &from, const ClaimBegin &claim, Time now);
    void finish(const std::string &from, const ClaimFinish &claim);
    void release(const ClaimRelease &claim, Time now);

    // A call of the store that is due.
    struct StoreCall
    {
        int bucket = 0;
        bool isWrite = false;
        std::uint64_t expectedVersion = 0; // of a write
        std::string value;                 // of a write
    };
    std::vector<StoreCall> dueCalls(Time now, std::int64_t nowUnixSeconds);

    // The answer of a read: the version and the value; version 0 if the object does not exist.
    void readDone(int bucket, std::uint64_t version, const std::string &value, Time now);
    // The answer of a write that took effect.
    void writeDone(int bucket, std::uint64_t version, Time now);
    // A call failed, and a write among them may have taken effect all the same. The next call of
    // the bucket is a read.
    void callFailed(int bucket, Time now);
    // A write did not take effect, because the version had changed.
    void writeConflicted(int bucket, Time now);

    struct OutgoingDecision
    {
        std::string vm;
        ClaimDecision decision;
    };
    std::vector<OutgoingDecision> takeDecisions(Time now);

    std::size_t waiting() const;

private:
    enum class EntryState { Running, Done, Unknown };
    struct Entry
    {
        ClaimId id;
        std::uint64_t fingerprint = 0;
        EntryState state = EntryState::Running;
        ClaimOutcome outcome;
        std::int64_t expiresUnixSeconds = 0;
    };
    struct Waiting
    {
        std::string from;
        ClaimBegin claim;
        Time arrived;
        bool inWrite = false;      // part of the open write
        bool maybeWritten = false; // part of a write whose result is unknown
    };
    struct Finishing
    {
        std::string from;
        ClaimFinish claim;
    };
    struct Bucket
    {
        bool known = false;
        std::uint64_t version = 0;
        Time readAt;
        std::map<std::string, Entry> entries;
        std::vector<Waiting> begins;
        std::vector<Finishing> finishes;
        std::vector<ClaimRelease> releases;
        std::map<ClaimId, std::pair<std::string, Time>> uncertain; // refused, perhaps written
        bool callOpen = false;
        std::map<std::string, Entry> written; // entries of the open write
        Time lastWrite;
        Time retryAt;
    };

    void settle(Bucket &bucket, Time now);
    void decide(const Waiting &waiting, ClaimVerdict verdict, const ClaimOutcome &outcome);
    static bool applyChanges(Bucket &bucket, std::int64_t nowUnixSeconds);
    static std::string encode(const std::map<std::string, Entry> &entries);
    static std::map<std::string, Entry> decode(const std::string &value);

    std::map<int, Bucket> m_buckets;
    std::vector<OutgoingDecision> m_decisions;
};

} // namespace basildeck
