#include "EdgeFixture.h"

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
    route.latencyObjectiveMs = 2000;
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

FleetConfig EdgeFixture::makeConfig() const
{
    FleetConfig config;
    config.routes = {
        makeRoute("/safe/", Idempotence::Always),   makeRoute("/unsafe/", Idempotence::Never),
        makeRoute("/quick/", Idempotence::Always),  makeRoute("/open/", Idempotence::Always),
        makeRoute("/prompt/", Idempotence::Always), makeRoute("/homed/", Idempotence::Always)
    };
    config.routes[5].allowedRegions = { homeRegion };
    config.routes[2].timeoutMs = 200;
    config.routes[3].open = true;
    config.routes[4].timeoutMs = shortObjectiveTimeoutMs;
    config.routes[4].latencyObjectiveMs = 300;
    config.organisations
            = { makeOrganisation("alpha", key, 0), makeOrganisation("beta", lowQuotaKey, 0.001) };
    Service service;
    service.name = "gauge";
    config.services = { service };
    config.limits.maxHeaderBytes = 4096;
    config.limits.maxBodyBytes = 100'000;
    return config;
}

EdgeFixture::EdgeFixture(std::size_t targetCount, int slots, const std::string &vm,
                         const std::string &region, std::size_t memoryBytes, int hedgePercent)
{
    m_settings.memoryBytes = memoryBytes;
    m_settings.vmName = vm;
    m_settings.hedgePercent = hedgePercent;
    m_settings.region = region;
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
        m_targets->registerTarget({ "i-" + std::to_string(i), "gauge",
                                    m_listeners.back()->address(), "north-a", slots, false,
                                    milliseconds(0), 0 },
                                  m_loop.now());
    }
    m_forwarder->setRouting(std::make_shared<RoutingTable>(config, 1));
    m_address = { ip, standin::freePort(ip) };
    auto server = EdgeServer::make(
            m_loop, m_address,
            { [this](IncomingRequest request) { return submit(std::move(request)); },
              [this](const ResponseSink &sink, ErrorKind kind) {
                  m_forwarder->refuseUnreadable(sink, kind);
              },
              [this](std::uint64_t id) { m_forwarder->callerDisconnected(id); },
              [this](std::uint64_t id) { m_forwarder->callerOutputDrained(id); },
              [this](std::uint64_t id) { m_forwarder->responseIsNext(id); } },
            m_forwarder->memory());
    REQUIRE(server);
    m_server = std::move(server.value());
    m_server->setLimits(config.limits);
    m_peerAddress = { ip, standin::freePort(ip) };
    auto peerServer
            = EdgeServer::make(m_loop, m_peerAddress,
                               { [this](IncomingRequest request) {
                                    return m_forwarder->submitForPeer(std::move(request));
                                },
                                 [this](const ResponseSink &sink, ErrorKind kind) {
                                     m_forwarder->declineUnreadable(sink, kind);
                                 },
                                 [this](std::uint64_t id) { m_forwarder->callerDisconnected(id); },
                                 [this](std::uint64_t id) { m_forwarder->callerOutputDrained(id); },
                                 [this](std::uint64_t id) { m_forwarder->responseIsNext(id); } },
                               m_forwarder->memory());
    REQUIRE(peerServer);
    m_peerServer = std::move(peerServer.value());
    m_peerServer->setLimits(config.limits);
    REQUIRE(pipe(m_pipe) == 0);
    m_pipeWatch = std::make_unique<DescriptorWatcher>(m_loop, m_pipe[0],
                                                      [this](bool, bool) { runCommand(); });
    m_pipeWatch->setInterest(true, false);
    m_thread = std::thread([this] { m_loop.run(); });
}

// Each byte written to the pipe signals one command to the loop's thread.
void EdgeFixture::runCommand()
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

void EdgeFixture::runOnLoop(std::function<void()> command)
{
    m_command = std::move(command);
    m_commandDone = {};
    REQUIRE(write(m_pipe[1], "c", 1) == 1);
    m_commandDone.get_future().wait();
}

void EdgeFixture::stopAccepting()
{
    runOnLoop([this] { m_server->stopAccepting(); });
}

void EdgeFixture::beginShutdown(const ShutdownSchedule &schedule)
{
    runOnLoop([&] { m_forwarder->beginShutdown(schedule); });
}

void EdgeFixture::endRequests()
{
    runOnLoop([this] { m_forwarder->endRequests(); });
}

std::size_t EdgeFixture::openRequests()
{
    std::size_t count = 0;
    runOnLoop([&] { count = m_forwarder->openRequests(); });
    return count;
}

std::size_t EdgeFixture::heldMemory()
{
    std::size_t bytes = 0;
    runOnLoop([&] { bytes = m_forwarder->memory().held(); });
    return bytes;
}

std::uint64_t EdgeFixture::memoryPauses(MemoryUse use)
{
    std::uint64_t count = 0;
    runOnLoop([&] { count = m_forwarder->memory().pauses(use); });
    return count;
}

ForwardingPeer EdgeFixture::asPeer() const
{
    return { m_settings.vmName, m_settings.region, m_peerAddress };
}

void EdgeFixture::setPartitioned(bool isPartitioned)
{
    runOnLoop([&] { m_forwarder->setPartitionedFromTargets(isPartitioned); });
}

void EdgeFixture::setForwardingPeers(std::vector<ForwardingPeer> peers)
{
    runOnLoop([&] { m_forwarder->setForwardingPeers(std::move(peers)); });
}

std::string EdgeFixture::peerMetrics()
{
    std::string text;
    runOnLoop([&] { text = m_forwarder->peerMetricsText(); });
    return text;
}

std::string EdgeFixture::metrics()
{
    std::string text;
    runOnLoop([&] { text = m_forwarder->metrics().prometheusText(); });
    return text;
}

void EdgeFixture::removeRoute(const std::string &prefix)
{
    runOnLoop([&] {
        FleetConfig config = makeConfig();
        std::erase_if(config.routes,
                      [&](const Route &route) { return route.pathPrefix == prefix; });
        m_forwarder->setRouting(std::make_shared<RoutingTable>(config, 2));
    });
}

void EdgeFixture::setMaxBodyBytes(std::size_t bytes)
{
    runOnLoop([&] {
        CallerLimits limits = makeConfig().limits;
        limits.maxBodyBytes = bytes;
        m_server->setLimits(limits);
        m_peerServer->setLimits(limits);
    });
}

std::uint64_t EdgeFixture::setConfigAge(std::optional<Duration> age, Duration oldAge,
                                        ErrorKind reason)
{
    std::uint64_t count = 0;
    runOnLoop([&] {
        m_forwarder->setConfigAge([age] { return age; }, oldAge);
        const auto found = m_forwarder->refusalsByOldConfig().find(reason);
        count = found == m_forwarder->refusalsByOldConfig().end() ? 0 : found->second;
    });
    return count;
}

void EdgeFixture::setLoansGranted(bool granted)
{
    runOnLoop([&] {
        m_loansGranted = granted;
        Heartbeat lender;
        lender.vm = "vm-2";
        m_forwarder->quotas().setFleet(
                { { { "vm-1", "north" }, { "vm-2", "north" } }, 2, { &lender } }, m_loop.now());
    });
}

void EdgeFixture::usePermits(const std::vector<std::string> &coordinators)
{
    runOnLoop([&] {
        m_targets->noteLoad(*m_targets->find("i-0"), { 0, 0, 1, 100 }, m_loop.now());
        m_forwarder->setOnAccessMessage(
                [this](const std::string & /*vm*/, const AccessMessage &message) {
                    m_accessMessages.push_back(message);
                });
        m_forwarder->setAccessVms(coordinators, { coordinators.begin(), coordinators.end() });
    });
}

int EdgeFixture::accessMetric(const std::string &name)
{
    std::string text;
    runOnLoop([&] { text = m_forwarder->accessMetricsText(); });
    const std::size_t at = text.find("basildeck_" + name + " ");
    REQUIRE(at != std::string::npos);
    return std::stoi(text.substr(text.find(' ', at)));
}

std::vector<AccessMessage> EdgeFixture::accessMessages()
{
    std::vector<AccessMessage> messages;
    runOnLoop([&] { messages = m_accessMessages; });
    return messages;
}

void EdgeFixture::receive(const AccessMessage &message)
{
    runOnLoop([&] { m_forwarder->handleAccessMessage(message); });
}

std::uint64_t EdgeFixture::submit(IncomingRequest request)
{
    const std::uint64_t id = m_forwarder->submit(std::move(request));
    QuotaManager &quotas = m_forwarder->quotas();
    if (!m_loansGranted || !quotas.isRequestDue(m_loop.now()))
        return id;
    for (const auto &[lender, request] : quotas.makeRequests(m_loop.now())) {
        QuotaLoan loan{ lender, request.requestId, {} };
        for (const auto &[organisation, tokens] : request.tokens)
            loan.tokens[organisation] = 1;
        m_loop.defer([this, loan] {
            m_forwarder->quotas().borrow(loan, m_loop.now());
            m_forwarder->resolveTokenWaits();
        });
    }
    return id;
}

EdgeFixture::~EdgeFixture()
{
    const ssize_t written = write(m_pipe[1], "x", 1);
    static_cast<void>(written);
    m_thread.join();
    m_pipeWatch.reset();
    close(m_pipe[0]);
    close(m_pipe[1]);
}

std::unique_ptr<standin::RawSocket> EdgeFixture::sendAsCaller(const std::string &bytes)
{
    auto socket = standin::RawSocket::connect(m_address);
    REQUIRE(socket);
    REQUIRE(socket->send(bytes));
    return socket;
}

EdgeFixture::TargetRequest EdgeFixture::awaitRequest(std::size_t index)
{
    TargetRequest received;
    received.socket = target(index).accept();
    REQUIRE(received.socket);
    const auto head = standin::readHead(*received.socket);
    REQUIRE(head);
    received.head = *head;
    return received;
}

std::size_t EdgeFixture::targetOf(const std::string &route, const std::string &object) const
{
    std::vector<PlacementTarget> placed;
    for (std::size_t i = 0; i < m_listeners.size(); ++i)
        placed.push_back({ "i-" + std::to_string(i), "north", 4 });
    Placement placement;
    placement.setTargets(placed);
    const auto homes = placement.candidates(stableHash(route, object), "north", {}, 1);
    return static_cast<std::size_t>(std::stoi(std::string(homes.preferred.front().substr(2))));
}

std::string EdgeFixture::objectPlacedAt(const std::string &route, std::size_t target) const
{
    int object = 0;
    while (targetOf(route, std::to_string(object)) != target)
        ++object;
    return std::to_string(object);
}

std::string EdgeFixture::request(const std::string &method, const std::string &path,
                                 const std::string &id, const std::string &fields,
                                 const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: gauge.example\r\nRequest-Id: " + id
                       + "\r\nApi-Key: " + key + "\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string EdgeFixture::sealedResponse(const std::string &id, const std::string &body,
                                        const std::string &fields, int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + id
           + "\r\nResponse-Seal: s." + id + "\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace basildeck::test
