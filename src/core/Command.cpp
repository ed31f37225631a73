#include "basildeck/Command.h"

#include <algorithm>

namespace basildeck {

CommandRegistry &CommandRegistry::instance()
{
    static CommandRegistry registry;
    return registry;
}

void CommandRegistry::add(std::unique_ptr<Command> command)
{
    m_commands.push_back(std::move(command));
    std::sort(m_commands.begin(), m_commands.end(),
              [](const auto &a, const auto &b) { return a->name() < b->name(); });
}

Command *CommandRegistry::find(std::string_view name) const
{
    const auto found = std::find_if(m_commands.begin(), m_commands.end(),
                                    [&](const auto &command) { return command->name() == name; });
    return found == m_commands.end() ? nullptr : found->get();
}

} // namespace basildeck
