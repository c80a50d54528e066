#include "cborarray.h"

namespace rattanrill::wire {
namespace {

/// CBOR's major type of arrays, in the upper three bits of the first byte.
constexpr std::uint8_t arrayType = 4 << 5;
constexpr std::uint8_t typeMask = 7 << 5;
/// Lower five bits of the first byte: a smaller length is there itself, and these are the codes of
/// a length in the following 1, 2, 4 or 8 bytes.
constexpr std::uint8_t firstLengthCode = 24;
constexpr std::uint8_t lastLengthCode = 27;

} // namespace

std::string encodeArrayHead(std::uint64_t length)
{
    if (length < firstLengthCode)
        return std::string(1, static_cast<char>(arrayType | length));
    int code = firstLengthCode;
    while (code < lastLengthCode && length >> (8 << (code - firstLengthCode)) != 0)
        ++code;
    std::string head(1, static_cast<char>(arrayType | code));
    for (int byte = (1 << (code - firstLengthCode)) - 1; byte >= 0; --byte)
        head += static_cast<char>(length >> (8 * byte) & 0xff);
    return head;
}

MemoryBuffer::MemoryBuffer(std::string_view bytes)
{
    // A get area is not written to.
    char *begin = const_cast<char *>(bytes.data());
    setg(begin, begin, begin + bytes.size());
}

std::optional<std::uint64_t> MemoryBuffer::readArrayLength()
{
    const int head = sbumpc();
    if (head == traits_type::eof() || (head & typeMask) != arrayType)
        return std::nullopt;
    const int code = head & ~typeMask;
    if (code < firstLengthCode)
        return static_cast<std::uint64_t>(code);
    if (code > lastLengthCode)
        return std::nullopt;
    std::uint64_t length = 0;
    for (int byte = 0; byte < 1 << (code - firstLengthCode); ++byte) {
        const int value = sbumpc();
        if (value == traits_type::eof())
            return std::nullopt;
        length = length << 8 | static_cast<std::uint64_t>(value);
    }
    return length;
}

} // namespace rattanrill::wire
