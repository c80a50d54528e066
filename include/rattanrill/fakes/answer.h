#pragma once

#include "rattanrill/base/json.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::fakes {

/// Result of comparing an answer with the one that the fake engine generates for the prompt.
enum class AnswerVerdict {
    Correct,
    /// A proper prefix of the expected answer.
    Truncated,
    /// Text that differs from the expected answer or continues beyond its end.
    Mismatch,
};

std::string_view name(AnswerVerdict verdict);

/// Number of characters that hashText() returns.
constexpr std::size_t hashTextDigits = 16;

/// Hash of \a data as 16 lower-case hexadecimal digits. The same input yields the same hash in
/// every process.
std::string hashText(std::string_view data, std::uint64_t seed = 0);

/// Text of token \a index (from 0) of the fake engine's answer to \a prompt.
std::string expectedToken(std::string_view prompt, std::int64_t index);

/// Concatenated text of the tokens \a first (inclusive) to \a end (exclusive) of the answer to
/// \a prompt.
std::string expectedText(std::string_view prompt, std::int64_t first, std::int64_t end);

/// Compares \a text with the first \a tokens tokens of the answer to \a prompt.
AnswerVerdict checkAnswer(std::string_view prompt, std::string_view text, std::int64_t tokens);

/// Returns the prompt of a completion or chat request: the contents of "messages" joined with
/// newlines, or else "prompt". Fails with InvalidRequest when the body has neither.
Result<std::string> promptOf(const Json &body);

} // namespace rattanrill::fakes
