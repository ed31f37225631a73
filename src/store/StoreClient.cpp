#include "store/StoreClient.h"

#include "core/Log.h"
#include "http/HttpClient.h"
#include "store/EntryReader.h"

#include <utility>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr milliseconds callTimeout{ 1000 };

constexpr const char *logComponent = "store";

std::uint64_t readVersion(const JsonSlice *slice)
{
    const json version = parseSlice(slice);
    if (!version.is_number_unsigned())
        throw json::other_error::create(501, "version is not an unsigned number", nullptr);
    return version.get<std::uint64_t>();
}

// The functions that read a part of a response throw json::exception if it cannot be read.
std::vector<JsonSlice> readMembers(std::string_view text)
{
    auto members = splitJson(text);
    if (!members)
        throw json::other_error::create(501, "not an object", nullptr);
    return std::move(*members);
}

StoredValue readObject(std::string_view text, std::uint64_t era)
{
    const std::vector<JsonSlice> members = readMembers(text);
    const JsonSlice *deleted = findSlice(members, "deleted");
    const JsonSlice *value = findSlice(members, "value");
    StoredValue object;
    object.era = era;
    object.name = parseSlice(findSlice(members, "name")).get<std::string>();
    if (deleted != nullptr && parseSlice(deleted).get<bool>())
        return object;
    object.version = readVersion(findSlice(members, "version"));
    if (value != nullptr)
        object.value = parseSlice(value).dump();
    return object;
}

ListedVm readVm(std::string_view text)
{
    const std::vector<JsonSlice> members = readMembers(text);
    return { parseSlice(findSlice(members, "name")).get<std::string>(),
             parseSlice(findSlice(members, "state")).get<std::string>() };
}

// Reads the items of a response. One that cannot be read, for example because another writer has
// damaged it, is left out and logged.
template <typename Read>
auto readItems(const std::vector<JsonSlice> &members, const std::string &kind, Read read)
{
    const JsonSlice *items = findSlice(members, "items");
    std::vector<decltype(read(std::string_view()))> result;
    for (const JsonSlice &item : readMembers(items == nullptr ? "" : items->text)) {
        try {
            result.push_back(read(item.text));
        } catch (const json::exception &error) {
            BASILDECK_WARNING(logComponent) << "entry cannot be read, the others hold kind=" << kind
                                            << " reason=\"" << reasonOf(error) << '"';
        }
    }
    return result;
}

StoreChanges readChanges(const std::string &body, const std::string &kind, std::uint64_t era)
{
    const std::vector<JsonSlice> members = readMembers(body);
    StoreChanges changes;
    changes.era = era;
    changes.version = readVersion(findSlice(members, "version"));
    changes.objects = readItems(members, kind,
                                [era](std::string_view item) { return readObject(item, era); });
    return changes;
}

std::uint64_t parseEra(std::string_view value)
{
    return std::strtoull(std::string(value).c_str(), nullptr, 10);
}

Error unexpectedStatus(int status)
{
    return { ErrorKind::StoreUnavailable,
             "the store responded with status " + std::to_string(status) };
}

HttpRequest makeRequest(std::string method, std::string path, std::string query = "")
{
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.query = std::move(query);
    return request;
}

} // namespace

std::unique_ptr<StoreClient> StoreClient::make(LwsLoop &loop, std::vector<Address> addresses)
{
    std::unique_ptr<StoreClient> client(new StoreClient(std::move(addresses)));
    client->m_client = HttpClient::make(loop);
    if (!client->m_client)
        return nullptr;
    client->m_client->setResponseHeaderNames({ eraHeader });
    return client;
}

StoreClient::StoreClient(std::vector<Address> addresses)
    : m_addresses(std::move(addresses))
{}

StoreClient::~StoreClient() = default;

void StoreClient::expire(Time now)
{
    m_client->expire(now);
}

void StoreClient::call(HttpRequest request, milliseconds timeout, OnResponse callback)
{
    ++m_calls;
    const Address &address = m_addresses[m_currentAddress % m_addresses.size()];
    m_client->send(
            address, std::move(request), timeout,
            [this, callback = std::move(callback)](Result<HttpResponse> result) {
                if (result) {
                    HttpResponse &response = result.value();
                    const std::uint64_t era = parseEra(response.header(eraHeader));
                    if (era < m_era)
                        return callback(failure(ErrorKind::StoreAnswerLost,
                                                "the response is from before the store's restore"));
                    m_era = era;
                    callback(Response{ response.status, std::move(response.body), era });
                    return;
                }
                ++m_currentAddress;
                const bool sent = result.error().kind != ErrorKind::ConnectFailed;
                callback(failure(sent ? ErrorKind::StoreAnswerLost : ErrorKind::StoreUnavailable,
                                 result.error().detail));
            });
}

template <typename Value, typename Read>
Result<Value> StoreClient::parse(const Response &response, Read read, ErrorKind unreadable)
{
    if (response.status != 200)
        return boost::outcome_v2::failure(unexpectedStatus(response.status));
    try {
        return read(response);
    } catch (const json::exception &error) {
        const std::string detail = "the response cannot be read: " + reasonOf(error);
        BASILDECK_WARNING(logComponent) << detail;
        return failure(unreadable, detail);
    }
}

void StoreClient::read(const std::string &kind, const std::string &name, OnValue callback)
{
    call(makeRequest("GET", "/v1/objects/" + kind + "/" + name), callTimeout,
         [name, callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(failure(ErrorKind::StoreUnavailable, response.error().detail));
             if (response.value().status == 404)
                 return callback(StoredValue{ name, 0, "", response.value().era });
             callback(parse<StoredValue>(response.value(), [](const Response &found) {
                 return readObject(found.body, found.era);
             }));
         });
}

void StoreClient::write(const std::string &kind, const std::string &name,
                        std::uint64_t expectedVersion, const std::string &value, OnVersion callback)
{
    HttpRequest request = makeRequest("PUT", "/v1/objects/" + kind + "/" + name,
                                      "version=" + std::to_string(expectedVersion));
    request.headers.push_back({ "content-type", "application/json" });
    request.body = value;
    call(std::move(request), callTimeout,
         [callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(boost::outcome_v2::failure(response.error()));
             const int status = response.value().status;
             if (status == 409)
                 return callback(failure(ErrorKind::EditConflict, "the object has changed"));
             if (status == 400 || status == 413)
                 return callback(failure(ErrorKind::InvalidObject, "the store rejected the value"));
             // The write has taken effect if its response cannot be read.
             callback(parse<StoreVersion>(
                     response.value(),
                     [](const Response &written) {
                         const std::vector<JsonSlice> members = readMembers(written.body);
                         return StoreVersion{ written.era,
                                              readVersion(findSlice(members, "version")) };
                     },
                     ErrorKind::StoreAnswerLost));
         });
}

void StoreClient::watch(const std::string &kind, std::uint64_t from, milliseconds wait,
                        OnChanges callback)
{
    const std::string query
            = "from=" + std::to_string(from) + "&waitMs=" + std::to_string(wait.count());
    call(makeRequest("GET", "/v1/watch/" + kind, query), wait + callTimeout,
         [kind, callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(failure(ErrorKind::StoreUnavailable, response.error().detail));
             if (response.value().status == 410)
                 return callback(StoreChanges{ response.value().era, 0, {} });
             callback(parse<StoreChanges>(response.value(), [&](const Response &watched) {
                 return readChanges(watched.body, kind, watched.era);
             }));
         });
}

void StoreClient::listVms(OnVms callback)
{
    call(makeRequest("GET", "/v1/vms"), callTimeout,
         [callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(failure(ErrorKind::StoreUnavailable, response.error().detail));
             callback(parse<std::vector<ListedVm>>(response.value(), [](const Response &listed) {
                 return readItems(readMembers(listed.body), "vms", readVm);
             }));
         });
}

} // namespace basildeck
