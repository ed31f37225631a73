#include "decide/hedge/ReportedLoad.h"

#include <charconv>

namespace basildeck {

namespace {

// Returns the part between two commas, or nothing if there are fewer parts.
std::optional<std::string_view> part(std::string_view text, int index)
{
    for (; index > 0; --index) {
        const std::size_t comma = text.find(',');
        if (comma == std::string_view::npos)
            return std::nullopt;
        text.remove_prefix(comma + 1);
    }
    return text.substr(0, text.find(','));
}

std::optional<double> number(const std::optional<std::string_view> &text)
{
    double value = 0;
    if (!text)
        return std::nullopt;
    const char *const end = text->data() + text->size();
    const auto [next, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || next != end)
        return std::nullopt;
    return value;
}

} // namespace

void ReportedLoad::record(std::string_view report, Time now)
{
    m_at = now;
    m_isQueueing = number(part(report, 1)).value_or(0) > 0;
    m_slowdown = number(part(report, 3));
    const bool isValid = m_slowdown && *m_slowdown > 0 && *m_slowdown <= maxSpeed;
    if (isValid)
        *m_slowdown /= usualSpeed;
    else
        m_slowdown.reset();
}

std::optional<double> ReportedLoad::slowdown(Time now) const
{
    return now - m_at <= lifetime ? m_slowdown : std::nullopt;
}

bool ReportedLoad::isQueueing(Time now) const
{
    return m_isQueueing && now - m_at <= lifetime;
}

} // namespace basildeck
