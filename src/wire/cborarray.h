#pragma once

#include <cstdint>
#include <optional>
#include <streambuf>
#include <string>
#include <string_view>

/// Heads of CBOR arrays. The JSON library reads and writes one whole value at a time, so that an
/// array whose elements are handled one after the other needs its head apart.
namespace rattanrill::wire {

/// Encodes the head of an array of \a length elements, which follow it.
std::string encodeArrayHead(std::uint64_t length);

/// Bytes in memory as a stream, without a copy.
class MemoryBuffer : public std::streambuf
{
public:
    explicit MemoryBuffer(std::string_view bytes);

    /// Reads the head of an array and returns its length; absent if there is none.
    std::optional<std::uint64_t> readArrayLength();
};

} // namespace rattanrill::wire
