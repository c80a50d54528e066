#pragma once

#include <cstddef>

namespace rattanrill::net {

/// Size in bytes of the shortest body in chunks, "0\r\n\r\n".
constexpr std::size_t minChunkedBytes = 5;

/// Whether \a pendingBytes may be too few for \a parser, a parser of Beast that has not begun to
/// read the body of its message. It fails an assertion when the first chunk is the last one and
/// arrives in parts. With the minimum size, it has all of the chunk's length.
template <typename Parser>
bool awaitsFirstChunk(const Parser &parser, std::size_t pendingBytes)
{
    return parser.is_header_done() && parser.chunked() && pendingBytes < minChunkedBytes;
}

} // namespace rattanrill::net
