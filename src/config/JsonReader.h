#pragma once

#include <nlohmann/json.hpp>

#include <set>
#include <string>

namespace basildeck {

// Collects errors while a document is read and keeps the first one.
class JsonErrors
{
public:
    void reportError(const std::string &location, const std::string &reason)
    {
        if (m_firstError.empty())
            m_firstError = location + ": " + reason;
    }
    const std::string &firstError() const { return m_firstError; }

private:
    std::string m_firstError;
};

// Reads the fields of one JSON object by name. Reports fields that are missing, of the wrong type,
// out of range or unknown, with their path in the document. Fields count as known once they have
// been read.
class JsonReader
{
public:
    JsonReader(const nlohmann::json &object, std::string location, JsonErrors &errors);

    // A missing field is an error, except for the optional ones, which return the fallback or
    // false.
    std::string text(const char *field);
    std::string optionalText(const char *field, const std::string &fallback);
    double number(const char *field, double minimum, double maximum);
    double optionalNumber(const char *field, double fallback, double minimum, double maximum);
    int integer(const char *field, int minimum, int maximum);
    bool optionalBool(const char *field);

    // Returns an empty array if the field is missing.
    const nlohmann::json &array(const char *field);
    std::vector<std::string> textList(const char *field);

    // Calls a function with a reader for each object of an array, then rejects the object's unknown
    // fields.
    template <typename Function>
    void forEachObject(const char *field, Function function)
    {
        std::size_t index = 0;
        for (const nlohmann::json &item : array(field)) {
            JsonReader reader(item, itemPath(field, index, item), m_errors);
            function(reader);
            reader.rejectUnknown();
            ++index;
        }
    }

    void reportError(const std::string &field, const std::string &reason);
    // Reports fields of the object that have not been read.
    void rejectUnknown();

private:
    const nlohmann::json *find(const char *field);
    std::string itemPath(const char *field, std::size_t index, const nlohmann::json &item) const;

    const nlohmann::json &m_object;
    std::string m_location;
    JsonErrors &m_errors;
    std::set<std::string> m_knownFields;
};

} // namespace basildeck
