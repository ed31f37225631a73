#include "core/Gzip.h"

#include <zlib.h>

#include <array>
#include <cassert>

namespace basildeck {

namespace {

// Selects the gzip format instead of that of zlib.
constexpr int windowBits = MAX_WBITS + 16;
constexpr int memoryLevel = 8;
constexpr std::size_t chunkBytes = 64 * 1024;

void setInput(z_stream &stream, std::string_view text)
{
    // The interface of zlib is older than const.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
    stream.avail_in = static_cast<uInt>(text.size());
}

class Inflater
{
public:
    explicit Inflater(std::string_view members)
    {
        setInput(m_stream, members);
        m_isValid = inflateInit2(&m_stream, windowBits) == Z_OK;
    }
    ~Inflater() { inflateEnd(&m_stream); }
    Inflater(const Inflater &) = delete;
    Inflater &operator=(const Inflater &) = delete;

    bool isValid() const { return m_isValid; }
    // Whether all members were complete.
    bool isDone() const { return m_isMemberComplete && m_stream.avail_in == 0; }
    // Appends the next part of the text.
    void appendTo(std::string &text)
    {
        if (m_isMemberComplete && inflateReset(&m_stream) != Z_OK) {
            m_isValid = false;
            return;
        }
        std::array<Bytef, chunkBytes> chunk{};
        m_stream.next_out = chunk.data();
        m_stream.avail_out = chunk.size();
        const int status = inflate(&m_stream, Z_NO_FLUSH);
        text.append(reinterpret_cast<const char *>(chunk.data()),
                    chunk.size() - m_stream.avail_out);
        m_isMemberComplete = status == Z_STREAM_END;
        m_isValid = status == Z_STREAM_END || status == Z_OK;
    }

private:
    z_stream m_stream{};
    bool m_isValid = false;
    bool m_isMemberComplete = false;
};

} // namespace

std::string gzipMember(std::string_view text)
{
    z_stream stream{};
    int status = deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, windowBits, memoryLevel,
                              Z_DEFAULT_STRATEGY);
    assert(status == Z_OK);
    std::string member(deflateBound(&stream, text.size()), '\0');
    setInput(stream, text);
    stream.next_out = reinterpret_cast<Bytef *>(member.data());
    stream.avail_out = static_cast<uInt>(member.size());
    status = deflate(&stream, Z_FINISH);
    assert(status == Z_STREAM_END);
    member.resize(member.size() - stream.avail_out);
    deflateEnd(&stream);
    return member;
}

std::optional<std::string> gunzip(std::string_view members, std::size_t maxBytes)
{
    Inflater inflater(members);
    std::string text;
    while (inflater.isValid() && !inflater.isDone()) {
        inflater.appendTo(text);
        if (text.size() > maxBytes)
            return std::nullopt;
    }
    return inflater.isValid() ? std::optional(std::move(text)) : std::nullopt;
}

} // namespace basildeck
