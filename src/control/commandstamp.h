#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <string>

namespace rattanrill::control {

/// Returns the encoded \a command of \a group with its nowMs member set to \a nowMs, the wall-clock
/// time of the proposing instance in milliseconds since the Unix epoch. Every replica then applies
/// the command with the same time. Fails with MalformedMessage.
Result<std::string> stampCommand(const std::string &group, const std::string &command,
                                 std::int64_t nowMs);

} // namespace rattanrill::control
