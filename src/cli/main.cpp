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
    out << "\nbasildeck COMMAND --help tells more. basildeck --version prints the version.\n";
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    const std::vector<std::string> words(argumentValues + 1, argumentValues + argumentCount);
    if (words.empty()) {
        printHelp(std::cerr);
        return basildeck::exitInvalid;
    }
    if (words[0] == "--help" || words[0] == "-h") {
        printHelp(std::cout);
        return basildeck::exitSuccess;
    }
    if (words[0] == "--version") {
        std::cout << "basildeck " << BASILDECK_VERSION << '\n';
        return basildeck::exitSuccess;
    }
    basildeck::Command *command = basildeck::CommandRegistry::instance().find(words[0]);
    if (command == nullptr) {
        std::cerr << "basildeck: command \"" << words[0] << "\" does not exist\n";
        return basildeck::exitInvalid;
    }
    return command->run({ words.begin() + 1, words.end() });
}
