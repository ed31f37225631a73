#pragma once

#include <cstddef>
#include <string_view>

namespace basildeck {

// Every reason for which basildeck itself answers a request, and every error that a part reports
// to another. The list is closed: the table in ErrorKind.cpp has one row for each kind.
enum class ErrorKind {
    BadRequest,
    LengthRequired,
    BodyTooLarge,
    UnknownRoute,
    KeyMissing,
    KeyUnknown,
    OrganisationNotAllowed,
    OverRate,
    QueueFull,
    DeadlineExceeded,
    NoTarget,
    TargetsShed,
    ConnectFailed,
    UpstreamLost,
    UpstreamTimeout,
    AnswerInvalid,
    ClaimUnavailable,
    ClaimInProgress,
    ClaimOutcomeUnknown,
    ClaimMismatch,
    Quarantined,
    CutOff,
    NoConfiguration,
    Leaving,
    OperatorTokenInvalid,
    InvalidObject,
    InvalidSetting,
    EditConflict,
    NotFound,
    StoreUnavailable,
    StoreAnswerLost,
    HeadTooLarge,
    HeadTimeout,
    Internal,
};

// Whether the request was run by an upstream. Unknown unless it is proven that it was not.
enum class RunState { NotRun, Unknown };

// One row of the table from kind to answer.
struct ErrorResponse
{
    std::string_view name; // value of the Basildeck-Refusal header and label of the counter
    int status;            // HTTP status
    RunState run;          // value of the Basildeck-Run header
    int retryAfterSeconds; // value of Retry-After; 0 for none
};

// Number of kinds, for counters that are indexed by kind.
constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

// The answer of a kind.
const ErrorResponse &errorResponse(ErrorKind kind);

// The value of the Basildeck-Run header: "not-run" or "unknown".
std::string_view runStateName(RunState run);

} // namespace basildeck
