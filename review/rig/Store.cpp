#include "Store.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace rig {

using nlohmann::json;

namespace {

constexpr std::size_t pageSize = 500;
// As the pages name it.
constexpr Millis answerTime(4);

std::string parameter(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, next - at - 1);
        if (pair.rfind(name + "=", 0) == 0)
            return pair.substr(name.size() + 1);
        at = next;
    }
    return {};
}

} // namespace

Store::Store(const std::string &ip, std::uint16_t port)
    : m_listener(listenAt(ip, port))
{
    if (m_listener < 0)
        throw std::runtime_error("the store's address is in use");
    m_acceptor = std::thread([this] { acceptAll(); });
}

Store::~Store()
{
    m_isEnding = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    ::close(m_listener);
}

void Store::acceptAll()
{
    while (!m_isEnding) {
        const int accepted = accept(m_listener, nullptr, nullptr);
        if (accepted < 0)
            return;
        std::thread([this, accepted] { serve(std::make_unique<Channel>(accepted)); }).detach();
    }
}

void Store::serve(std::unique_ptr<Channel> channel)
{
    while (!m_isEnding) {
        const auto request = channel->read(false, Clock::now() + std::chrono::hours(1));
        if (!request)
            return;
        const auto [status, body] = answer(*request);
        const std::string head = "HTTP/1.1 " + std::to_string(status)
                                 + (status / 100 == 2 ? " OK" : " Refused")
                                 + "\r\nContent-Type: application/json\r\nContent-Length: "
                                 + std::to_string(body.size()) + "\r\n\r\n";
        if (!channel->send(head + body))
            return;
    }
}

std::pair<int, std::string> Store::answer(const Message &request)
{
    static const std::string prefix = "/api/objects/";
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    if (path.rfind(prefix, 0) != 0)
        return { 404, "{}" };
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const std::string since = parameter(target, "watch");
    std::this_thread::sleep_for(answerTime);
    if (request.method() != "GET")
        return write(request.method(), kind, name, request.body);
    if (!since.empty())
        return watch(kind, std::stoull(since),
                     Millis(std::atoll(parameter(target, "wait_ms").c_str())));
    const std::lock_guard lock(m_mutex);
    if (!name.empty()) {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return { 404, "{}" };
        return { 200, toJson(name, found->second).dump() };
    }
    const std::string after = parameter(target, "after");
    json page{ { "items", json::array() }, { "more", false }, { "store_revision", m_revision } };
    for (const auto &[itemName, object] : m_objects[kind]) {
        if (!after.empty() && itemName <= after)
            continue;
        if (page["items"].size() == pageSize) {
            page["more"] = true;
            break;
        }
        page["items"].push_back(toJson(itemName, object));
    }
    return { 200, page.dump() };
}

std::pair<int, std::string> Store::watch(const std::string &kind, std::uint64_t since, Millis wait)
{
    const Time until = Clock::now() + wait;
    std::unique_lock lock(m_mutex);
    json events = json::array();
    for (;;) {
        for (const Event &event : m_events) {
            if (event.kind == kind && event.revision > since)
                events.push_back({ { "object", event.object }, { "deleted", event.deleted } });
        }
        if (!events.empty() || m_isEnding
            || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    return { 200, json{ { "events", events }, { "store_revision", m_revision } }.dump() };
}

std::pair<int, std::string> Store::write(const std::string &method, const std::string &kind,
                                         std::string name, const std::string &body)
{
    const json content = json::parse(body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    if (method == "DELETE") {
        return erase(kind, name) ? std::pair(200, std::string("{}"))
                                 : std::pair(404, std::string("{}"));
    }
    if (content.is_discarded() || !content.contains("spec"))
        return { 400, "{}" };
    if (name.empty())
        name = content["metadata"].value("name", "");
    const bool exists = m_objects[kind].contains(name);
    if (method == "POST" && exists)
        return { 409, toJson(name, m_objects[kind][name]).dump() };
    if (method == "PUT" && !exists)
        return { 404, "{}" };
    store(kind, name, content["spec"]);
    return { method == "POST" ? 201 : 200, toJson(name, m_objects[kind][name]).dump() };
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(m_mutex);
    store(kind, name, spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    erase(kind, name);
}

void Store::store(const std::string &kind, const std::string &name, const json &spec)
{
    Object &object = m_objects[kind][name];
    if (object.revision != 0 && object.spec == spec)
        return;
    object.spec = spec;
    object.revision = ++m_revision;
    if (object.created == 0)
        object.created = m_revision;
    m_events.push_back({ m_revision, kind, false, toJson(name, object) });
    m_changed.notify_all();
}

bool Store::erase(const std::string &kind, const std::string &name)
{
    const auto found = m_objects[kind].find(name);
    if (found == m_objects[kind].end())
        return false;
    found->second.revision = ++m_revision;
    m_events.push_back({ m_revision, kind, true, toJson(name, found->second) });
    m_objects[kind].erase(found);
    m_changed.notify_all();
    return true;
}

json Store::toJson(const std::string &name, const Object &object)
{
    return { { "metadata",
               { { "name", name },
                 { "revision", object.revision },
                 { "created_rev", object.created },
                 { "finalizers", object.finalizers },
                 { "deleting", false } } },
             { "spec", object.spec },
             { "status", object.status } };
}

} // namespace rig
