#pragma once

#include "rattanrill/wire/codec.h"

#include <string>

namespace rattanrill::wire {

/// Decodes the message of a response; returns the failure of \a response if it has none, and that
/// of decode() if the message is malformed.
template <typename Message>
Outcome<Message> decodeOutcome(const Outcome<std::string> &response)
{
    if (!response.ok())
        return response.failure();
    return outcomeOf([&] { return decode<Message>(response.value()); });
}

} // namespace rattanrill::wire
