#include "utf8.h"

#include <cstddef>

namespace rattanrill::entry {
namespace {

/// Length of a sequence and valid range of its second byte, as determined by its first byte (table
/// 3-7 of the Unicode standard).
struct Sequence
{
    std::size_t length;
    unsigned char secondFrom;
    unsigned char secondTo;
};

Sequence sequenceOf(unsigned char first)
{
    if (first < 0x80)
        return {1, 0, 0};
    if (first >= 0xC2 && first <= 0xDF)
        return {2, 0x80, 0xBF};
    if (first >= 0xE0 && first <= 0xEF)
        return {3, static_cast<unsigned char>(first == 0xE0 ? 0xA0 : 0x80),
                static_cast<unsigned char>(first == 0xED ? 0x9F : 0xBF)};
    if (first >= 0xF0 && first <= 0xF4)
        return {4, static_cast<unsigned char>(first == 0xF0 ? 0x90 : 0x80),
                static_cast<unsigned char>(first == 0xF4 ? 0x8F : 0xBF)};
    return {0, 0, 0};
}

} // namespace

bool isValidUtf8(std::string_view text)
{
    for (std::size_t i = 0; i < text.size();) {
        const Sequence sequence = sequenceOf(static_cast<unsigned char>(text[i]));
        if (sequence.length == 0 || i + sequence.length > text.size())
            return false;
        for (std::size_t k = 1; k < sequence.length; ++k) {
            const auto byte = static_cast<unsigned char>(text[i + k]);
            const unsigned char from = k == 1 ? sequence.secondFrom : 0x80;
            const unsigned char to = k == 1 ? sequence.secondTo : 0xBF;
            if (byte < from || byte > to)
                return false;
        }
        i += sequence.length;
    }
    return true;
}

} // namespace rattanrill::entry
