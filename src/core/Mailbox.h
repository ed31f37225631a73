#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace basildeck {

// Queue of messages to a task. Any thread posts; the owning task takes all of them at once.
// The wake function is called after each post to an empty queue and must be thread-safe.
template <typename Message>
class Mailbox
{
public:
    // Sets the function that wakes the owning task. Called before the first post.
    void setWake(std::function<void()> wake)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_wake = std::move(wake);
    }

    void post(Message message)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const bool wasEmpty = m_messages.empty();
        m_messages.push_back(std::move(message));
        if (wasEmpty && m_wake)
            m_wake();
    }

    std::vector<Message> takeAll()
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return std::exchange(m_messages, {});
    }

private:
    std::mutex m_mutex;
    std::vector<Message> m_messages;
    std::function<void()> m_wake;
};

// Lets std::visit take one lambda for each alternative of a message.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace basildeck
