#pragma once

#include "http/LwsLoop.h"
#include "http/UpstreamClient.h"
#include "standin/RawSocket.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace basildeck::test {

// A request of `entry`, and what its upstream sends once it has read the head.
struct EntryScript
{
    std::vector<std::string> parts;
    std::string method = "GET";
    std::size_t uploadBytes = 0;
    bool isReset = false; // the upstream resets the connection after its response
    // Time between two parts, so that they are read one by one.
    std::chrono::milliseconds partGap{ 30 };
    seconds loopTimeout{ 20 };
};

// What `entry` makes of an upstream's response.
struct EntryOutcome
{
    std::optional<int> status;
    bool isSelfDelimited = false;
    std::string body;
    std::optional<AttemptResult> attemptResult;
};

inline void playUpstream(standin::RawListener &listener, const EntryScript &script)
{
    const auto socket = listener.accept();
    if (!socket)
        return;
    socket->setTimeout(1000);
    if (!standin::readHead(*socket))
        return;
    for (const std::string &part : script.parts) {
        if (&part != &script.parts.front())
            std::this_thread::sleep_for(script.partGap);
        socket->send(part);
    }
    if (script.isReset)
        socket->resetOnClose();
    else
        socket->receive(); // until the client closes the connection
}

inline EntryOutcome respondToEntry(const EntryScript &script)
{
    const auto listener = standin::RawListener::make("127.0.0.1", 0);
    auto loop = LwsLoop::make({ .timeout = script.loopTimeout });
    const std::string upload(script.uploadBytes, 'u');
    std::string_view unsent = upload;
    EntryOutcome outcome;
    const auto client = UpstreamClient::make(
            *loop,
            { [&](UpstreamClient::AttemptId, std::size_t maxBytes) {
                 const std::string_view part = unsent.substr(0, maxBytes);
                 unsent.remove_prefix(part.size());
                 return UpstreamClient::BodyPart{ part, unsent.empty() };
             },
              [&](UpstreamClient::AttemptId, const UpstreamResponseHead &head) {
                  outcome.status = head.status;
                  outcome.isSelfDelimited = head.selfDelimited;
              },
              [&](UpstreamClient::AttemptId, std::string_view part) { outcome.body += part; },
              [&](UpstreamClient::AttemptId, AttemptResult result) {
                  outcome.attemptResult = result;
              } });
    std::thread upstream([&] { playUpstream(*listener, script); });
    UpstreamRequest request{ script.method, "/", "gauge.example", {}, {} };
    if (script.uploadBytes > 0)
        request.contentLength = script.uploadBytes;
    client->startAttempt(listener->address(), std::move(request));
    const Time deadline = Clock::now() + seconds(10);
    while (!outcome.attemptResult && Clock::now() < deadline)
        loop->serviceOnce();
    listener->stop();
    upstream.join();
    // Closes what is still open, of which the client is told.
    loop.reset();
    return outcome;
}

} // namespace basildeck::test
