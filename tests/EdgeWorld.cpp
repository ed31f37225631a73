#include "EdgeWorld.h"

#include "core/Hash.h"
#include "platform/PlatformFormat.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <utility>

namespace basildeck::test {

namespace {

constexpr const char *ip = "127.0.0.1";

Route makeRoute(const std::string &prefix, Idempotence idempotence)
{
    Route route;
    route.name = prefix;
    route.host = "gauge.example";
    route.pathPrefix = prefix;
    route.service = "gauge";
    route.idempotence = idempotence;
    route.timeoutMs = 3000;
    route.objectiveMs = 2000;
    route.attempts = 2;
    route.affinity = true;
    return route;
}

Organisation makeOrganisation(const std::string &name, const std::string &key, double rate)
{
    Organisation organisation;
    organisation.name = name;
    organisation.keyHashes = { sha256Hex(key) };
    organisation.rate = rate;
    return organisation;
}

} // namespace

FleetConfig EdgeWorld::makeConfig() const
{
    FleetConfig config;
    config.routes
            = { makeRoute("/safe/", Idempotence::Always), makeRoute("/unsafe/", Idempotence::Never),
                makeRoute("/quick/", Idempotence::Always), makeRoute("/open/", Idempotence::Always),
                makeRoute("/prompt/", Idempotence::Always) };
    config.routes[2].timeoutMs = 200;
    config.routes[3].open = true;
    config.routes[4].timeoutMs = promptTimeoutMs;
    config.routes[4].objectiveMs = 300;
    config.organisations
            = { makeOrganisation("alpha", key, 0), makeOrganisation("beta", poorKey, 0.001) };
    Service service;
    service.name = "gauge";
    config.services = { service };
    config.limits.maxHeaderBytes = 4096;
    config.limits.maxBodyBytes = 100'000;
    return config;
}

EdgeWorld::EdgeWorld(std::size_t targetCount, int slots)
{
    m_settings.vmName = "vm-1";
    m_settings.region = "north";
    m_settings.zone = "north-a";
    m_settings.zoneRegions = { { "north-a", "north" } };
    m_settings.bounds.retrySlack = 20;
    m_names = platform::wireNames();
    m_targets = std::make_unique<TargetTable>(m_loop, m_settings);
    m_forwarder = std::make_unique<Forwarder>(m_loop, m_settings, m_names, *m_targets);
    const FleetConfig config = makeConfig();
    m_targets->setServices(config);
    for (std::size_t i = 0; i < targetCount; ++i) {
        m_listeners.push_back(standin::RawListener::make(ip, 0));
        m_targets->store({ "i-" + std::to_string(i), "gauge", m_listeners.back()->address(),
                           "north-a", slots, false, milliseconds(0), 0 },
                         m_loop.now());
    }
    m_forwarder->setRouting(std::make_shared<RoutingTable>(config, 1));
    m_address = { ip, standin::freePort(ip) };
    auto server = EdgeServer::make(
            m_loop, m_address,
            { [this](IncomingRequest request) { return submit(std::move(request)); },
              [this](const AnswerSink &sink, ErrorKind kind) {
                  m_forwarder->refuseUnread(sink, kind);
              },
              [this](std::uint64_t id) { m_forwarder->callerLeft(id); },
              [this](std::uint64_t id) { m_forwarder->callerDrained(id); } },
            1'000'000);
    REQUIRE(server);
    m_server = std::move(server.value());
    m_server->setLimits(config.limits);
    REQUIRE(pipe(m_pipe) == 0);
    m_pipeWatch = std::make_unique<DescriptorWatch>(m_loop, m_pipe[0],
                                                    [this](bool, bool) { takeCommand(); });
    m_pipeWatch->want(true, false);
    m_thread = std::thread([this] { m_loop.run(); });
}

// One byte on the pipe is one command to the thread of the loop.
void EdgeWorld::takeCommand()
{
    char command = 0;
    const ssize_t count = read(m_pipe[0], &command, 1);
    if (count != 1 || !m_command) {
        m_loop.stop();
        return;
    }
    std::exchange(m_command, {})();
    m_commandDone.set_value();
}

void EdgeWorld::onLoop(std::function<void()> command)
{
    m_command = std::move(command);
    m_commandDone = {};
    REQUIRE(write(m_pipe[1], "c", 1) == 1);
    m_commandDone.get_future().wait();
}

void EdgeWorld::stopAccepting()
{
    onLoop([this] { m_server->stopAccepting(); });
}

std::size_t EdgeWorld::openRequests()
{
    std::size_t count = 0;
    onLoop([&] { count = m_forwarder->openRequests(); });
    return count;
}

void EdgeWorld::setLent(bool lent)
{
    onLoop([&] { m_isLent = lent; });
}

std::uint64_t EdgeWorld::submit(IncomingRequest request)
{
    const std::uint64_t id = m_forwarder->submit(std::move(request));
    QuotaLedger &quotas = m_forwarder->quotas();
    if (!m_isLent || !quotas.isAskDue(m_loop.now()))
        return id;
    if (const auto ask = quotas.ask({ "vm-2" }, m_loop.now())) {
        QuotaLoan loan{ "vm-2", ask->requestId, {} };
        for (const auto &[organisation, tokens] : ask->tokens)
            loan.tokens[organisation] = 1;
        m_loop.defer([this, loan] {
            m_forwarder->quotas().borrow(loan, m_loop.now());
            m_forwarder->serveTokens();
        });
    }
    return id;
}

EdgeWorld::~EdgeWorld()
{
    const ssize_t written = write(m_pipe[1], "x", 1);
    static_cast<void>(written);
    m_thread.join();
    m_pipeWatch.reset();
    close(m_pipe[0]);
    close(m_pipe[1]);
}

std::unique_ptr<standin::RawSocket> EdgeWorld::call(const std::string &bytes)
{
    auto socket = standin::RawSocket::connect(m_address);
    REQUIRE(socket);
    REQUIRE(socket->send(bytes));
    return socket;
}

EdgeWorld::Arrival EdgeWorld::arrival(std::size_t index)
{
    Arrival arrival;
    arrival.socket = target(index).accept();
    REQUIRE(arrival.socket);
    const auto head = standin::readHead(*arrival.socket);
    REQUIRE(head);
    arrival.head = *head;
    return arrival;
}

std::size_t EdgeWorld::homeOf(const std::string &route, const std::string &object) const
{
    std::vector<PlacementTarget> placed;
    for (std::size_t i = 0; i < m_listeners.size(); ++i)
        placed.push_back({ "i-" + std::to_string(i), "north", 4 });
    Placement placement;
    placement.setTargets(placed);
    const auto homes = placement.candidates(stableHash(route, object), "north", {}, 1);
    return static_cast<std::size_t>(std::stoi(std::string(homes.preferred.front().substr(2))));
}

std::string EdgeWorld::objectAt(const std::string &route, std::size_t target) const
{
    int object = 0;
    while (homeOf(route, std::to_string(object)) != target)
        ++object;
    return std::to_string(object);
}

std::string EdgeWorld::request(const std::string &method, const std::string &path,
                               const std::string &id, const std::string &fields,
                               const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: gauge.example\r\nRequest-Id: " + id
                       + "\r\nApi-Key: " + key + "\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string EdgeWorld::answer(const std::string &id, const std::string &body,
                              const std::string &fields, int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id
           + "\r\nResponse-Seal: s." + id + "\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace basildeck::test
