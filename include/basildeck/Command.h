#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basildeck {

// A subcommand of the program. Commands register themselves during static initialisation; see
// RegisterCommand.
class Command
{
public:
    virtual ~Command() = default;
    virtual std::string_view name() const = 0;
    virtual std::string_view summary() const = 0;
    // Runs the command with the arguments that follow its name. Returns the exit status of the
    // process.
    virtual int run(const std::vector<std::string> &arguments) = 0;
};

// Exit statuses of the process.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitInvalid = 2; // invalid arguments, settings or objects

class CommandRegistry
{
public:
    static CommandRegistry &instance();

    void add(std::unique_ptr<Command> command);
    // Returns null if there is no command of that name.
    Command *find(std::string_view name) const;
    const std::vector<std::unique_ptr<Command>> &commands() const { return m_commands; }

private:
    std::vector<std::unique_ptr<Command>> m_commands; // sorted by name
};

// Registers a command during static initialisation:
//     static const RegisterCommand<CheckCommand> registered;
template <typename T>
struct RegisterCommand
{
    RegisterCommand() { CommandRegistry::instance().add(std::make_unique<T>()); }
};

} // namespace basildeck
