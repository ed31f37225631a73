#include "basildeck/Command.h"

#include <iostream>
#include <string>
#include <vector>

namespace {

void printHelp(std::ostream &out)
{
    out << "usage: basildeck COMMAND [OPTIONS]\n\n";
    for (const auto &command : basildeck::CommandRegistry::instance().commands())
        out << "  " << command->name() << std::string(8 - command->name().size(), ' ')
            << command->summary() << '\n';
    out << "\nbasildeck COMMAND --help describes a command. basildeck --version prints the "
           "version.\n";
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    const std::vector<std::string> arguments(argumentValues + 1, argumentValues + argumentCount);
    if (arguments.empty()) {
        printHelp(std::cerr);
        return basildeck::exitInvalid;
    }
    if (arguments[0] == "--help" || arguments[0] == "-h") {
        printHelp(std::cout);
        return basildeck::exitSuccess;
    }
    if (arguments[0] == "--version") {
        std::cout << "basildeck " << BASILDECK_VERSION << '\n';
        return basildeck::exitSuccess;
    }
    basildeck::Command *command = basildeck::CommandRegistry::instance().find(arguments[0]);
    if (command == nullptr) {
        std::cerr << "basildeck: unknown command \"" << arguments[0] << "\"\n";
        return basildeck::exitInvalid;
    }
    return command->run({ arguments.begin() + 1, arguments.end() });
}
