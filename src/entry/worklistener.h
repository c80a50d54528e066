#pragma once

#include "rattanrill/base/failure.h"
#include "rattanrill/engine/streamevents.h"

#include "absl/time/time.h"

namespace rattanrill::entry {

/// Receives the answer to one work. Calls come one at a time, from threads of the dispatcher;
/// exactly one of onFinished() and onFailed() comes last, unless the work is withdrawn.
class WorkListener
{
public:
    virtual ~WorkListener() = default;

    /// Tokens come in order, without repetition, also across tries.
    virtual void onToken(const engine::Token &token) = 0;
    virtual void onFinished(const engine::StreamSummary &end) = 0;
    /// \a retryAfter is zero when a retry is pointless.
    virtual void onFailed(const Failure &failure, absl::Duration retryAfter) = 0;
};

} // namespace rattanrill::entry
