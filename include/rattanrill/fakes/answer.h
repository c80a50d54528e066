#pragma once

#include "rattanrill/base/json.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::fakes {

/// How an answer compares with the one that the fake engine gives to the prompt.
enum class AnswerVerdict {
    Correct,
    /// A true beginning of the answer that ends before the last token.
    Short,
    /// Text that does not belong to this prompt, or too much of it.
    Foreign,
};

std::string_view name(AnswerVerdict verdict);

/// Length of hashText().
constexpr std::size_t hashTextDigits = 16;

/// Stable hash of \a data as 16 lower-case hexadecimal digits.
std::string hashText(std::string_view data, std::uint64_t seed = 0);

/// Token \a index (from 0) of the fake engine's answer to \a prompt.
std::string expectedToken(std::string_view prompt, std::int64_t index);

/// Tokens \a first (inclusive) to \a end (exclusive) of the answer, joined.
std::string expectedText(std::string_view prompt, std::int64_t first, std::int64_t end);

/// Compares \a text with the answer of \a tokens tokens to \a prompt.
AnswerVerdict checkAnswer(std::string_view prompt, std::string_view text, std::int64_t tokens);

/// Prompt of a completion or chat request: "prompt", or the contents of "messages" joined with
/// newlines. Fails with InvalidRequest when the body has neither.
Result<std::string> promptOf(const Json &body);

} // namespace rattanrill::fakes
