#include "core/LogSink.h"

#include "basildeck/Time.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cctype>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <utility>

namespace basildeck {

namespace {

// Limit of output that the reader of standard output has not taken yet; beyond it, lines are
// dropped.
constexpr std::size_t maxBufferedBytes = 256 * 1024;

} // namespace

class LogSink::Impl final : public google::LogSink
{
public:
    Impl()
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        google::AddLogSink(this);
    }

    ~Impl() override
    {
        google::RemoveLogSink(this);
        flush();
    }

    void send(google::LogSeverity severity, const char *, const char *baseFileName, int line,
              const google::LogMessageTime &, const char *message, size_t length) override
    {
        if (!admit(baseFileName, line))
            return;
        write(severity, toSingleLine({ message, length }));
    }

private:
    struct CallSite
    {
        Time windowStart;
        int lines = 0;
        std::uint64_t droppedLines = 0;
    };

    // Applies the limit on lines per second of one call site.
    bool admit(const char *file, int line)
    {
        CallSite &callSite = m_callSites[{ file, line }];
        const Time now = Clock::now();
        if (now - callSite.windowStart >= seconds(1)) {
            if (callSite.droppedLines > 0)
                write(google::INFO, "log: left out lines=" + std::to_string(callSite.droppedLines)
                                            + " of=" + file + ":" + std::to_string(line));
            callSite = { now, 0, 0 };
        }
        if (callSite.lines < maxLinesPerSecond) {
            ++callSite.lines;
            return true;
        }
        ++callSite.droppedLines;
        return false;
    }

    void write(google::LogSeverity severity, const std::string &message)
    {
        if (m_buffer.size() > maxBufferedBytes) {
            ++m_droppedLines;
            flush();
            return;
        }
        timespec now{};
        clock_gettime(CLOCK_REALTIME, &now);
        std::array<char, 40> prefix{};
        std::snprintf(prefix.data(), prefix.size(), "%lld.%03ld %c ",
                      static_cast<long long>(now.tv_sec), now.tv_nsec / 1000000,
                      google::GetLogSeverityName(severity)[0]);
        if (m_droppedLines > 0)
            m_buffer.append(prefix.data())
                    .append("log: reader too slow, left out lines=" + std::to_string(m_droppedLines)
                            + "\n");
        m_droppedLines = 0;
        m_buffer.append(prefix.data()).append(message).append("\n");
        flush();
    }

    void flush()
    {
        const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        if (written > 0)
            m_buffer.erase(0, static_cast<std::size_t>(written));
    }

    std::map<std::pair<std::string, int>, CallSite> m_callSites;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

std::string LogSink::toSingleLine(std::string_view message)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string line;
    line.reserve(message.size());
    for (const char character : message) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::iscntrl(byte) == 0) {
            line += character;
            continue;
        }
        line += "\\x";
        line += digits[byte >> 4];
        line += digits[byte & 15];
    }
    return line;
}

LogSink::LogSink()
{
    google::InitGoogleLogging("basildeck");
    for (const google::LogSeverity severity :
         { google::INFO, google::WARNING, google::ERROR, google::FATAL })
        google::SetLogDestination(severity, "");
    // Fatal messages also go to standard error.
    FLAGS_stderrthreshold = google::FATAL;
    m_impl = std::make_unique<Impl>();
}

LogSink::~LogSink() = default;

} // namespace basildeck
