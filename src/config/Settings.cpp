#include "config/Settings.h"

#include <boost/property_tree/ini_parser.hpp>

#include <charconv>
#include <fstream>
#include <map>
#include <set>

namespace basildeck {

namespace {

constexpr std::size_t bytesPerMebibyte = 1024 * 1024;
constexpr std::size_t maxNameLength = 64;

struct Bounds
{
    long minimum;
    long maximum;
};

// Reads typed values from an INI tree. Keeps the first error and records which keys have been read.
class SettingsReader
{
public:
    SettingsReader(std::string file, const boost::property_tree::ptree &tree)
        : m_file(std::move(file))
        , m_tree(tree)
    {}

    std::string text(const std::string &section, const std::string &key)
    {
        std::string value = optionalText(section, key, "");
        if (value.empty())
            reportError(section, key, "is missing");
        return value;
    }

    std::string optionalText(const std::string &section, const std::string &key,
                             const std::string &fallback)
    {
        m_knownKeys[section].insert(key);
        const auto sectionTree = m_tree.find(section);
        if (sectionTree == m_tree.not_found())
            return fallback;
        const auto value = sectionTree->second.find(key);
        return value == sectionTree->second.not_found() ? fallback : value->second.data();
    }

    std::string name(const std::string &section, const std::string &key)
    {
        std::string value = text(section, key);
        if (value.size() > maxNameLength)
            reportError(section, key, "is longer than 64 characters");
        return value;
    }

    long number(const std::string &section, const std::string &key, long fallback, Bounds bounds)
    {
        const std::string value = optionalText(section, key, std::to_string(fallback));
        long number = 0;
        const char *end = value.data() + value.size();
        const auto [parsedEnd, error] = std::from_chars(value.data(), end, number);
        if (error != std::errc() || parsedEnd != end)
            reportError(section, key, "\"" + value + "\" is not a whole number");
        else if (number < bounds.minimum || number > bounds.maximum)
            reportError(section, key,
                        value + " is not between " + std::to_string(bounds.minimum) + " and "
                                + std::to_string(bounds.maximum));
        return number;
    }

    Address address(const std::string &section, const std::string &key)
    {
        const std::string value = text(section, key);
        return value.empty() ? Address{} : parseAddress(section, key, value);
    }

    std::vector<Address> addresses(const std::string &section, const std::string &key)
    {
        std::vector<Address> addressList;
        std::string remaining = text(section, key);
        while (!remaining.empty()) {
            const auto comma = remaining.find(',');
            addressList.push_back(parseAddress(section, key, trim(remaining.substr(0, comma))));
            remaining = comma == std::string::npos ? "" : remaining.substr(comma + 1);
        }
        return addressList;
    }

    void reportError(const std::string &section, const std::string &key, const std::string &reason)
    {
        if (m_error.empty())
            m_error = m_file + ": [" + section + "] " + key + ": " + reason;
    }

    // Reports sections and keys of the file that have not been read.
    void rejectUnknown()
    {
        for (const auto &[section, entries] : m_tree) {
            if (!m_knownKeys.contains(section))
                reportError(section, "", "unknown section");
            for (const auto &entry : entries) {
                if (!m_knownKeys[section].contains(entry.first))
                    reportError(section, entry.first, "unknown key");
            }
        }
    }

    const std::string &error() const { return m_error; }

private:
    static std::string trim(const std::string &text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string::npos)
            return "";
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    Address parseAddress(const std::string &section, const std::string &key,
                         const std::string &value)
    {
        auto parsed = Address::parse(value);
        if (parsed)
            return parsed.value();
        reportError(section, key, parsed.error().detail);
        return {};
    }

    std::string m_file;
    const boost::property_tree::ptree &m_tree;
    std::map<std::string, std::set<std::string>> m_knownKeys;
    std::string m_error;
};

void readVm(SettingsReader &reader, Settings &settings)
{
    settings.vmName = reader.name("vm", "name");
    settings.region = reader.name("vm", "region");
    settings.zone = reader.name("vm", "zone");
    settings.callerAddress = reader.address("listen", "caller");
    settings.operatorAddress = reader.address("listen", "operator");
    settings.peerAddress = reader.address("listen", "peer");
    settings.storeAddresses = reader.addresses("store", "addresses");
    settings.storeRegion = reader.name("store", "region");
    settings.seedPeers = reader.addresses("peers", "seeds");
}

void readLimits(SettingsReader &reader, Settings &settings)
{
    settings.maxBodyBytes
            = static_cast<std::size_t>(reader.number("limits", "max-body-mib", 64, { 1, 16384 }))
              * bytesPerMebibyte;
    settings.maxHeaderBytes = static_cast<std::size_t>(
            reader.number("limits", "max-header-bytes", 8192, { 1024, 65536 }));
    settings.maxConnections = static_cast<std::size_t>(
            reader.number("limits", "max-connections", 4096, { 16, 65536 }));
    settings.headTimeout = seconds(reader.number("limits", "head-timeout-s", 5, { 1, 60 }));
    settings.leaveGrace
            = milliseconds(reader.number("limits", "leave-grace-ms", 3000, { 0, 60000 }));
}

void readOperatorToken(SettingsReader &reader, Settings &settings)
{
    const std::string file = reader.text("operator", "token-file");
    std::ifstream stream(file);
    std::getline(stream, settings.operatorToken);
    if (settings.operatorToken.empty())
        reader.reportError("operator", "token-file", "\"" + file + "\" contains no token");
}

void readTls(SettingsReader &reader, Settings &settings)
{
    settings.certificateFile = reader.optionalText("tls", "certificate", "");
    settings.privateKeyFile = reader.optionalText("tls", "private-key", "");
    if (settings.certificateFile.empty() != settings.privateKeyFile.empty())
        reader.reportError("tls", "private-key",
                           "certificate and private-key must be set together");
}

} // namespace

Result<Settings> Settings::load(const std::string &file)
{
    boost::property_tree::ptree tree;
    try {
        boost::property_tree::read_ini(file, tree);
    } catch (const boost::property_tree::ini_parser_error &error) {
        return failure(ErrorKind::InvalidSetting,
                       file + ": line " + std::to_string(error.line()) + ": " + error.message());
    }
    SettingsReader reader(file, tree);
    Settings settings;
    readVm(reader, settings);
    readLimits(reader, settings);
    readOperatorToken(reader, settings);
    readTls(reader, settings);
    reader.rejectUnknown();
    if (!reader.error().empty())
        return failure(ErrorKind::InvalidSetting, reader.error());
    return settings;
}

} // namespace basildeck
