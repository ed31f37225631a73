#pragma once

#include <cstddef>
#include <string_view>

namespace basildeck {

// All errors that basildeck reports: responses that it generates itself instead of forwarding an
// upstream's, and errors passed between components. The table in ErrorKind.cpp has one row per
// kind, in the same order.
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

// Whether an upstream executed the request. NotRun is used only if that is certain.
enum class RunState { NotRun, Unknown };

// The HTTP response that reports an error kind.
struct ErrorResponse
{
    std::string_view name; // value of the Basildeck-Refusal header and of the metric label
    int status;            // HTTP status
    RunState run;          // value of the Basildeck-Run header
    int retryAfterSeconds; // value of the Retry-After header; 0 omits the header
};

// For arrays that are indexed by ErrorKind.
constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::Internal) + 1;

const ErrorResponse &errorResponse(ErrorKind kind);

// The value of the Basildeck-Run header: "not-run" or "unknown".
std::string_view runStateName(RunState run);

} // namespace basildeck
