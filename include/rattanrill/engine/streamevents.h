#pragma once

#include <cstdint>
#include <string>

namespace rattanrill::engine {

/// One token of a completion.
struct Token
{
    /// Position in the completion, from 0, counted across all attempts.
    std::uint64_t index = 0;
    std::string text;
};

/// How a stream ended.
struct StreamSummary
{
    /// "stop", "length" or "cancelled".
    std::string finishReason;
    /// The engine's "usage" object as JSON text; empty when the engine sent none.
    std::string usage;
    /// Number of tokens of the completion, including those of earlier attempts.
    std::uint64_t tokens = 0;
};

} // namespace rattanrill::engine
