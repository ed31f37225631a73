#pragma once

#include "basildeck/Time.h"

namespace basildeck {

// The phases of the shutdown of an entry VM, as points in time. Requests are accepted for as long
// as callers may still choose the VM, but early enough that nearly all of them end by themselves.
struct ShutdownSchedule
{
    // Limits the time in which requests are accepted.
    static constexpr Duration maxAcceptTime = milliseconds(2500);
    // Limits the time that is reserved for delivering the responses to the remaining requests.
    static constexpr Duration maxDeliveryTime = milliseconds(900);
    // Limits the time that is reserved for the exit of the process.
    static constexpr Duration maxExitTime = milliseconds(300);

    Time signalledAt;           // the process received SIGTERM
    Time closeAfterResponsesAt; // connections close after their responses from now on
    Time acceptUntil;           // requests that arrive later are refused
    Time endRequestsAt;         // requests that are still running are ended
    Time exitAt;                // the process exits even if output is not delivered yet

    // Divides the grace period, after which the platform kills the process.
    static ShutdownSchedule make(Time signalledAt, Duration grace);
    // The next phase that begins later than a time; that time itself after the last phase.
    Time nextPhaseAfter(Time now) const;
};

} // namespace basildeck
