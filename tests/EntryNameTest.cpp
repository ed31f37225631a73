#include "ScriptedStore.h"
#include "core/PercentEncoding.h"
#include "edge/ObjectReplica.h"
#include "edge/ReplicaRelay.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basildeck::test {

namespace {

using nlohmann::json;

const std::vector<std::string> oddNames
        = { "i-04 x",           "i-04&x", "i-04+x", "i-04#x",  "i-04\"x",  "i-04%",
            "i-04%41",          "&x",     "i-04=x", "i-04\\x", "i-04?x",   "i-04/x",
            "i-04\r\nX: 1\r\n", "i-04;x", "~ ~",    "%",       "i-04\x7f", "i-04\xc3\xa9" };

// Decodes a value of a query as a strict server does. Returns nothing if it is malformed.
std::optional<std::string> decodeStrictly(std::string_view text)
{
    constexpr std::string_view allowed = "-._~!$'()*,;:@/?=";
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        const bool isAlnum = std::isalnum(static_cast<unsigned char>(c)) != 0;
        if (c == '+') {
            decoded += ' ';
        } else if (c == '%') {
            const std::string_view code = text.substr(i, 3);
            const std::string byte = percentDecode(code);
            if (code.size() < 3 || byte.size() != 1)
                return std::nullopt;
            decoded += byte;
            i += 2;
        } else if (isAlnum || allowed.find(c) != std::string_view::npos) {
            decoded += c;
        } else {
            return std::nullopt;
        }
    }
    return decoded;
}

// Returns the value of "after", empty if there is none, or nothing if the line is malformed.
std::optional<std::string> continuationOf(const std::string &requestLine)
{
    constexpr std::string_view start = "GET /api/objects/servers";
    constexpr std::string_view end = " HTTP/1.1";
    if (!requestLine.starts_with(start) || !requestLine.ends_with(end))
        return std::nullopt;
    std::string query
            = requestLine.substr(start.size(), requestLine.size() - start.size() - end.size());
    if (query.empty())
        return "";
    std::optional<std::string> after;
    while (query.size() > 1) {
        const std::size_t next = std::min(query.find('&', 1), query.size());
        const std::string parameter = query.substr(1, next - 1);
        query.erase(0, next);
        const auto value = decodeStrictly(parameter);
        if (!value)
            return std::nullopt;
        if (parameter.starts_with("after="))
            after = value->substr(std::string_view("after=").size());
    }
    return after;
}

// A store that lists its entries in pages and refuses malformed requests.
class PagedStore
{
public:
    explicit PagedStore(std::size_t pageSize)
        : m_pageSize(pageSize)
        , m_store(m_loop)
        , m_protocol(platform::objectProtocol())
    {
        m_replicas.push_back(makeReplica());
    }

    void add(const std::string &name, bool isTarget)
    {
        m_entries[name] = { { "metadata", { { "name", name }, { "revision", 1 } } },
                            { "spec", isTarget ? json{ { "service", "gauge" } } : json(5) } };
    }

    // Responds to the calls of a list. Returns the names that the replica knows when it sends a
    // watch, or nothing if it sends none within the calls that the pages need.
    std::optional<std::set<std::string>> list()
    {
        m_replicas.front()->start();
        const std::size_t pages = (m_entries.size() + m_pageSize - 1) / m_pageSize;
        for (std::size_t call = 0; call <= pages; ++call) {
            const std::string line = m_store.awaitRequest();
            if (line.find("?watch=") != std::string::npos)
                return names();
            const auto after = continuationOf(line);
            m_store.respond(after ? 200 : 400, after ? page(*after) : "{}");
        }
        return std::nullopt;
    }

    // Responds to a watch with one event, and waits for the next watch.
    void report(const std::string &name, int revision, bool isDeleted)
    {
        const json event{ { "object",
                            { { "metadata", { { "name", name }, { "revision", revision } } },
                              { "spec", 5 } } },
                          { "deleted", isDeleted } };
        m_store.respond(200,
                        json{ { "events", { event } }, { "store_revision", revision } }.dump());
        m_store.awaitRequest();
    }

    std::set<std::string> storedNames() const
    {
        std::set<std::string> names;
        for (const auto &[name, entry] : m_entries)
            names.insert(name);
        return names;
    }
    std::set<std::string> names() const { return namesOf(*m_replicas.front()); }

    // The names that a VM knows when it follows this one.
    std::set<std::string> namesOfFollower()
    {
        std::string body;
        ReplicaRelay relay(m_loop, m_replicas);
        relay.handleCatchUp("servers=0.0", { [](const std::string &) {},
                                             [&](std::string_view bytes) { body.append(bytes); },
                                             [](bool) {}, [](bool) {}, [] { return false; } });
        std::vector<std::unique_ptr<ObjectReplica>> followers;
        followers.push_back(makeReplica());
        CHECK(ReplicaRelay::apply(body, followers));
        return namesOf(*followers.front());
    }

private:
    std::unique_ptr<ObjectReplica> makeReplica()
    {
        ObjectReplica::Callbacks callbacks{ [](const StoredObject &) {}, [](const std::string &) {},
                                            [] {}, [](bool) {} };
        return std::make_unique<ObjectReplica>(m_loop, m_protocol, m_store.address(), "servers",
                                               std::move(callbacks));
    }

    static std::set<std::string> namesOf(const ObjectReplica &replica)
    {
        std::set<std::string> names;
        for (const auto &[name, object] : replica.objects())
            names.insert(name);
        return names;
    }

    std::string page(const std::string &after) const
    {
        json items = json::array();
        auto entry = m_entries.upper_bound(after);
        for (; entry != m_entries.end() && items.size() < m_pageSize; ++entry)
            items.push_back(entry->second);
        return json{
            { "items", items }, { "more", entry != m_entries.end() }, { "store_revision", 9 }
        }.dump();
    }

    std::size_t m_pageSize;
    std::map<std::string, json> m_entries;
    EventLoop m_loop;
    ScriptedStore m_store;
    ObjectProtocol m_protocol;
    std::vector<std::unique_ptr<ObjectReplica>> m_replicas;
};

} // namespace

TEST_SUITE_BEGIN("names of entries");

TEST_CASE("an entry whose name is no part of a URL keeps the list from coming to its end")
{
    for (const std::string &odd : oddNames) {
        CAPTURE(odd);
        PagedStore store(1);
        for (char digit = '1'; digit <= '9'; ++digit)
            store.add(std::string("i-0") + digit, true);
        store.add(odd, false);
        const auto listed = store.list();
        REQUIRE(listed);
        CHECK(*listed == store.storedNames());
    }
}

TEST_CASE("an entry with an odd name ends a page of 500 entries")
{
    for (const std::string &odd : oddNames) {
        CAPTURE(odd);
        PagedStore store(500);
        store.add(odd, false);
        for (int i = 0; i < 499; ++i) {
            store.add("!" + std::to_string(i), true);
            store.add("~~" + std::to_string(i), true);
        }
        const auto listed = store.list();
        REQUIRE(listed);
        CHECK(*listed == store.storedNames());
    }
}

TEST_CASE("an entry with an odd name comes, changes and goes while a VM watches and others follow")
{
    for (const std::string &odd : oddNames) {
        CAPTURE(odd);
        PagedStore store(500);
        store.add("i-01", true);
        REQUIRE(store.list());
        const auto checkKnown = [&](const std::set<std::string> &names) {
            CHECK(store.names() == names);
            CHECK(store.namesOfFollower() == names);
        };
        for (const int revision : { 10, 11 }) {
            store.report(odd, revision, false);
            checkKnown({ "i-01", odd });
        }
        store.report(odd, 12, true);
        checkKnown({ "i-01" });
    }
}

TEST_SUITE_END();

} // namespace basildeck::test
