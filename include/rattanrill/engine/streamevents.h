#pragma once

#include <cstdint>
#include <string>

namespace rattanrill::engine {

/// One token of an answer.
struct Token
{
    /// Counted from 0 over the whole answer.
    std::uint64_t index = 0;
    std::string text;
};

/// How a stream ended.
struct StreamSummary
{
    /// "stop", "length" or "cancelled".
    std::string finishReason;
    /// Usage object of the engine as JSON text; empty when it sent none.
    std::string usage;
    /// Tokens of the whole answer, including those of earlier tries.
    std::uint64_t tokens = 0;
};

} // namespace rattanrill::engine
