#include "Rig.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <thread>

int main(int argc, char **argv)
{
    using namespace rig;
    static const std::map<std::string, int (*)(const Options &)> cases = {
        { "long-bodies", playLongBodies },     { "pipelined-downloads", playPipelinedDownloads },
        { "cut-pipelined", playCutPipelined }, { "poison", playPoison },
        { "cold-restart", playColdRestart },
    };
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "usage: rig CASE PROGRAM RECORD\n";
        return exitNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    options.program = argv[2];
    options.record = argv[3];
    const char *trouble = std::getenv("TROUBLE");
    options.hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr)
        return exitNotRun;
    options.folder = folder;
    std::thread([] {
        std::this_thread::sleep_for(std::chrono::seconds(115));
        giveUp("the case takes too long");
    }).detach();
    int result = exitNotRun;
    try {
        result = cases.at(argv[1])(options);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
    else
        std::cerr << "logs: " << folder << '\n';
    std::cout << (result == exitBroken ? "the rule was broken"
                  : result == exitHeld ? "the rule held"
                                       : "the case could not run")
              << std::endl;
    // Threads that serve open channels may still wait for input.
    std::_Exit(result);
}
