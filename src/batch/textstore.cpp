#include "textstore.h"

namespace rattanrill::batch {
namespace {

/// Capacity of a block in bytes. A text that is longer gets a block of its own size.
constexpr std::size_t blockBytes = 256 * 1024;
/// Number of low bits of a position that hold the offset in the block. The higher bits hold the
/// index of the block.
constexpr unsigned offsetBits = 32;

} // namespace

std::string &TextStore::blockFor(std::size_t size)
{
    if (m_blocks.empty())
        return m_blocks.emplace_back();
    std::string &last = m_blocks.back();
    if (last.empty() || last.size() + size <= blockBytes)
        return last;
    std::string &next = m_blocks.emplace_back();
    next.reserve(size > blockBytes ? size : blockBytes);
    return next;
}

TextStore::Position TextStore::append(std::string_view header, std::string_view body)
{
    std::string &block = blockFor(header.size() + body.size());
    const Position position = ((m_blocks.size() - 1) << offsetBits) | block.size();
    block.append(header);
    block.append(body);
    m_bytes += header.size() + body.size();
    return position;
}

std::string_view TextStore::at(Position position, std::size_t size) const
{
    const std::size_t index = position >> offsetBits;
    const std::size_t offset = position & ((Position{1} << offsetBits) - 1);
    if (index >= m_blocks.size() || offset > m_blocks[index].size())
        return {};
    const std::string_view rest = std::string_view(m_blocks[index]).substr(offset);
    return rest.size() < size ? std::string_view() : rest.substr(0, size);
}

void TextStore::write(ByteWriter &writer) const
{
    writer.number(m_blocks.size());
    for (const std::string &block : m_blocks)
        writer.text(block);
}

void TextStore::read(ByteReader &reader)
{
    const std::size_t blocks = reader.count();
    for (std::size_t index = 0; index < blocks; ++index) {
        const std::string_view text = reader.text();
        std::string &block = m_blocks.emplace_back();
        // Like in blockFor(), all blocks except the first have at least this capacity.
        if (index > 0 && text.size() < blockBytes)
            block.reserve(blockBytes);
        block.append(text);
        m_bytes += text.size();
    }
}

} // namespace rattanrill::batch
