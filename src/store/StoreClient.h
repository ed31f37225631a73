#pragma once

#include "basildeck/Result.h"
#include "basildeck/Time.h"
#include "config/Address.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basildeck {

class HttpClient;
class LwsLoop;
struct HttpRequest;

// One object of the platform's store. Version 0 stands for an object that does not exist.
struct StoredValue
{
    std::string name;
    std::uint64_t version = 0;
    std::string value; // JSON text
};

// The objects of a kind that changed, and the version up to which the answer holds.
struct StoreChanges
{
    std::uint64_t version = 0;
    std::vector<StoredValue> objects;
};

// An entry of the platform's list of VMs.
struct ListedVm
{
    std::string name;
    std::string state; // "live", "leaving" or "gone"
};

// Typed calls of the platform's object API. Each call leads to one call of its function on the
// loop's thread.
//
// Errors: StoreUnavailable (the call had no effect), StoreAnswerLost (a write may have taken
// effect), EditConflict (the version was another one), InvalidObject (the store refused the value).
class StoreClient
{
public:
    static std::unique_ptr<StoreClient> make(LwsLoop &loop, std::vector<Address> addresses);
    ~StoreClient();

    using OnValue = std::function<void(Result<StoredValue>)>;
    using OnChanges = std::function<void(Result<StoreChanges>)>;
    using OnVersion = std::function<void(Result<std::uint64_t>)>;
    using OnVms = std::function<void(Result<std::vector<ListedVm>>)>;

    void read(const std::string &kind, const std::string &name, OnValue done);
    void write(const std::string &kind, const std::string &name, std::uint64_t expectedVersion,
               const std::string &value, OnVersion done);
    // Waits until an object of a kind is newer than a version, at most the given time.
    void watch(const std::string &kind, std::uint64_t from, milliseconds wait, OnChanges done);
    void listVms(OnVms done);

    // Ends late calls. Called at each tick.
    void expire(Time now);

    std::uint64_t calls() const { return m_calls; }

private:
    struct Reply
    {
        int status;
        std::string body;
    };
    using OnReply = std::function<void(Result<Reply>)>;

    explicit StoreClient(std::vector<Address> addresses);
    void call(HttpRequest request, milliseconds timeout, OnReply done);

    std::vector<Address> m_addresses;
    std::size_t m_current = 0;
    std::unique_ptr<HttpClient> m_client;
    std::uint64_t m_calls = 0;
};

} // namespace basildeck
