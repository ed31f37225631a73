#pragma once

#include <glog/logging.h>
// glog's CHECK aborts the process; the tests use doctest's.
#undef CHECK

#include <algorithm>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace basildeck::test {

// Captures all log lines during its lifetime.
class LogCapture final : public google::LogSink
{
public:
    LogCapture()
    {
        for (const google::LogSeverity severity : { google::INFO, google::WARNING, google::ERROR })
            google::SetLogDestination(severity, "");
        FLAGS_minloglevel = google::INFO;
        FLAGS_stderrthreshold = google::FATAL;
        google::AddLogSink(this);
    }
    ~LogCapture() override
    {
        google::RemoveLogSink(this);
        FLAGS_minloglevel = google::FATAL;
    }

    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &,
              const char *message, size_t length) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_lines.emplace_back(message, length);
    }

    // Like line(), but waits for it, because a response may arrive before its line is logged.
    std::string waitForLine(const std::vector<std::string> &words) const
    {
        std::string found = line(words);
        for (int i = 0; i < 1'000'000 && found.empty(); ++i) {
            std::this_thread::yield();
            found = line(words);
        }
        return found;
    }

    // Returns the first line that contains all words, or an empty string.
    std::string line(const std::vector<std::string> &words) const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::string &text : m_lines) {
            const bool hasAll = std::all_of(words.begin(), words.end(), [&](const std::string &w) {
                return text.find(w) != std::string::npos;
            });
            if (hasAll)
                return text;
        }
        return {};
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

} // namespace basildeck::test
