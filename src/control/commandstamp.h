#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <string>

namespace rattanrill::control {

/// Returns \a command of \a group with its time set to \a nowMs, the wall-clock time of the
/// proposing instance, so that every replica applies it with the same time. Fails with
/// MalformedMessage.
Result<std::string> stampCommand(const std::string &group, const std::string &command,
                                 std::int64_t nowMs);

} // namespace rattanrill::control
