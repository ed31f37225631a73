#include "core/LogSink.h"

#include "basildeck/Time.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <utility>

namespace basildeck {

namespace {

// Output that waits for the reader.
constexpr std::size_t maxBuffered = 256 * 1024;

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
        if (!mayWrite(baseFileName, line))
            return;
        write(severity, std::string(message, length));
    }

private:
    struct Source
    {
        Time second;
        int lines = 0;
        std::uint64_t leftOut = 0;
    };

    bool mayWrite(const char *file, int line)
    {
        Source &source = m_sources[{ file, line }];
        const Time now = Clock::now();
        if (now - source.second >= seconds(1)) {
            if (source.leftOut > 0)
                write(google::INFO, "log: left out lines=" + std::to_string(source.leftOut)
                                            + " of=" + file + ":" + std::to_string(line));
            source = { now, 0, 0 };
        }
        if (source.lines < maxLinesPerSecond) {
            ++source.lines;
            return true;
        }
        ++source.leftOut;
        return false;
    }

    void write(google::LogSeverity severity, const std::string &message)
    {
        if (m_buffer.size() > maxBuffered) {
            ++m_leftOut;
            flush();
            return;
        }
        timespec now{};
        clock_gettime(CLOCK_REALTIME, &now);
        std::array<char, 40> stamp{};
        std::snprintf(stamp.data(), stamp.size(), "%lld.%03ld %c ",
                      static_cast<long long>(now.tv_sec), now.tv_nsec / 1000000,
                      google::GetLogSeverityName(severity)[0]);
        if (m_leftOut > 0)
            m_buffer.append(stamp.data())
                    .append("log: reader too slow, left out lines=" + std::to_string(m_leftOut)
                            + "\n");
        m_leftOut = 0;
        m_buffer.append(stamp.data()).append(message).append("\n");
        flush();
    }

    void flush()
    {
        const ssize_t written = ::write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
        if (written > 0)
            m_buffer.erase(0, static_cast<std::size_t>(written));
    }

    std::map<std::pair<std::string, int>, Source> m_sources;
    std::string m_buffer;
    std::uint64_t m_leftOut = 0;
};

LogSink::LogSink()
{
    google::InitGoogleLogging("basildeck");
    for (const google::LogSeverity severity :
         { google::INFO, google::WARNING, google::ERROR, google::FATAL })
        google::SetLogDestination(severity, "");
    // Only what ends the process goes to standard error as well.
    FLAGS_stderrthreshold = google::FATAL;
    m_impl = std::make_unique<Impl>();
}

LogSink::~LogSink() = default;

} // namespace basildeck
