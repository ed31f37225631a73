#pragma once

#include "core/Log.h"

#include <memory>
#include <string>
#include <string_view>

namespace basildeck {

// Writes all log messages to standard output, one line each: time, severity and message.
//
// Writing never blocks. If the reader does not keep up, lines are dropped, and a line with their
// number follows. Each call site is limited to maxLinesPerSecond, so that one statement that
// repeats under load cannot flood the log.
class LogSink
{
public:
    // Applies to each source line that logs.
    static constexpr int maxLinesPerSecond = 40;

    // Returns a message with its control characters replaced by escapes such as "\x0a", because it
    // may quote names that others chose.
    static std::string toSingleLine(std::string_view message);

    LogSink();
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basildeck
