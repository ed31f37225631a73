#include "store/StoreClient.h"

#include "http/HttpClient.h"

#include <nlohmann/json.hpp>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr milliseconds callTimeout{ 1000 };

StoredValue parseObject(const json &object, std::uint64_t era)
{
    const bool deleted = object.value("deleted", false);
    return { object.value("name", ""), deleted ? 0 : object.value("version", std::uint64_t{ 0 }),
             deleted || !object.contains("value") ? "" : object["value"].dump(), era };
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

void StoreClient::read(const std::string &kind, const std::string &name, OnValue callback)
{
    call(makeRequest("GET", "/v1/objects/" + kind + "/" + name), callTimeout,
         [name, callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(failure(ErrorKind::StoreUnavailable, response.error().detail));
             if (response.value().status == 404)
                 return callback(StoredValue{ name, 0, "", response.value().era });
             const json body = json::parse(response.value().body, nullptr, false);
             if (response.value().status != 200 || !body.is_object())
                 return callback(
                         boost::outcome_v2::failure(unexpectedStatus(response.value().status)));
             callback(parseObject(body, response.value().era));
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
             const json body = json::parse(response.value().body, nullptr, false);
             const int status = response.value().status;
             if (status == 409)
                 return callback(failure(ErrorKind::EditConflict, "the object has changed"));
             if (status == 400 || status == 413)
                 return callback(failure(ErrorKind::InvalidObject, "the store rejected the value"));
             if (status != 200 || !body.is_object())
                 return callback(boost::outcome_v2::failure(unexpectedStatus(status)));
             callback(StoreVersion{ response.value().era,
                                    body.value("version", std::uint64_t{ 0 }) });
         });
}

void StoreClient::watch(const std::string &kind, std::uint64_t from, milliseconds wait,
                        OnChanges callback)
{
    const std::string query
            = "from=" + std::to_string(from) + "&waitMs=" + std::to_string(wait.count());
    call(makeRequest("GET", "/v1/watch/" + kind, query), wait + callTimeout,
         [callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(failure(ErrorKind::StoreUnavailable, response.error().detail));
             StoreChanges changes;
             changes.era = response.value().era;
             if (response.value().status == 410)
                 return callback(std::move(changes));
             const json body = json::parse(response.value().body, nullptr, false);
             if (response.value().status != 200 || !body.is_object() || !body.contains("items"))
                 return callback(
                         boost::outcome_v2::failure(unexpectedStatus(response.value().status)));
             changes.version = body.value("version", std::uint64_t{ 0 });
             for (const json &item : body["items"])
                 changes.objects.push_back(parseObject(item, changes.era));
             callback(std::move(changes));
         });
}

void StoreClient::listVms(OnVms callback)
{
    call(makeRequest("GET", "/v1/vms"), callTimeout,
         [callback = std::move(callback)](Result<Response> response) {
             if (!response)
                 return callback(failure(ErrorKind::StoreUnavailable, response.error().detail));
             const json body = json::parse(response.value().body, nullptr, false);
             if (response.value().status != 200 || !body.is_object() || !body.contains("items"))
                 return callback(
                         boost::outcome_v2::failure(unexpectedStatus(response.value().status)));
             std::vector<ListedVm> vms;
             for (const json &item : body["items"])
                 vms.push_back({ item.value("name", ""), item.value("state", "") });
             callback(std::move(vms));
         });
}

} // namespace basildeck
