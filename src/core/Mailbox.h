#pragma once

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace basildeck {

// Thread-safe queue of messages to a task. Any thread may post; the owning task takes all queued
// messages at once.
template <typename Message>
class Mailbox
{
public:
    // Sets the function that wakes the owning task. It is called after each post to an empty queue,
    // on the thread that posts, and must be thread-safe. Must be set before the first post.
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

// Combines lambdas into one visitor for std::visit, one for each alternative of a message.
template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace basildeck
