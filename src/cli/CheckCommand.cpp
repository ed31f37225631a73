#include "basildeck/Command.h"
#include "cli/CommandLine.h"
#include "config/FleetConfig.h"
#include "config/Settings.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

namespace basildeck {

namespace {

class CheckCommand final : public Command
{
public:
    std::string_view name() const override { return "check"; }
    std::string_view summary() const override { return "validate settings or a configuration"; }

    int run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine line("Validates a file. Exit status 0: valid, 2: invalid.", ' ',
                            BASILDECK_VERSION);
        TCLAP::ValueArg<std::string> settings("", "settings", "settings file of a VM", true, "",
                                              "FILE");
        TCLAP::ValueArg<std::string> object("", "object", "configuration document of the fleet",
                                            true, "", "FILE");
        line.xorAdd(settings, object);
        if (const auto status = parseArguments(line, "check", arguments))
            return *status;
        return settings.isSet() ? checkSettings(settings.getValue())
                                : checkConfiguration(object.getValue());
    }

private:
    static int checkSettings(const std::string &file)
    {
        const auto settings = Settings::load(file);
        if (!settings)
            std::cerr << settings.error().detail << '\n';
        return settings ? exitSuccess : exitInvalid;
    }

    static int checkConfiguration(const std::string &file)
    {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << file << ": cannot be read\n";
            return exitInvalid;
        }
        std::stringstream text;
        text << stream.rdbuf();
        const auto now = std::chrono::system_clock::now();
        const auto config
                = FleetConfig::parse(text.str(), std::chrono::system_clock::to_time_t(now));
        if (!config)
            std::cerr << file << ": " << config.error().detail << '\n';
        return config ? exitSuccess : exitInvalid;
    }
};

const RegisterCommand<CheckCommand> registered;

} // namespace

} // namespace basildeck
