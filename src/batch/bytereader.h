#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Reads what ByteWriter wrote. After the first error all reads give 0 or an empty text, and ok()
/// stays false.
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
    /// Number of elements that follow. Each takes at least one byte, so that a damaged count can't
    /// ask for more memory than the snapshot has bytes.
    std::size_t count();
    /// Number below \a end.
    std::uint64_t numberBelow(std::uint64_t end);

    bool ok() const { return m_ok; }
    bool atEnd() const { return m_rest.empty(); }
    void setFailed();

private:
    std::string_view m_rest;
    bool m_ok = true;
};

} // namespace rattanrill::batch
