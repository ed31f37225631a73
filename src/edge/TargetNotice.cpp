#include "edge/TargetNotice.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace basildeck {

namespace {

constexpr int statusUnavailable = 503;
constexpr int maxSpeedPercent = 10'000;

// Parses a decimal number that is not negative.
std::optional<double> parseRate(const std::string &text)
{
    double rate = 0;
    const char *const end = text.data() + text.size();
    const auto [next, error] = std::from_chars(text.data(), end, rate);
    if (error != std::errc() || next != end || !std::isfinite(rate) || rate < 0)
        return std::nullopt;
    return rate;
}

// Parses the figure of a load after the first three.
std::optional<int> parseSpeed(const char *at, const char *end)
{
    int speed = 0;
    const auto [next, error] = std::from_chars(at, end, speed);
    const bool isWhole = next == end || *next == ',';
    if (error != std::errc() || !isWhole || speed <= 0 || speed > maxSpeedPercent)
        return std::nullopt;
    return speed;
}

} // namespace

bool saysLeaving(const MessageHead &head, const WireNames &names)
{
    // A response with this status comes from another instance.
    if (head.status == names.misdirectedStatus)
        return false;
    const std::string *leaving = head.fields.find(names.serverLeaving);
    return leaving != nullptr && *leaving != "0";
}

std::optional<LimitNotice> limitNotice(const MessageHead &head, const WireNames &names)
{
    const bool isTargetsOwn = head.fields.find(names.responseSeal) != nullptr
                              || head.fields.find(names.notExecuted) != nullptr;
    if (!isTargetsOwn || head.status == names.misdirectedStatus)
        return std::nullopt;
    LimitNotice notice;
    bool isNamed = false;
    for (const auto &[name, value] : head.fields.all()) {
        if (!equalsIgnoreCase(name, names.serverLimit))
            continue;
        isNamed = true;
        if (const auto rate = parseRate(value))
            notice.requestsPerSecond = std::min(notice.requestsPerSecond.value_or(*rate), *rate);
    }
    if (isNamed && !notice.requestsPerSecond)
        return std::nullopt;
    return notice;
}

std::optional<LoadReport> reportedLoad(const MessageHead &head, const WireNames &names)
{
    const std::string *text = head.fields.find(names.serverLoad);
    if (text == nullptr)
        return std::nullopt;
    LoadReport report;
    const std::array<int *, 3> numbers = { &report.running, &report.waiting, &report.slots };
    const char *at = text->data();
    const char *const end = at + text->size();
    for (int *number : numbers) {
        const auto [next, error] = std::from_chars(at, end, *number);
        if (error != std::errc())
            return std::nullopt;
        at = next == end ? next : next + 1;
    }
    report.speedPercent = parseSpeed(at, end);
    return report;
}

std::optional<Duration> requestedHoldOff(const MessageHead &head)
{
    const std::string *text = head.fields.find("Retry-After");
    if (head.status != statusUnavailable || text == nullptr)
        return std::nullopt;
    double count = 0;
    const char *const end = text->data() + text->size();
    const auto [next, error] = std::from_chars(text->data(), end, count);
    if (error != std::errc() || next != end || !std::isfinite(count) || count <= 0)
        return std::nullopt;
    const double limited = std::min(count, toSeconds(maxHoldOff));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(limited));
}

} // namespace basildeck
