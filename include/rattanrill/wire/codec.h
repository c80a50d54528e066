#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/envelope.h"

#include <string>
#include <string_view>

namespace rattanrill::wire {

/// CBOR encoding of a message struct of this library.
template <typename Message>
std::string encode(const Message &message);

/// Inverse of encode(). Fails with MalformedMessage on anything else; a member that is missing
/// keeps its default value, an unknown member is ignored, so that versions can differ by one.
template <typename Message>
Result<Message> decode(std::string_view bytes);

/// The same message as JSON text, for operators and logs.
template <typename Message>
std::string toJsonText(const Message &message);

/// Inverse of toJsonText(). Fails with InvalidRequest.
template <typename Message>
Result<Message> fromJsonText(std::string_view text);

/// What a state machine answers: an encoded CommandResult with the message or the failure.
template <typename Message>
std::string encodeCommandResult(const Outcome<Message> &outcome)
{
    CommandResult answer;
    if (outcome.ok())
        answer.body = encode(outcome.value());
    else
        answer.failure = toMessage(outcome.failure());
    return encode(answer);
}

} // namespace rattanrill::wire
