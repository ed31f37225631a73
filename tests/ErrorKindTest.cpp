#include "basildeck/ErrorKind.h"

#include <doctest/doctest.h>

#include <set>
#include <string_view>

using namespace basildeck;

TEST_CASE("each kind of error has a unique name and an HTTP error status")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < errorKindCount; ++i) {
        const ErrorResponse &response = errorResponse(static_cast<ErrorKind>(i));
        CHECK(!response.name.empty());
        CHECK(names.insert(response.name).second);
        CHECK(response.status >= 400);
        CHECK(response.status < 600);
    }
}

TEST_CASE("errors that may occur after a request was sent never report not-run")
{
    for (const ErrorKind kind :
         { ErrorKind::UpstreamLost, ErrorKind::UpstreamTimeout, ErrorKind::AnswerInvalid,
           ErrorKind::ClaimOutcomeUnknown, ErrorKind::ClaimInProgress, ErrorKind::StoreAnswerLost })
        CHECK(errorResponse(kind).run == RunState::Unknown);
}
