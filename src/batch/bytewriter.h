#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Appends to the bytes of a snapshot. Numbers have a variable length of 1 to 10 bytes; small
/// numbers take fewer bytes.
class ByteWriter
{
public:
    explicit ByteWriter(std::string &bytes)
        : m_bytes(bytes)
    {}

    void number(std::uint64_t value);
    void signedNumber(std::int64_t value);
    /// Writes the length, then the bytes.
    void text(std::string_view text);

private:
    std::string &m_bytes;
};

} // namespace rattanrill::batch
