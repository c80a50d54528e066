#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanrill::control {

/// Outcome of an asynchronous call that an HTTP thread waits for.
class PendingOutcome
{
public:
    PendingOutcome();

    /// To be called at most once, from any thread; may outlive this object.
    std::function<void(const Outcome<std::string> &)> callback();
    /// Fails with Timeout, MayHaveRun, when no outcome arrives.
    Outcome<std::string> wait(absl::Duration timeout);

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace rattanrill::control
