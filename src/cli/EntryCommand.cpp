#include "basildeck/Command.h"
#include "cli/CommandLine.h"
#include "cli/EntryProcess.h"
#include "config/Settings.h"
#include "core/Log.h"

#include <iostream>

namespace basildeck {

namespace {

class EntryCommand final : public Command
{
public:
    std::string_view name() const override { return "entry"; }
    std::string_view summary() const override { return "run an entry VM"; }

    int run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine line("Runs an entry VM until SIGTERM.", ' ', BASILDECK_VERSION);
        TCLAP::ValueArg<std::string> settingsFile("", "settings", "settings file of this VM", true,
                                                  "", "FILE", line);
        if (const auto status = parseArguments(line, "entry", arguments))
            return *status;
        const auto settings = Settings::load(settingsFile.getValue());
        if (!settings) {
            std::cerr << settings.error().detail << '\n';
            return exitInvalid;
        }
        FLAGS_logtostderr = true;
        google::InitGoogleLogging("basildeck");
        auto process = EntryProcess::make(settings.value());
        if (!process) {
            std::cerr << process.error().detail << '\n';
            return exitFailure;
        }
        process.value()->run();
        return exitSuccess;
    }
};

const RegisterCommand<EntryCommand> registered;

} // namespace

} // namespace basildeck
