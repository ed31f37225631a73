#include "standin/LoadGenerator.h"
#include "standin/StoreStandin.h"
#include "standin/UpstreamStandin.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace {

using basildeck::Address;
using namespace basildeck::standin;

void waitForSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
}

int runStore(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine commandLine("Stand-in for the platform's store.");
    TCLAP::ValueArg<std::string> listen("", "listen", "address", true, "", "IP:PORT", commandLine);
    commandLine.parse(arguments);
    const auto address = Address::parse(listen.getValue());
    const auto store = address ? StoreStandin::make(address.value()) : nullptr;
    if (!store) {
        std::cerr << "cannot listen on address \"" << listen.getValue() << "\"\n";
        return 1;
    }
    store->start();
    waitForSignal();
    return 0;
}

int runUpstream(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine commandLine(
            "Stand-in for upstreams: one target on each port, counting from the first.");
    TCLAP::ValueArg<std::string> ip("", "ip", "address", false, "127.0.0.1", "IP", commandLine);
    TCLAP::ValueArg<int> firstPort("", "port", "first port", true, 0, "PORT", commandLine);
    TCLAP::ValueArg<int> count("", "count", "number of targets", false, 1, "NUMBER", commandLine);
    TCLAP::ValueArg<int> slots("", "slots", "slots of each target, 0 for no limit", false, 0,
                               "NUMBER", commandLine);
    commandLine.parse(arguments);
    std::vector<std::unique_ptr<UpstreamStandin>> upstreams;
    for (int i = 0; i < count.getValue(); ++i) {
        const int port = firstPort.getValue() + i;
        upstreams.push_back(
                UpstreamStandin::make({ "target-" + std::to_string(port), ip.getValue(),
                                        static_cast<std::uint16_t>(port), slots.getValue() }));
        if (!upstreams.back()) {
            std::cerr << "cannot listen on port " << port << "\n";
            return 1;
        }
    }
    waitForSignal();
    return 0;
}

int runLoad(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine commandLine("Sends requests over keep-alive connections; prints throughput, "
                               "latencies and statuses.");
    TCLAP::ValueArg<std::string> to("", "to", "address of an entry VM", true, "", "IP:PORT",
                                    commandLine);
    TCLAP::ValueArg<std::string> path("", "path", "path and query", false, "/", "PATH",
                                      commandLine);
    TCLAP::ValueArg<std::string> key("", "key", "API key", false, "", "KEY", commandLine);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second, 0 for a closed loop", false, 0,
                                 "NUMBER", commandLine);
    TCLAP::ValueArg<double> durationSeconds("", "seconds", "duration", false, 2, "SECONDS",
                                            commandLine);
    TCLAP::ValueArg<int> connections("", "connections", "number of connections", false, 50,
                                     "NUMBER", commandLine);
    commandLine.parse(arguments);
    const auto address = Address::parse(to.getValue());
    if (!address) {
        std::cerr << address.error().detail << '\n';
        return 2;
    }
    LoadOptions options;
    options.to = address.value();
    options.request = makeRequest(
            "GET", path.getValue(),
            key.getValue().empty() ? std::vector<basildeck::HttpHeader>{}
                                   : std::vector<basildeck::HttpHeader>{
                                           { "Authorization", "Bearer " + key.getValue() } });
    options.ratePerSecond = rate.getValue();
    options.duration = std::chrono::duration_cast<basildeck::Duration>(
            std::chrono::duration<double>(durationSeconds.getValue()));
    options.connections = connections.getValue();
    std::cout << describe(runLoad(options)) << '\n';
    return 0;
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::vector<std::string> commandArguments(argumentValues + 1, argumentValues + argumentCount);
    const std::string command = commandArguments.empty() ? "" : commandArguments[0];
    if (command == "store")
        return runStore(commandArguments);
    if (command == "upstream")
        return runUpstream(commandArguments);
    if (command == "load")
        return runLoad(commandArguments);
    std::cerr << "usage: basildeck-standin store|upstream|load OPTIONS\n";
    return 2;
}
