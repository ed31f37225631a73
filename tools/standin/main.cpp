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
    TCLAP::CmdLine line("Stand-in for the platform's store.");
    TCLAP::ValueArg<std::string> listen("", "listen", "address", true, "", "IP:PORT", line);
    line.parse(arguments);
    const auto address = Address::parse(listen.getValue());
    const auto store = address ? StoreStandin::make(address.value()) : nullptr;
    if (!store) {
        std::cerr << "address \"" << listen.getValue() << "\" cannot be listened on\n";
        return 1;
    }
    store->start();
    waitForSignal();
    return 0;
}

int runUpstream(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Stand-in for upstreams: one target on each port from the first one.");
    TCLAP::ValueArg<std::string> ip("", "ip", "address", false, "127.0.0.1", "IP", line);
    TCLAP::ValueArg<int> port("", "port", "first port", true, 0, "PORT", line);
    TCLAP::ValueArg<int> count("", "count", "number of targets", false, 1, "NUMBER", line);
    TCLAP::ValueArg<int> slots("", "slots", "slots of a target, 0 for no limit", false, 0, "NUMBER",
                               line);
    line.parse(arguments);
    std::vector<std::unique_ptr<UpstreamStandin>> upstreams;
    for (int i = 0; i < count.getValue(); ++i) {
        const int at = port.getValue() + i;
        upstreams.push_back(
                UpstreamStandin::make({ "target-" + std::to_string(at), ip.getValue(),
                                        static_cast<std::uint16_t>(at), slots.getValue() }));
        if (!upstreams.back()) {
            std::cerr << "port " << at << " cannot be listened on\n";
            return 1;
        }
    }
    waitForSignal();
    return 0;
}

int runLoad(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Sends requests over kept-alive connections and prints what came back.");
    TCLAP::ValueArg<std::string> to("", "to", "address of an entry VM", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> path("", "path", "path and query", false, "/", "PATH", line);
    TCLAP::ValueArg<std::string> key("", "key", "key", false, "", "KEY", line);
    TCLAP::ValueArg<double> rate("", "rate", "requests per second, 0 for as many as go", false, 0,
                                 "NUMBER", line);
    TCLAP::ValueArg<double> time("", "seconds", "duration", false, 2, "SECONDS", line);
    TCLAP::ValueArg<int> connections("", "connections", "connections", false, 50, "NUMBER", line);
    line.parse(arguments);
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
            std::chrono::duration<double>(time.getValue()));
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
    std::vector<std::string> words(argumentValues + 1, argumentValues + argumentCount);
    const std::string command = words.empty() ? "" : words[0];
    if (command == "store")
        return runStore(words);
    if (command == "upstream")
        return runUpstream(words);
    if (command == "load")
        return runLoad(words);
    std::cerr << "usage: basildeck-standin store|upstream|load OPTIONS\n";
    return 2;
}
