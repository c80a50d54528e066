#include "rattanrill/fakes/answer.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/hash.h"

#include <array>
#include <cstdio>

namespace rattanrill::fakes {
namespace {

constexpr std::size_t tokenHashDigits = 8;

constexpr std::array<EnumName<AnswerVerdict>, 3> verdictNames = {{
        {AnswerVerdict::Correct, "correct"},
        {AnswerVerdict::Truncated, "short"},
        {AnswerVerdict::Mismatch, "foreign"},
}};

Result<std::string> joinedMessages(const Json &messages)
{
    if (!messages.is_array())
        return fail(notRun(ErrorCode::InvalidRequest, "\"messages\" must be an array"));
    std::string prompt;
    for (const Json &message : messages) {
        BOOST_LEAF_AUTO(content, jsonMember<std::string>(message, "content"));
        prompt += (&message == &messages.front() ? "" : "\n") + content;
    }
    return prompt;
}

} // namespace

std::string_view name(AnswerVerdict verdict)
{
    return nameOf(verdictNames, verdict);
}

std::string hashText(std::string_view data, std::uint64_t seed)
{
    std::array<char, 24> text{};
    const int size = std::snprintf(text.data(), text.size(), "%016llx",
                                   static_cast<unsigned long long>(stableHash(data, seed)));
    return std::string(text.data(), static_cast<std::size_t>(size));
}

std::string expectedToken(std::string_view prompt, std::int64_t index)
{
    return " w" + hashText(prompt, static_cast<std::uint64_t>(index)).substr(0, tokenHashDigits);
}

std::string expectedText(std::string_view prompt, std::int64_t first, std::int64_t end)
{
    std::string text;
    for (std::int64_t index = first; index < end; ++index)
        text += expectedToken(prompt, index);
    return text;
}

AnswerVerdict checkAnswer(std::string_view prompt, std::string_view text, std::int64_t tokens)
{
    const std::string expected = expectedText(prompt, 0, tokens);
    if (text == expected)
        return AnswerVerdict::Correct;
    const bool isPrefix =
            text.size() < expected.size() && expected.compare(0, text.size(), text) == 0;
    return isPrefix ? AnswerVerdict::Truncated : AnswerVerdict::Mismatch;
}

Result<std::string> promptOf(const Json &body)
{
    if (body.is_object() && body.contains("messages"))
        return joinedMessages(body.at("messages"));
    return jsonMember<std::string>(body, "prompt");
}

} // namespace rattanrill::fakes
