#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Appends to the bytes of a snapshot. Numbers take 1 to 10 bytes, smaller ones less.
class ByteWriter
{
public:
    explicit ByteWriter(std::string &bytes)
        : m_bytes(bytes)
    {}

    void number(std::uint64_t value);
    void signedNumber(std::int64_t value);
    /// Length and bytes.
    void text(std::string_view text);

private:
    std::string &m_bytes;
};

} // namespace rattanrill::batch
