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

// A minimal libwebsockets server that sends a constant response: the baseline for the rate of
// look-ups.
class ConstantServer
{
public:
    explicit ConstantServer(std::uint16_t port)
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
    ~ConstantServer()
    {
        m_stopped = true;
        lws_cancel_service(m_context);
        m_thread.join();
        lws_context_destroy(m_context);
    }
    ConstantServer(const ConstantServer &) = delete;
    ConstantServer &operator=(const ConstantServer &) = delete;

private:
    static int callback(lws *connection, lws_callback_reasons reason, void *user, void *in,
                        std::size_t length)
    {
        if (reason != LWS_CALLBACK_HTTP)
            return lws_callback_http_dummy(connection, reason, user, in, length);
        static const std::string body(400, 'x');
        unsigned char buffer[LWS_PRE + 2048];
        unsigned char *start = buffer + LWS_PRE;
        unsigned char *position = start;
        unsigned char *end = buffer + sizeof buffer;
        if (lws_add_http_common_headers(connection, 200, "application/json", body.size(), &position,
                                        end)
            != 0)
            return -1;
        if (lws_finalize_http_header(connection, &position, end) != 0)
            return -1;
        std::memcpy(position, body.data(), body.size());
        position += body.size();
        lws_write(connection, start, static_cast<std::size_t>(position - start),
                  LWS_WRITE_HTTP_HEADERS);
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
    const std::uint16_t constantPort = standin::freePort();
    ConstantServer constantServer(constantPort);
    LoadOptions lookups;
    lookups.to = fleet.caller(0);
    lookups.request = makeRequest("GET", "/basildeck/v1/entries");
    lookups.connections = lookupConnections;
    lookups.duration = seconds(3);
    LoadOptions constantLoad = lookups;
    constantLoad.to = { "127.0.0.1", constantPort };
    for (int round = 1; round <= 3; ++round) {
        const LoadResult lookupResult = standin::runLoad(lookups);
        const LoadResult constantResult = standin::runLoad(constantLoad);
        std::cout << "round " << round << " look-ups: " << describe(lookupResult) << '\n'
                  << "round " << round << " constant: " << describe(constantResult) << '\n'
                  << "round " << round
                  << " ratio: " << lookupResult.perSecond() / constantResult.perSecond() << '\n';
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
        const LoadResult directResult = standin::runLoad(direct);
        const LoadResult forwardedResult = standin::runLoad(forwarded);
        std::cout << "round " << round << " direct:    " << describe(directResult) << '\n'
                  << "round " << round << " forwarded: " << describe(forwardedResult) << '\n'
                  << "round " << round << " added: p50 "
                  << static_cast<long>(forwardedResult.quantileUs(0.5))
                             - directResult.quantileUs(0.5)
                  << " us, p99 "
                  << static_cast<long>(forwardedResult.quantileUs(0.99))
                             - directResult.quantileUs(0.99)
                  << " us\n";
    }
}

std::size_t residentBytes()
{
    std::ifstream stream("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    stream >> totalPages >> residentPages;
    return residentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Tracks the peak growth of resident memory over the samples since construction.
class PeakMemory
{
public:
    PeakMemory()
        : m_start(residentBytes())
    {}
    void sample() { m_peak = std::max(m_peak, residentBytes()); }
    double growthMb() const
    {
        return m_peak > m_start ? static_cast<double>(m_peak - m_start) / 1e6 : 0;
    }

private:
    std::size_t m_start;
    std::size_t m_peak = 0;
};

constexpr std::size_t gibibyte = 1024UL * 1024 * 1024;
constexpr std::size_t pauseIntervalBytes = 8UL * 1024 * 1024;
constexpr milliseconds readerPause{ 10 };

void runStreaming()
{
    BenchFleet fleet(1, 2);
    PeakMemory downloadMemory;
    const auto reader = standin::RawSocket::connect(fleet.caller(0));
    reader->setReceiveBufferSize(64 * 1024);
    reader->send(fleet.request("GET", "/main?bytes=" + std::to_string(gibibyte)));
    std::size_t received = 0;
    std::size_t nextPauseBytes = pauseIntervalBytes;
    while (received < gibibyte && reader->receive()) {
        received += reader->buffer().size();
        reader->buffer().clear();
        if (received < nextPauseBytes)
            continue;
        nextPauseBytes += pauseIntervalBytes;
        downloadMemory.sample();
        std::this_thread::sleep_for(readerPause);
    }
    std::cout << "answer: " << received << " bytes with the head, memory grew by "
              << downloadMemory.growthMb() << " MB\n";

    PeakMemory uploadMemory;
    const auto writer = standin::RawSocket::connect(fleet.caller(0));
    std::string head = fleet.request("PUT", "/main");
    head.insert(head.size() - 2, "Content-Length: " + std::to_string(gibibyte) + "\r\n");
    writer->send(head);
    const std::string block(1024 * 1024, 'u');
    for (std::size_t sent = 0; sent < gibibyte; sent += block.size()) {
        if (!writer->send(block))
            break;
        uploadMemory.sample();
    }
    const auto response = standin::readResponse(*writer);
    std::cout << "request body: " << (response ? response->body : "no answer")
              << ", memory grew by " << uploadMemory.growthMb() << " MB\n";
}

const BenchmarkRegistration streaming("streaming", runStreaming);
const BenchmarkRegistration lookups("lookups", runLookups);
const BenchmarkRegistration forwarding("forwarding", runForwarding);

} // namespace

} // namespace basildeck::bench
