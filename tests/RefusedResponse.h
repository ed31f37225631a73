#pragma once

#include "ScriptedStore.h"
#include "TwoEdges.h"
#include "edge/JsonHttpClient.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

namespace basildeck::test {

// Checks that a caller is told that its request may have run, and gets nothing of a response with
// the body "odd!".
inline void checkMayHaveRun(standin::RawSocket &caller, bool hasBody = true)
{
    const auto answer = standin::readResponse(caller, hasBody);
    REQUIRE(answer);
    CHECK(answer->head.status() == 502);
    CHECK(answer->head.header("basildeck-run") == "unknown");
    CHECK(answer->body.find("odd!") == std::string::npos);
}

// Returns what the store's client reports of a response.
inline std::string storeFailure(const std::string &response)
{
    EventLoop loop;
    ScriptedStore store(loop);
    JsonHttpClient client(loop);
    std::optional<Result<JsonHttpResponse>> result;
    client.call(store.address(), "GET", "/", {}, seconds(2),
                [&](Result<JsonHttpResponse> received) { result = std::move(received); });
    store.awaitRequest();
    store.send(response);
    while (!result)
        store.runLoopOnce();
    return *result ? "status " + std::to_string(result->value().status) : result->error().detail;
}

} // namespace basildeck::test
