#pragma once

#include "edge/EdgeServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basildeck::soak {

// How the store treats calls.
enum class StoreMode { Normal, Busy, Silent, LosesAnswers };

// The platform's store as its page describes it: objects by kind and name, one revision counter,
// lists, watches, conditional writes.
class SoakStore
{
public:
    static std::unique_ptr<SoakStore> make(EventLoop &loop, const Address &at);

    void setMode(StoreMode mode) { m_mode = mode; }
    // Forgets all changes so far: older watches are answered 410.
    void forgetHistory();

    void put(const std::string &kind, const std::string &name, const nlohmann::json &content);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json object;
        bool deleted;
    };
    struct Watch
    {
        std::uint64_t id;
        std::string kind;
        std::uint64_t from;
        ResponseSink sink;
    };

    explicit SoakStore(EventLoop &loop)
        : m_loop(loop)
    {}
    std::uint64_t take(const IncomingRequest &request);
    void takeCall(const IncomingRequest &request);
    void list(const std::string &kind, const ResponseSink &sink);
    bool answerWatch(const Watch &watch, bool timedOut);
    void note(const std::string &kind, const nlohmann::json &object, bool deleted);
    void answer(const ResponseSink &sink, int status, const nlohmann::json &body);

    EventLoop &m_loop;
    std::unique_ptr<EdgeServer> m_server;
    StoreMode m_mode = StoreMode::Normal;
    std::uint64_t m_revision = 1;
    std::uint64_t m_historyFrom = 1;
    std::uint64_t m_nextId = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<Change> m_changes;
    std::vector<Watch> m_watches;
};

} // namespace basildeck::soak
