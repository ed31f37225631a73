#include "config/JsonReader.h"

#include <cmath>

namespace basildeck {

namespace {

std::string shown(double value)
{
    return nlohmann::json(value).dump();
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &object, std::string where, JsonErrors &errors)
    : m_object(object)
    , m_where(std::move(where))
    , m_errors(errors)
{
    if (!m_object.is_object())
        m_errors.fail(m_where, "is not an object");
}

const nlohmann::json *JsonReader::find(const char *field)
{
    m_known.insert(field);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(field);
    return found == m_object.end() ? nullptr : &*found;
}

std::string JsonReader::itemPath(const char *field, std::size_t index,
                                 const nlohmann::json &item) const
{
    std::string path = m_where.empty() ? field : m_where + "." + field;
    path += "[" + std::to_string(index) + "]";
    if (item.is_object() && item.contains("name") && item["name"].is_string())
        path += " \"" + item["name"].get<std::string>() + "\"";
    return path;
}

void JsonReader::fail(const std::string &field, const std::string &reason)
{
    m_errors.fail(m_where.empty() ? field : m_where + "." + field, reason);
}

std::string JsonReader::text(const char *field)
{
    std::string value = optionalText(field, "");
    if (value.empty())
        fail(field, "is missing or empty");
    return value;
}

std::string JsonReader::optionalText(const char *field, const std::string &fallback)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    fail(field, "is not a string");
    return fallback;
}

double JsonReader::number(const char *field, double low, double high)
{
    if (find(field) == nullptr)
        fail(field, "is missing");
    return optionalNumber(field, low, low, high);
}

double JsonReader::optionalNumber(const char *field, double fallback, double low, double high)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        fail(field, "is not a number");
        return fallback;
    }
    const double number = value->get<double>();
    if (number < low || number > high)
        fail(field, shown(number) + " is not between " + shown(low) + " and " + shown(high));
    return number;
}

int JsonReader::integer(const char *field, int low, int high)
{
    const double value = number(field, low, high);
    if (std::floor(value) != value)
        fail(field, shown(value) + " is not a whole number");
    return static_cast<int>(value);
}

bool JsonReader::optionalFlag(const char *field)
{
    const nlohmann::json *value = find(field);
    if (value == nullptr)
        return false;
    if (!value->is_boolean())
        fail(field, "is neither true nor false");
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
    fail(field, "is not an array");
    return none;
}

std::vector<std::string> JsonReader::texts(const char *field)
{
    std::vector<std::string> list;
    for (const nlohmann::json &item : array(field)) {
        if (item.is_string())
            list.push_back(item.get<std::string>());
        else
            fail(field, "holds an item that is not a string");
    }
    return list;
}

void JsonReader::rejectUnknown()
{
    if (!m_object.is_object())
        return;
    for (const auto &item : m_object.items()) {
        if (!m_known.contains(item.key()))
            fail(item.key(), "unknown field");
    }
}

} // namespace basildeck
