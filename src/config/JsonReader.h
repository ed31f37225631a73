#pragma once

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace basildeck {

// First error of a document that is being read.
class JsonErrors
{
public:
    void fail(const std::string &where, const std::string &reason)
    {
        if (m_first.empty())
            m_first = where + ": " + reason;
    }
    const std::string &first() const { return m_first; }

private:
    std::string m_first;
};

// Reads the fields of one JSON object by name and reports what is missing, mistyped, out of range
// or unknown, with the path of the field.
class JsonReader
{
public:
    JsonReader(const nlohmann::json &object, std::string where, JsonErrors &errors);

    std::string text(const char *field);
    std::string optionalText(const char *field, const std::string &fallback);
    double number(const char *field, double low, double high);
    double optionalNumber(const char *field, double fallback, double low, double high);
    int integer(const char *field, int low, int high);
    bool optionalFlag(const char *field);

    // The array of a field; empty when it is missing.
    const nlohmann::json &array(const char *field);
    std::vector<std::string> texts(const char *field);

    // Calls a function with a reader for each object of an array.
    template <typename Visit>
    void objects(const char *field, Visit visit)
    {
        std::size_t index = 0;
        for (const nlohmann::json &item : array(field)) {
            JsonReader reader(item, itemPath(field, index, item), m_errors);
            visit(reader);
            reader.rejectUnknown();
            ++index;
        }
    }

    void fail(const std::string &field, const std::string &reason);
    void rejectUnknown();

private:
    const nlohmann::json *find(const char *field);
    std::string itemPath(const char *field, std::size_t index, const nlohmann::json &item) const;

    const nlohmann::json &m_object;
    std::string m_where;
    JsonErrors &m_errors;
    std::set<std::string> m_known;
};

} // namespace basildeck
