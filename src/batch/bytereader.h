#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Reads the format that ByteWriter writes. After the first error, all reads return 0 or an empty
/// text and ok() stays false.
class ByteReader
{
public:
    explicit ByteReader(std::string_view bytes)
        : m_rest(bytes)
    {}

    std::uint64_t number();
    std::int64_t signedNumber();
    std::string_view text();
    std::string string() { return std::string(text()); }
    /// Reads the number of elements that follow. Fails if it exceeds the number of remaining bytes:
    /// each element takes at least one byte, so a corrupt count cannot request more memory than the
    /// snapshot has bytes.
    std::size_t count();
    /// Reads a number and fails unless it is less than \a end.
    std::uint64_t numberBelow(std::uint64_t end);

    bool ok() const { return m_ok; }
    bool atEnd() const { return m_rest.empty(); }
    void setFailed();

private:
    std::string_view m_rest;
    bool m_ok = true;
};

} // namespace rattanrill::batch
