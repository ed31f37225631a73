#include "BenchFleet.h"
#include "Benchmark.h"

#include <libwebsockets.h>

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <fstream>
#include <iostream>
#include <thread>

namespace basildeck::bench {

namespace {

using standin::describe;
using standin::LoadOptions;
using standin::LoadResult;
using standin::makeRequest;

constexpr int lookupConnections = 50;

// A bare server of the library that answers a constant: the ceiling for look-ups.
class BareServer
{
public:
    explicit BareServer(std::uint16_t port)
    {
        m_protocols[0].name = "http";
        m_protocols[0].callback = callback;
        lws_context_creation_info info{};
        info.port = port;
        info.iface = "127.0.0.1";
        info.protocols = m_protocols;
        info.gid = -1;
        info.uid = -1;
        lws_set_log_level(0, nullptr);
        m_context = lws_create_context(&info);
        m_thread = std::thread([this] {
            while (!m_stopped)
                lws_service(m_context, 0);
        });
    }
    ~BareServer()
    {
        m_stopped = true;
        lws_cancel_service(m_context);
        m_thread.join();
        lws_context_destroy(m_context);
    }
    BareServer(const BareServer &) = delete;
    BareServer &operator=(const BareServer &) = delete;

private:
    static int callback(lws *connection, lws_callback_reasons reason, void *user, void *in,
                        std::size_t length)
    {
        if (reason != LWS_CALLBACK_HTTP)
            return lws_callback_http_dummy(connection, reason, user, in, length);
        static const std::string body(400, 'x');
        unsigned char buffer[LWS_PRE + 2048];
        unsigned char *start = buffer + LWS_PRE;
        unsigned char *at = start;
        unsigned char *end = buffer + sizeof buffer;
        if (lws_add_http_common_headers(connection, 200, "application/json", body.size(), &at, end)
            != 0)
            return -1;
        if (lws_finalize_http_header(connection, &at, end) != 0)
            return -1;
        std::memcpy(at, body.data(), body.size());
        at += body.size();
        lws_write(connection, start, static_cast<std::size_t>(at - start), LWS_WRITE_HTTP_HEADERS);
        return lws_http_transaction_completed(connection) != 0 ? -1 : 0;
    }

    lws_protocols m_protocols[2]{};
    lws_context *m_context;
    std::atomic<bool> m_stopped{ false };
    std::thread m_thread;
};

void runLookups()
{
    BenchFleet fleet(1, 4);
    const std::uint16_t barePort = standin::freePort();
    BareServer bare(barePort);
    LoadOptions lookups;
    lookups.to = fleet.caller(0);
    lookups.request = makeRequest("GET", "/basildeck/v1/entries");
    lookups.connections = lookupConnections;
    lookups.duration = seconds(3);
    LoadOptions constant = lookups;
    constant.to = { "127.0.0.1", barePort };
    for (int round = 1; round <= 3; ++round) {
        const LoadResult ours = standin::runLoad(lookups);
        const LoadResult ceiling = standin::runLoad(constant);
        std::cout << "round " << round << " look-ups: " << describe(ours) << '\n'
                  << "round " << round << " constant: " << describe(ceiling) << '\n'
                  << "round " << round << " ratio: " << ours.perSecond() / ceiling.perSecond()
                  << '\n';
    }
}

void runForwarding()
{
    BenchFleet fleet(1, 6);
    LoadOptions direct;
    direct.to = fleet.upstream(0).address();
    direct.request = makeRequest("GET", "/main");
    direct.connections = 24;
    direct.ratePerSecond = 1000;
    direct.duration = seconds(5);
    LoadOptions forwarded = direct;
    forwarded.to = fleet.caller(0);
    forwarded.request = fleet.request("GET", "/main");
    for (int round = 1; round <= 3; ++round) {
        const LoadResult straight = standin::runLoad(direct);
        const LoadResult through = standin::runLoad(forwarded);
        std::cout << "round " << round << " direct:    " << describe(straight) << '\n'
                  << "round " << round << " forwarded: " << describe(through) << '\n'
                  << "round " << round << " added: p50 "
                  << static_cast<long>(through.quantileUs(0.5)) - straight.quantileUs(0.5)
                  << " us, p99 "
                  << static_cast<long>(through.quantileUs(0.99)) - straight.quantileUs(0.99)
                  << " us\n";
    }
}

std::size_t residentBytes()
{
    std::ifstream stream("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    stream >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// The most memory that was resident while a piece of work went on.
class PeakMemory
{
public:
    PeakMemory()
        : m_start(residentBytes())
    {}
    void sample() { m_peak = std::max(m_peak, residentBytes()); }
    double grownMb() const
    {
        return m_peak > m_start ? static_cast<double>(m_peak - m_start) / 1e6 : 0;
    }

private:
    std::size_t m_start;
    std::size_t m_peak = 0;
};

constexpr std::size_t gibibyte = 1024UL * 1024 * 1024;
constexpr std::size_t pauseEvery = 8UL * 1024 * 1024;
constexpr milliseconds readerPause{ 10 };

void runStreaming()
{
    BenchFleet fleet(1, 2);
    PeakMemory memory;
    const auto reader = standin::RawSocket::connect(fleet.caller(0));
    reader->setReceiveBufferSize(64 * 1024);
    reader->send(fleet.request("GET", "/main?bytes=" + std::to_string(gibibyte)));
    std::size_t received = 0;
    std::size_t nextPause = pauseEvery;
    while (received < gibibyte && reader->receive()) {
        received += reader->buffer().size();
        reader->buffer().clear();
        if (received < nextPause)
            continue;
        nextPause += pauseEvery;
        memory.sample();
        std::this_thread::sleep_for(readerPause);
    }
    std::cout << "answer: " << received << " bytes with the head, memory grew by "
              << memory.grownMb() << " MB\n";

    PeakMemory upload;
    const auto writer = standin::RawSocket::connect(fleet.caller(0));
    std::string head = fleet.request("PUT", "/main");
    head.insert(head.size() - 2, "Content-Length: " + std::to_string(gibibyte) + "\r\n");
    writer->send(head);
    const std::string block(1024 * 1024, 'u');
    for (std::size_t sent = 0; sent < gibibyte; sent += block.size()) {
        if (!writer->send(block))
            break;
        upload.sample();
    }
    const auto answer = standin::readResponse(*writer);
    std::cout << "request body: " << (answer ? answer->body : "no answer") << ", memory grew by "
              << upload.grownMb() << " MB\n";
}

const BenchmarkRegistration streaming("streaming", runStreaming);
const BenchmarkRegistration lookups("lookups", runLookups);
const BenchmarkRegistration forwarding("forwarding", runForwarding);

} // namespace

} // namespace basildeck::bench
