#include "basildeck/ErrorKind.h"

#include <array>

namespace basildeck {

namespace {

constexpr std::array<ErrorResponse, errorKindCount> responses = { {
        { "bad-request", 400, RunState::NotRun, 0 },
        { "length-required", 411, RunState::NotRun, 0 },
        { "body-too-large", 413, RunState::NotRun, 0 },
        { "unknown-route", 404, RunState::NotRun, 0 },
        { "key-missing", 401, RunState::NotRun, 0 },
        { "key-unknown", 401, RunState::NotRun, 0 },
        { "organisation-not-allowed", 403, RunState::NotRun, 0 },
        { "over-rate", 429, RunState::NotRun, 1 },
        { "queue-full", 503, RunState::NotRun, 1 },
        { "deadline-exceeded", 504, RunState::NotRun, 0 },
        { "no-target", 503, RunState::NotRun, 2 },
        { "targets-shed", 503, RunState::NotRun, 1 },
        { "connect-failed", 502, RunState::NotRun, 1 },
        { "upstream-lost", 502, RunState::Unknown, 0 },
        { "upstream-timeout", 504, RunState::Unknown, 0 },
        { "answer-invalid", 502, RunState::Unknown, 0 },
        { "claim-unavailable", 503, RunState::NotRun, 2 },
        { "claim-in-progress", 409, RunState::Unknown, 1 },
        { "claim-outcome-unknown", 409, RunState::Unknown, 0 },
        { "claim-mismatch", 422, RunState::NotRun, 0 },
        { "quarantined", 422, RunState::NotRun, 0 },
        { "cut-off", 503, RunState::NotRun, 2 },
        { "no-configuration", 503, RunState::NotRun, 2 },
        { "leaving", 503, RunState::NotRun, 1 },
        { "operator-token-invalid", 401, RunState::NotRun, 0 },
        { "invalid-object", 422, RunState::NotRun, 0 },
        { "invalid-setting", 422, RunState::NotRun, 0 },
        { "edit-conflict", 409, RunState::NotRun, 0 },
        { "not-found", 404, RunState::NotRun, 0 },
        { "store-unavailable", 503, RunState::NotRun, 2 },
        { "store-answer-lost", 503, RunState::Unknown, 2 },
        { "head-too-large", 431, RunState::NotRun, 0 },
        { "head-timeout", 408, RunState::NotRun, 0 },
        { "internal", 500, RunState::Unknown, 0 },
} };

} // namespace

const ErrorResponse &errorResponse(ErrorKind kind)
{
    return responses.at(static_cast<std::size_t>(kind));
}

std::string_view runStateName(RunState run)
{
    return run == RunState::NotRun ? "not-run" : "unknown";
}

} // namespace basildeck
