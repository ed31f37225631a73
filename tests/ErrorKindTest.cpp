#include "basildeck/ErrorKind.h"

#include <doctest/doctest.h>

#include <set>
#include <string_view>

using namespace basildeck;

TEST_CASE("each error kind has one row with a name of its own and an HTTP status")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorKindCount; ++i) {
        const ErrorResponse &answer = errorResponse(static_cast<ErrorKind>(i));
        CHECK(!answer.name.empty());
        CHECK(names.insert(answer.name).second);
        CHECK(answer.status >= 400);
        CHECK(answer.status < 600);
    }
}

TEST_CASE("kinds that may follow a sent request never say not-run")
{
    for (const ErrorKind kind :
         { ErrorKind::UpstreamLost, ErrorKind::UpstreamTimeout, ErrorKind::AnswerInvalid,
           ErrorKind::ClaimOutcomeUnknown, ErrorKind::ClaimInProgress, ErrorKind::StoreAnswerLost })
        CHECK(errorResponse(kind).run == RunState::Unknown);
}
