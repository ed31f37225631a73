#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"
#include "core/StoreVersion.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

class HttpClient;
class LwsLoop;
struct HttpRequest;

// One object of the platform's store. Version 0 means that the object does not exist.
struct StoredValue
{
    std::string name;
    std::uint64_t version = 0;
    std::string value;     // JSON text
    std::uint64_t era = 0; // of the store when it responded
};

// The objects of a kind that changed, and the version of the store up to which the list is
// complete. The version is 0 if the store does not have the version that the watch started from.
struct StoreChanges
{
    std::uint64_t era = 0; // of the store when it responded
    std::uint64_t version = 0;
    std::vector<StoredValue> objects;
};

// An entry of the platform's list of VMs.
struct ListedVm
{
    std::string name;
    std::string state; // "live", "leaving" or "gone"
};

// Client of the platform's object API. The store's era, the value of the response header eraHeader,
// rises each time that the store comes back from a copy. Each call invokes its callback once, on
// the loop's thread.
//
// Errors:
//   StoreUnavailable  the call had no effect
//   StoreAnswerLost   the response was lost, or is from before a restore of the store that this
//                     client has seen; a write may have taken effect
//   EditConflict      the object's version was not the expected one
//   InvalidObject     the store rejected the value
class StoreClient
{
public:
    static constexpr const char *eraHeader = "basildeck-store-era";

    static std::unique_ptr<StoreClient> make(LwsLoop &loop, std::vector<Address> addresses);
    ~StoreClient();

    using OnValue = std::function<void(Result<StoredValue>)>;
    using OnChanges = std::function<void(Result<StoreChanges>)>;
    using OnVersion = std::function<void(Result<StoreVersion>)>;
    using OnVms = std::function<void(Result<std::vector<ListedVm>>)>;

    void read(const std::string &kind, const std::string &name, OnValue callback);
    void write(const std::string &kind, const std::string &name, std::uint64_t expectedVersion,
               const std::string &value, OnVersion callback);
    // Long poll: responds once an object of the kind is newer than the version, or after the wait.
    void watch(const std::string &kind, std::uint64_t from, milliseconds wait, OnChanges callback);
    void listVms(OnVms callback);

    // Fails calls that have timed out. Call it at each tick.
    void expire(Time now);

    std::uint64_t calls() const { return m_calls; }
    // The highest era in any response so far; 0 before the first one.
    std::uint64_t era() const { return m_era; }
    // Treats responses of eras below this one as lost.
    void raiseEra(std::uint64_t era) { m_era = std::max(m_era, era); }

private:
    struct Response
    {
        int status;
        std::string body;
        std::uint64_t era;
    };
    using OnResponse = std::function<void(Result<Response>)>;

    // Reads the body of a response of status 200.
    template <typename Value, typename Read>
    static Result<Value> parse(const Response &response, Read read,
                               ErrorKind unreadable = ErrorKind::StoreUnavailable);

    explicit StoreClient(std::vector<Address> addresses);
    void call(HttpRequest request, milliseconds timeout, OnResponse callback);

    std::vector<Address> m_addresses;
    std::size_t m_currentAddress = 0; // modulo m_addresses.size(); advanced by a failed call
    std::unique_ptr<HttpClient> m_client;
    std::uint64_t m_calls = 0;
    std::uint64_t m_era = 0;
};

} // namespace basildeck
