#pragma once

#include "core/StoreVersion.h"
#include "store/ObjectProtocol.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace basildeck {

// The JSON texts of large objects for other VMs. A state of an object is formatted and compressed
// once, however many VMs it is sent to.
class ObjectTexts
{
public:
    // Objects with a shorter text are formatted each time.
    static constexpr std::size_t minBytes = 8 * 1024;
    static constexpr std::size_t maxObjects = 16;

    struct Text
    {
        StoreVersion version;
        std::string plain;
        std::string compressed; // a gzip member; empty if the object is not large
    };

    // The content of an object of a kind, in an era of the store. Valid until the next call.
    const Text &text(const std::string &kind, const StoredObject &object, std::uint64_t era);
    // How often a large object was formatted.
    std::uint64_t formattedCount() const { return m_formattedCount; }

private:
    std::map<std::pair<std::string, std::string>, Text> m_texts; // of large objects, by kind, name
    Text m_shortText;
    std::uint64_t m_formattedCount = 0;
};

// Builds the body of a response, plain or compressed.
class ChangesText
{
public:
    // Shorter bodies are not worth the time to compress them.
    static constexpr std::size_t minCompressedBytes = 1024;

    ChangesText(ObjectTexts &texts, bool mayCompress)
        : m_texts(texts)
        , m_mayCompress(mayCompress)
    {}

    void append(std::string_view text) { m_plain.append(text); }
    void appendJson(const nlohmann::json &value);
    void appendContent(const std::string &kind, const StoredObject &object, std::uint64_t era);
    void finish();

    // The body, and whether it is compressed. Valid after the end.
    const std::string &body() const { return m_body; }
    bool isCompressed() const { return m_isCompressed; }

private:
    void compressPlain();

    ObjectTexts &m_texts;
    bool m_mayCompress;
    bool m_isCompressed = false;
    std::string m_plain; // not compressed yet
    std::string m_body;
};

} // namespace basildeck
