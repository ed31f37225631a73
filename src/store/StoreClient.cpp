#include "store/StoreClient.h"

#include "http/HttpClient.h"

#include <nlohmann/json.hpp>

namespace basildeck {

using nlohmann::json;

namespace {

constexpr milliseconds callTimeout{ 1000 };

StoredValue objectOf(const json &object)
{
    const bool deleted = object.value("deleted", false);
    return { object.value("name", ""), deleted ? 0 : object.value("version", std::uint64_t{ 0 }),
             deleted || !object.contains("value") ? "" : object["value"].dump() };
}

Error unexpected(int status)
{
    return { ErrorKind::StoreUnavailable, "the store answered " + std::to_string(status) };
}

HttpRequest requestOf(std::string method, std::string path, std::string query = "")
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
    return client->m_client ? std::move(client) : nullptr;
}

StoreClient::StoreClient(std::vector<Address> addresses)
    : m_addresses(std::move(addresses))
{}

StoreClient::~StoreClient() = default;

void StoreClient::expire(Time now)
{
    m_client->expire(now);
}

void StoreClient::call(HttpRequest request, milliseconds timeout, OnReply done)
{
    ++m_calls;
    const Address &address = m_addresses[m_current % m_addresses.size()];
    m_client->send(address, std::move(request), timeout,
                   [this, done = std::move(done)](Result<HttpResponse> answer) {
                       if (answer) {
                           done(Reply{ answer.value().status, std::move(answer.value().body) });
                           return;
                       }
                       ++m_current;
                       const bool sent = answer.error().kind != ErrorKind::ConnectFailed;
                       done(failure(sent ? ErrorKind::StoreAnswerLost : ErrorKind::StoreUnavailable,
                                    answer.error().detail));
                   });
}

void StoreClient::read(const std::string &kind, const std::string &name, OnValue done)
{
    call(requestOf("GET", "/v1/objects/" + kind + "/" + name), callTimeout,
         [name, done = std::move(done)](Result<Reply> reply) {
             if (!reply)
                 return done(failure(ErrorKind::StoreUnavailable, reply.error().detail));
             if (reply.value().status == 404)
                 return done(StoredValue{ name, 0, "" });
             const json body = json::parse(reply.value().body, nullptr, false);
             if (reply.value().status != 200 || !body.is_object())
                 return done(boost::outcome_v2::failure(unexpected(reply.value().status)));
             done(objectOf(body));
         });
}

void StoreClient::write(const std::string &kind, const std::string &name,
                        std::uint64_t expectedVersion, const std::string &value, OnVersion done)
{
    HttpRequest request = requestOf("PUT", "/v1/objects/" + kind + "/" + name,
                                    "version=" + std::to_string(expectedVersion));
    request.headers.push_back({ "content-type", "application/json" });
    request.body = value;
    call(std::move(request), callTimeout, [done = std::move(done)](Result<Reply> reply) {
        if (!reply)
            return done(boost::outcome_v2::failure(reply.error()));
        const json body = json::parse(reply.value().body, nullptr, false);
        const int status = reply.value().status;
        if (status == 409)
            return done(failure(ErrorKind::EditConflict, "the object has changed"));
        if (status == 400 || status == 413)
            return done(failure(ErrorKind::InvalidObject, "the store refused the value"));
        if (status != 200 || !body.is_object())
            return done(boost::outcome_v2::failure(unexpected(status)));
        done(body.value("version", std::uint64_t{ 0 }));
    });
}

void StoreClient::watch(const std::string &kind, std::uint64_t from, milliseconds wait,
                        OnChanges done)
{
    const std::string query
            = "from=" + std::to_string(from) + "&waitMs=" + std::to_string(wait.count());
    call(requestOf("GET", "/v1/watch/" + kind, query), wait + callTimeout,
         [done = std::move(done)](Result<Reply> reply) {
             if (!reply)
                 return done(failure(ErrorKind::StoreUnavailable, reply.error().detail));
             const json body = json::parse(reply.value().body, nullptr, false);
             if (reply.value().status != 200 || !body.is_object() || !body.contains("items"))
                 return done(boost::outcome_v2::failure(unexpected(reply.value().status)));
             StoreChanges changes;
             changes.version = body.value("version", std::uint64_t{ 0 });
             for (const json &item : body["items"])
                 changes.objects.push_back(objectOf(item));
             done(std::move(changes));
         });
}

void StoreClient::listVms(OnVms done)
{
    call(requestOf("GET", "/v1/vms"), callTimeout, [done = std::move(done)](Result<Reply> reply) {
        if (!reply)
            return done(failure(ErrorKind::StoreUnavailable, reply.error().detail));
        const json body = json::parse(reply.value().body, nullptr, false);
        if (reply.value().status != 200 || !body.is_object() || !body.contains("items"))
            return done(boost::outcome_v2::failure(unexpected(reply.value().status)));
        std::vector<ListedVm> vms;
        for (const json &item : body["items"])
            vms.push_back({ item.value("name", ""), item.value("state", "") });
        done(std::move(vms));
    });
}

} // namespace basildeck
