#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace rig {

// The platform's store as PROTOCOL.md tells it: objects by kind and name, one revision counter,
// lists, watches and writes, each answered after a few milliseconds. Answers are linearizable.
class Store
{
public:
    Store(const std::string &ip, std::uint16_t port);
    ~Store();

    // What the operator and the targets write.
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        nlohmann::json spec;
        nlohmann::json finalizers = nlohmann::json::array();
        nlohmann::json status;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        bool deleted;
        nlohmann::json object;
    };

    void acceptAll();
    void serve(std::unique_ptr<Channel> channel);
    std::pair<int, std::string> answer(const Message &request);
    std::pair<int, std::string> watch(const std::string &kind, std::uint64_t since, Millis wait);
    std::pair<int, std::string> write(const std::string &method, const std::string &kind,
                                      std::string name, const std::string &body);
    void store(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    bool erase(const std::string &kind, const std::string &name);
    static nlohmann::json toJson(const std::string &name, const Object &object);

    int m_listener;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Event> m_events;
    std::uint64_t m_revision = 1;
    std::atomic<bool> m_isEnding = false;
    std::thread m_acceptor;
};

} // namespace rig
