#pragma once

#include "bytereader.h"
#include "bytewriter.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::batch {

/// Append-only texts in large blocks, without an allocation for each text and without the copies
/// and spare capacity of one growing string.
class TextStore
{
public:
    using Position = std::uint64_t;

    /// Stores \a head and \a tail one after the other.
    Position append(std::string_view head, std::string_view tail);
    /// Text of \a size bytes at \a position; empty when it is out of range.
    std::string_view at(Position position, std::size_t size) const;
    std::size_t bytes() const { return m_bytes; }

    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);

private:
    std::string &blockFor(std::size_t size);

    std::vector<std::string> m_blocks;
    std::size_t m_bytes = 0;
};

} // namespace rattanrill::batch
