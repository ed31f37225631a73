#include "soak/Soak.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

int main(int argumentCount, char **argumentValues)
{
    using namespace basildeck;
    TCLAP::CmdLine commandLine(
            "Runs entry VMs as processes, injects faults and checks invariants.");
    TCLAP::ValueArg<std::string> program("", "program", "the program under test", true, "", "FILE",
                                         commandLine);
    TCLAP::ValueArg<std::string> folder("", "folder", "folder for settings and logs", true, "",
                                        "FOLDER", commandLine);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the random faults", true, 1, "NUMBER",
                                        commandLine);
    TCLAP::ValueArg<int> faultDuration("", "seconds", "how long faults are injected", false, 10,
                                       "SECONDS", commandLine);
    TCLAP::ValueArg<std::size_t> vmCount("", "vms", "how many VMs there are", false, 5, "NUMBER",
                                         commandLine);
    commandLine.parse(argumentCount, argumentValues);
    std::signal(SIGPIPE, SIG_IGN);
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging("basildeck-soak");
    const soak::SoakReport report
            = soak::runSoak({ program.getValue(), folder.getValue(), seed.getValue(),
                              seconds(faultDuration.getValue()), vmCount.getValue() });
    std::cout << "seed " << seed.getValue() << ": " << report.summary << '\n';
    for (const std::string &violation : report.violations)
        std::cout << "  BROKEN " << violation << '\n';
    return report.violations.empty() ? 0 : 1;
}
