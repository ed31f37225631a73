#include "standin/UpstreamStandin.h"

#include "basildeck/Time.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basildeck::standin {

namespace {

constexpr std::size_t blockSize = 64 * 1024;
constexpr milliseconds cancelCheckInterval{ 5 };
constexpr int idleTimeoutMs = 2'000;

HttpRequest parseRequestLine(const RawHead &head)
{
    HttpRequest request;
    const auto firstSpace = head.startLine.find(' ');
    const auto lastSpace = head.startLine.rfind(' ');
    if (firstSpace == std::string::npos || lastSpace <= firstSpace)
        return request;
    request.method = head.startLine.substr(0, firstSpace);
    const std::string target = head.startLine.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    const auto queryStart = target.find('?');
    request.path = target.substr(0, queryStart);
    request.query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
    return request;
}

long numberArgument(const HttpRequest &request, std::string_view name, long defaultValue)
{
    const std::string text = request.queryParameter(name);
    return text.empty() ? defaultValue : std::strtol(text.c_str(), nullptr, 10);
}

std::string toHex(std::size_t value)
{
    std::array<char, 24> text{};
    std::snprintf(text.data(), text.size(), "%zx", value);
    return text.data();
}

// Sends a body of the given length that repeats the pattern, in chunked encoding or as it is.
bool sendBody(RawSocket &socket, const std::string &pattern, std::size_t length, bool chunked)
{
    std::string block;
    while (block.size() < std::min(length, blockSize))
        block += pattern;
    for (std::size_t sent = 0; sent < length;) {
        const std::size_t byteCount = std::min(length - sent, block.size());
        const std::string_view bytes(block.data(), byteCount);
        if (chunked && !socket.send(toHex(byteCount) + "\r\n"))
            return false;
        if (!socket.send(bytes) || (chunked && !socket.send("\r\n")))
            return false;
        sent += byteCount;
    }
    return true;
}

// Waits, but returns early with false if the caller closes the connection.
bool waitUnlessCancelled(RawSocket &socket, milliseconds wait)
{
    const Time end = Clock::now() + wait;
    while (Clock::now() < end) {
        if (socket.peerClosed())
            return false;
        std::this_thread::sleep_for(std::min<Duration>(cancelCheckInterval, end - Clock::now()));
    }
    return true;
}

} // namespace

std::unique_ptr<UpstreamStandin> UpstreamStandin::make(const Options &options)
{
    auto listener = RawListener::make(options.ip, options.port);
    if (!listener)
        return nullptr;
    std::unique_ptr<UpstreamStandin> upstream(new UpstreamStandin(options, std::move(listener)));
    UpstreamStandin *self = upstream.get();
    upstream->m_acceptThread = std::thread([self] { self->accept(); });
    return upstream;
}

UpstreamStandin::~UpstreamStandin()
{
    m_stopped = true;
    m_listener->stop();
    m_acceptThread.join();
    m_queueChanged.notify_all();
    for (std::thread &worker : m_workers)
        worker.join();
}

UpstreamCounts UpstreamStandin::counts() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_counts;
}

std::map<std::string, int> UpstreamStandin::runsByKey() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_runsByKey;
}

RawHead UpstreamStandin::lastHead() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lastHead;
}

std::string UpstreamStandin::lastBody() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_lastBody;
}

void UpstreamStandin::accept()
{
    while (!m_stopped) {
        auto socket = m_listener->accept();
        if (!socket)
            return;
        std::lock_guard<std::mutex> lock(m_queueMutex);
        m_socketQueue.push_back(std::move(socket));
        if (m_idleWorkers < m_socketQueue.size())
            m_workers.emplace_back([this] { runWorker(); });
        m_queueChanged.notify_one();
    }
}

// Idle workers stay for later connections, to save the start of a thread for each connection.
void UpstreamStandin::runWorker()
{
    while (true) {
        std::unique_ptr<RawSocket> socket;
        {
            std::unique_lock<std::mutex> lock(m_queueMutex);
            ++m_idleWorkers;
            m_queueChanged.wait(lock, [&] { return m_stopped || !m_socketQueue.empty(); });
            --m_idleWorkers;
            if (m_socketQueue.empty())
                return;
            socket = std::move(m_socketQueue.front());
            m_socketQueue.pop_front();
        }
        serveConnection(*socket);
    }
}

void UpstreamStandin::serveConnection(RawSocket &socket)
{
    socket.setTimeout(idleTimeoutMs);
    while (!m_stopped && serveRequest(socket)) {
    }
}

bool UpstreamStandin::beginRequest(const RawHead &head)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    ++m_counts.requests;
    m_lastHead = head;
    if (!head.header("authorization").empty())
        ++m_counts.keysSeen;
    if (m_options.slots > 0 && m_counts.inFlight >= m_options.slots) {
        ++m_counts.shed;
        return false;
    }
    ++m_counts.runs;
    ++m_counts.inFlight;
    m_counts.maxInFlight = std::max(m_counts.maxInFlight, m_counts.inFlight);
    const std::string key(head.header("idempotency-key"));
    if (!key.empty())
        ++m_runsByKey[key];
    return true;
}

void UpstreamStandin::endRequest(bool cancelled)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    --m_counts.inFlight;
    m_counts.cancelled += cancelled ? 1 : 0;
}

bool UpstreamStandin::serveRequest(RawSocket &socket)
{
    const auto head = readHead(socket);
    if (!head)
        return false;
    const HttpRequest request = parseRequestLine(*head);
    if (!beginRequest(*head)) {
        socket.send("HTTP/1.1 503 Service Unavailable\r\nBasildeck-Run: not-run\r\n"
                    "Content-Length: 0\r\nConnection: close\r\n\r\n");
        return false;
    }
    std::size_t received = 0;
    std::string kept;
    const std::size_t length
            = std::strtoull(std::string(head->header("content-length")).c_str(), nullptr, 10);
    while (received < length) {
        if (socket.buffer().empty() && !socket.receive())
            break;
        const std::size_t byteCount = std::min(length - received, socket.buffer().size());
        if (kept.size() < blockSize)
            kept.append(socket.buffer(), 0, std::min(byteCount, blockSize));
        socket.buffer().erase(0, byteCount);
        received += byteCount;
    }
    if (received < length || m_crashing) {
        endRequest(received < length);
        return false;
    }
    const bool isConnected
            = waitUnlessCancelled(socket, milliseconds(numberArgument(request, "sleepMs", 0)));
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_lastBody = kept;
    }
    const nlohmann::json body = { { "target", m_options.name },
                                  { "method", request.method },
                                  { "path", request.path },
                                  { "query", request.query },
                                  { "received", received } };
    // The slot is released before the response is sent, so that a caller that has received its
    // response finds the slot free.
    endRequest(!isConnected);
    return isConnected && sendResponse(socket, request, body.dump());
}

bool UpstreamStandin::sendResponse(RawSocket &socket, const HttpRequest &request,
                                   const std::string &body)
{
    const long status = numberArgument(request, "status", 200);
    const std::string frame = request.queryParameter("frame");
    const std::size_t length = static_cast<std::size_t>(
            numberArgument(request, "bytes", static_cast<long>(body.size())));
    std::string head = "HTTP/1.1 " + std::to_string(status) + " Status\r\n"
                       + "Content-Type: application/json\r\n";
    if (const std::string location = request.queryParameter("location"); !location.empty())
        head += "Location: " + location + "\r\n";
    if (frame == "none")
        return false;
    if (frame == "half-head") {
        socket.send("HTTP/1.1 200 OK\r\nContent-Le");
        return false;
    }
    if (frame == "garbage") {
        socket.send("\x01\x02 not an answer\r\n\r\n");
        return false;
    }
    const bool chunked = frame == "chunked" || frame == "cut-chunked";
    if (chunked)
        head += "Transfer-Encoding: chunked\r\n";
    else if (frame != "close" && status != 204 && status != 304)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    if (!socket.send(head + "\r\n"))
        return false;
    if (request.method == "HEAD" || status == 204 || status == 304)
        return true;
    const bool cut = frame == "cut" || frame == "cut-chunked";
    if (!sendBody(socket, body, cut ? length / 2 : length, chunked) || cut)
        return false;
    if (chunked && !socket.send("0\r\n\r\n"))
        return false;
    return frame != "close";
}

} // namespace basildeck::standin
