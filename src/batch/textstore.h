#pragma once

#include "bytereader.h"
#include "bytewriter.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::batch {

/// Append-only store of texts in large blocks. It avoids an allocation for each text, and also the
/// copies and unused capacity of a single growing string.
class TextStore
{
public:
    using Position = std::uint64_t;

    /// Stores \a header directly followed by \a body and returns the position of \a header.
    Position append(std::string_view header, std::string_view body);
    /// Returns the text of \a size bytes at \a position, or an empty text if it is out of range.
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
