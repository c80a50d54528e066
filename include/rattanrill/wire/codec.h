#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/envelope.h"

#include <string>
#include <string_view>

namespace rattanrill::wire {

/// Encodes a message struct of this library as CBOR.
template <typename Message>
std::string encode(const Message &message);

/// Inverse of encode(). A missing member keeps its default value and an unknown member is ignored,
/// so that the versions of two processes can differ by one. Fails with MalformedMessage on any
/// other deviation.
template <typename Message>
Result<Message> decode(std::string_view bytes);

/// Encodes a message as JSON text, for operators and logs.
template <typename Message>
std::string toJsonText(const Message &message);

/// Inverse of toJsonText(). Fails with InvalidRequest.
template <typename Message>
Result<Message> fromJsonText(std::string_view text);

/// Encodes the response of a state machine: a CommandResult that contains either the encoded
/// message or the failure of \a outcome.
template <typename Message>
std::string encodeCommandResult(const Outcome<Message> &outcome)
{
    CommandResult result;
    if (outcome.ok())
        result.body = encode(outcome.value());
    else
        result.failure = toMessage(outcome.failure());
    return encode(result);
}

} // namespace rattanrill::wire
