#include "soak/Soak.h"

#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

int main(int argumentCount, char **argumentValues)
{
    using namespace basildeck;
    TCLAP::CmdLine line("Runs entry VMs as processes, harms them and checks what is promised.");
    TCLAP::ValueArg<std::string> program("", "program", "the program under test", true, "", "FILE",
                                         line);
    TCLAP::ValueArg<std::string> folder("", "folder", "for settings and logs", true, "", "FOLDER",
                                        line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the faults", true, 1, "NUMBER", line);
    TCLAP::ValueArg<int> time("", "seconds", "time with faults", false, 10, "SECONDS", line);
    line.parse(argumentCount, argumentValues);
    std::signal(SIGPIPE, SIG_IGN);
    FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging("basildeck-soak");
    const soak::SoakReport report = soak::runSoak(
            { program.getValue(), folder.getValue(), seed.getValue(), seconds(time.getValue()) });
    std::cout << "seed " << seed.getValue() << ": " << report.text << '\n';
    for (const std::string &fault : report.faults)
        std::cout << "  BROKEN " << fault << '\n';
    return report.faults.empty() ? 0 : 1;
}
