#pragma once

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace basildeck {

// Parses the arguments of a subcommand. Returns the exit status if the command must not run: after
// --help or after an error, which is printed.
std::optional<int> parseArguments(TCLAP::CmdLine &line, const std::string &command,
                                  const std::vector<std::string> &arguments);

} // namespace basildeck
