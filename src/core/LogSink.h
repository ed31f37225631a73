#pragma once

#include "core/Log.h"

#include <memory>

namespace basildeck {

// Writes all log statements to standard output while it lives: time, severity and message, a line
// each. It never blocks: while the reader does not keep up, lines are left out, and a line that
// counts them follows. A part that repeats itself under load is cut to a number of lines a second.
class LogSink
{
public:
    // Lines a second of one source line.
    static constexpr int maxLinesPerSecond = 40;

    LogSink();
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace basildeck
