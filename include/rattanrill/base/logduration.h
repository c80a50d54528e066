#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace rattanrill {

/// Returns \a duration in milliseconds for a log line; -1 when it is infinite, which means that it
/// is not known.
inline std::int64_t loggedMilliseconds(absl::Duration duration)
{
    return duration == absl::InfiniteDuration() ? -1 : absl::ToInt64Milliseconds(duration);
}

} // namespace rattanrill
