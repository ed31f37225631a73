#include "edge/ChangesText.h"

#include "core/Gzip.h"

#include <utility>

namespace basildeck {

namespace {

std::string format(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

const ObjectTexts::Text &ObjectTexts::text(const std::string &kind, const StoredObject &object,
                                           std::uint64_t era)
{
    const StoreVersion version{ era, object.revision };
    const std::pair key(kind, object.name);
    const auto known = m_texts.find(key);
    if (known != m_texts.end() && known->second.version == version)
        return known->second;
    std::string plain = format(object.content);
    if (plain.size() < minBytes) {
        m_shortText.plain = std::move(plain);
        return m_shortText;
    }
    ++m_formattedCount;
    if (known == m_texts.end() && m_texts.size() == maxObjects)
        m_texts.clear();
    std::string compressed = gzipMember(plain);
    return m_texts[key] = { version, std::move(plain), std::move(compressed) };
}

void ChangesText::appendJson(const nlohmann::json &value)
{
    append(format(value));
}

void ChangesText::appendContent(const std::string &kind, const StoredObject &object,
                                std::uint64_t era)
{
    const ObjectTexts::Text &text = m_texts.text(kind, object, era);
    if (!m_mayCompress || text.compressed.empty()) {
        append(text.plain);
        return;
    }
    compressPlain();
    m_body.append(text.compressed);
}

void ChangesText::compressPlain()
{
    if (!m_plain.empty())
        m_body.append(gzipMember(std::exchange(m_plain, {})));
    m_isCompressed = true;
}

void ChangesText::finish()
{
    if (m_isCompressed || (m_mayCompress && m_plain.size() >= minCompressedBytes))
        compressPlain();
    else
        m_body = std::exchange(m_plain, {});
}

} // namespace basildeck
