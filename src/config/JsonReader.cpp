#include "config/JsonReader.h"

#include <cmath>

namespace basildeck {

namespace {

std::string formatNumber(double value)
{
    return nlohmann::json(value).dump();
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &object, std::string location, JsonErrors &errors)
    : m_object(object)
    , m_location(std::move(location))
    , m_errors(errors)
{
    if (!m_object.is_object())
        m_errors.reportError(m_location, "is not an object");
}

const nlohmann::json *JsonReader::find(const char *field)
{
    m_knownFields.insert(field);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(field);
    return found == m_object.end() ? nullptr : &*found;
}

std::string JsonReader::itemPath(const char *field, std::size_t index,
                                 const nlohmann::json &item) const
{
    std::string path = m_location.empty() ? field : m_location + "." + field;
    path += "[" + std::to_string(index) + "]";
    if (item.is_object() && item.contains("name") && item["name"].is_string())
        path += " \"" + item["name"].get<std::string>() + "\"";
    return path;
}

void JsonReader::reportError(const std::string &field, const std::string &reason)
{
    m_errors.reportError(m_location.empty() ? field : m_location + "." + field, reason);
}

std::string JsonReader::text(const char *field)
{
    std::string value = optionalText(field, "");
    if (value.empty())
        reportError(field, "is missing or empty");
    return value;
}

std::string JsonReader::optionalText(const char *field, const std::string &fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    reportError(field, "is not a string");
    return fallback;
}

double JsonReader::number(const char *field, double minimum, double maximum)
{
    if (find(field) == nullptr)
        reportError(field, "is missing");
    return optionalNumber(field, minimum, minimum, maximum);
}

double JsonReader::optionalNumber(const char *field, double fallback, double minimum,
                                  double maximum)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        reportError(field, "is not a number");
        return fallback;
    }
    const double number = value->get<double>();
    if (number < minimum || number > maximum)
        reportError(field, formatNumber(number) + " is not between " + formatNumber(minimum)
                                   + " and " + formatNumber(maximum));
    return number;
}

int JsonReader::integer(const char *field, int minimum, int maximum)
{
    const double value = number(field, minimum, maximum);
    if (std::floor(value) != value)
        reportError(field, formatNumber(value) + " is not a whole number");
    return static_cast<int>(value);
}

bool JsonReader::optionalBool(const char *field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return false;
    if (!value->is_boolean())
        reportError(field, "is not a boolean");
    return value->is_boolean() && value->get<bool>();
}

const nlohmann::json &JsonReader::array(const char *field)
{
    static const nlohmann::json none = nlohmann::json::array();
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return none;
    if (value->is_array())
        return *value;
    reportError(field, "is not an array");
    return none;
}

std::vector<std::string> JsonReader::textList(const char *field)
{
    std::vector<std::string> list;
    for (const nlohmann::json &item : array(field)) {
        if (item.is_string())
            list.push_back(item.get<std::string>());
        else
            reportError(field, "contains an item that is not a string");
    }
    return list;
}

void JsonReader::rejectUnknown()
{
    if (!m_object.is_object())
        return;
    for (const auto &item : m_object.items()) {
        if (!m_knownFields.contains(item.key()))
            reportError(item.key(), "unknown field");
    }
}

} // namespace basildeck
