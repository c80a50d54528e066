#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanrill::control {

/// Blocks an HTTP thread until the outcome of an asynchronous call is available.
class PendingOutcome
{
public:
    PendingOutcome();

    /// Returns the callback that sets the outcome. It may be called at most once, from any thread,
    /// and may outlive this object.
    std::function<void(const Outcome<std::string> &)> callback();
    /// Returns the outcome. Fails with Timeout and the effect state MayHaveRun when none arrives
    /// within \a timeout.
    Outcome<std::string> wait(absl::Duration timeout);

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace rattanrill::control
