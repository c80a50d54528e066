#pragma once

#include "rattanrill/base/failure.h"
#include "rattanrill/engine/streamevents.h"

#include "absl/time/time.h"

namespace rattanrill::entry {

/// Receives the answer of one task. Calls are made one at a time, on threads of the dispatcher. The
/// last call is either onFinished() or onFailed(), unless the task is cancelled.
class TaskListener
{
public:
    virtual ~TaskListener() = default;

    /// Receives tokens in order and without repetition, also across attempts.
    virtual void onToken(const engine::Token &token) = 0;
    virtual void onFinished(const engine::StreamSummary &summary) = 0;
    /// \a retryAfter is zero when a retry cannot succeed.
    virtual void onFailed(const Failure &failure, absl::Duration retryAfter) = 0;
};

} // namespace rattanrill::entry
