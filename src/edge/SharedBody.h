#pragma once

#include "decide/memory/MemoryBudget.h"

#include <memory>
#include <string>
#include <utility>

namespace basildeck {

// A complete request body. It is shared by the request and the connections that send it, and counts
// against the memory budget until the last of them has released it.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(std::string text, MemoryCharge charge)
        : m_content(std::make_shared<Content>(Content{ std::move(text), std::move(charge) }))
        , m_size(m_content->text.size())
    {}

    // The size remains known after a release.
    std::size_t size() const { return m_size; }
    // Empty after a release.
    const std::string &text() const
    {
        static const std::string none;
        return m_content ? m_content->text : none;
    }
    // A reference that keeps the text, and its charge, until it is dropped.
    std::shared_ptr<const std::string> share() const
    {
        return m_content ? std::shared_ptr<const std::string>(m_content, &m_content->text)
                         : nullptr;
    }
    void release() { m_content.reset(); }

private:
    struct Content
    {
        std::string text;
        MemoryCharge charge;
    };

    std::shared_ptr<Content> m_content;
    std::size_t m_size = 0;
};

} // namespace basildeck
