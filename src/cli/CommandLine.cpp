#include "cli/CommandLine.h"

#include "basildeck/Command.h"

#include <iostream>

namespace basildeck {

std::optional<int> parseArguments(TCLAP::CmdLine &line, const std::string &command,
                                  const std::vector<std::string> &arguments)
{
    std::vector<std::string> programAndArguments{ "basildeck " + command };
    programAndArguments.insert(programAndArguments.end(), arguments.begin(), arguments.end());
    line.setExceptionHandling(false);
    try {
        line.parse(programAndArguments);
        return std::nullopt;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "basildeck " << command << ": " << error.error() << ' ' << error.argId()
                  << '\n';
        return exitInvalid;
    }
}

} // namespace basildeck
