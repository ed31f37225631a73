#include "edge/ForwardingFields.h"

#include <array>
#include <charconv>
#include <cstdlib>

namespace basildeck {

namespace {

constexpr std::string_view prefix = "Basildeck-Forward-";
constexpr const char *vmField = "Basildeck-Forward-Vm";
constexpr const char *routeField = "Basildeck-Forward-Route";
constexpr const char *organisationField = "Basildeck-Forward-Organisation";
constexpr const char *serviceField = "Basildeck-Forward-Service";
constexpr const char *objectiveField = "Basildeck-Forward-Objective-Ms";
constexpr const char *deadlineField = "Basildeck-Forward-Time-Left-Ms";
constexpr const char *attemptsField = "Basildeck-Forward-Attempts";
constexpr const char *priorityField = "Basildeck-Forward-Priority";
constexpr const char *placementField = "Basildeck-Forward-Placement";
constexpr const char *triedField = "Basildeck-Forward-Tried";
constexpr const char *declineField = "Basildeck-Forward-Declined";
constexpr const char *refusalField = "Basildeck-Forward-Refusal";
constexpr const char *retryAfterField = "Basildeck-Forward-Retry-After-Ms";

void addField(std::string &text, const char *name, const std::string &value)
{
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string milliText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : ",") + word;
    return text;
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> words;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(','), text.size());
        words.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return words;
}

// Reads the fields of one message. Repeated or invalid fields make it invalid.
class FieldReader
{
public:
    explicit FieldReader(const HeaderFields &fields)
        : m_fields(fields)
    {}

    bool isValid() const { return m_isValid; }
    std::string text(const char *name, bool isRequired)
    {
        const std::string *value = m_fields.find(name);
        if (m_fields.count(name) > 1 || (isRequired && (value == nullptr || value->empty())))
            m_isValid = false;
        return value == nullptr ? std::string() : *value;
    }
    template <typename Number>
    Number number(const char *name, bool isRequired)
    {
        const std::string value = text(name, isRequired);
        Number result{};
        const char *const end = value.data() + value.size();
        if (!value.empty()) {
            const auto [next, error] = std::from_chars(value.data(), end, result);
            if (error != std::errc() || next != end)
                m_isValid = false;
        }
        return result;
    }

private:
    const HeaderFields &m_fields;
    bool m_isValid = true;
};

std::optional<ErrorKind> errorKindNamed(std::string_view name)
{
    for (std::size_t i = 0; i < errorKindCount; ++i) {
        if (errorResponse(static_cast<ErrorKind>(i)).name == name)
            return static_cast<ErrorKind>(i);
    }
    return std::nullopt;
}

std::optional<ForwardingDecline> declineNamed(std::string_view name)
{
    for (std::size_t i = 0; i < forwardingDeclineCount; ++i) {
        if (forwardingDeclineName(static_cast<ForwardingDecline>(i)) == name)
            return static_cast<ForwardingDecline>(i);
    }
    return std::nullopt;
}

} // namespace

std::string_view forwardingDeclineName(ForwardingDecline decline)
{
    static constexpr std::array<std::string_view, forwardingDeclineCount> names = {
        "partitioned", "leaving", "busy", "not-configured", "region-not-allowed", "invalid"
    };
    return names.at(static_cast<std::size_t>(decline));
}

bool isForwardingField(std::string_view name)
{
    return name.size() >= prefix.size() && equalsIgnoreCase(name.substr(0, prefix.size()), prefix);
}

std::string serializeForwardingTerms(const ForwardingTerms &terms)
{
    std::string text;
    addField(text, vmField, terms.vm);
    addField(text, routeField, terms.route);
    if (!terms.organisation.empty())
        addField(text, organisationField, terms.organisation);
    addField(text, serviceField, terms.service);
    addField(text, objectiveField, milliText(terms.untilObjective));
    addField(text, deadlineField, milliText(terms.untilDeadline));
    addField(text, attemptsField, std::to_string(terms.attempts));
    addField(text, priorityField, std::to_string(terms.priority));
    addField(text, placementField, std::to_string(terms.placementHash));
    if (!terms.triedTargets.empty())
        addField(text, triedField, join(terms.triedTargets));
    return text;
}

std::optional<ForwardingTerms> parseForwardingTerms(const HeaderFields &fields)
{
    FieldReader reader(fields);
    ForwardingTerms terms;
    terms.vm = reader.text(vmField, true);
    terms.route = reader.text(routeField, true);
    terms.organisation = reader.text(organisationField, false);
    terms.service = reader.text(serviceField, true);
    terms.untilObjective = milliseconds(reader.number<std::int64_t>(objectiveField, true));
    terms.untilDeadline = milliseconds(reader.number<std::int64_t>(deadlineField, true));
    terms.attempts = reader.number<int>(attemptsField, true);
    terms.priority = reader.number<int>(priorityField, true);
    terms.placementHash = reader.number<std::uint64_t>(placementField, true);
    terms.triedTargets = split(reader.text(triedField, false));
    if (!reader.isValid() || terms.attempts < 1)
        return std::nullopt;
    return terms;
}

std::string serializeForwardingOutcome(const ForwardingOutcome &outcome)
{
    std::string text;
    addField(text, attemptsField, std::to_string(outcome.attempts));
    if (!outcome.triedTargets.empty())
        addField(text, triedField, join(outcome.triedTargets));
    if (outcome.decline)
        addField(text, declineField, std::string(forwardingDeclineName(*outcome.decline)));
    if (outcome.refusal)
        addField(text, refusalField, std::string(errorResponse(*outcome.refusal).name));
    if (outcome.retryAfter > Duration::zero())
        addField(text, retryAfterField, milliText(outcome.retryAfter));
    return text;
}

std::optional<ForwardingOutcome> parseForwardingOutcome(const HeaderFields &fields)
{
    FieldReader reader(fields);
    ForwardingOutcome outcome;
    outcome.attempts = reader.number<int>(attemptsField, true);
    outcome.triedTargets = split(reader.text(triedField, false));
    outcome.retryAfter = milliseconds(reader.number<std::int64_t>(retryAfterField, false));
    const std::string decline = reader.text(declineField, false);
    const std::string refusal = reader.text(refusalField, false);
    outcome.decline = declineNamed(decline);
    outcome.refusal = errorKindNamed(refusal);
    // An unknown name must not make a refusal pass for a target's response.
    const bool isUnknown
            = (!decline.empty() && !outcome.decline) || (!refusal.empty() && !outcome.refusal);
    if (!reader.isValid() || isUnknown || outcome.attempts < 0)
        return std::nullopt;
    return outcome;
}

} // namespace basildeck
