#pragma once

#include "rattanrill/base/result.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <memory>
#include <optional>
#include <utility>

namespace rattanrill::entry {

/// Runs \a start with a callback and waits for the callback's outcome. The asynchronous call
/// guarantees that the callback runs, after its own timeout at the latest.
template <typename Value, typename Start>
Outcome<Value> awaitOutcome(Start &&start)
{
    struct State
    {
        bool ready() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) { return outcome.has_value(); }

        absl::Mutex mutex;
        std::optional<Outcome<Value>> outcome ABSL_GUARDED_BY(mutex);
    };
    const auto state = std::make_shared<State>();
    start([state](Outcome<Value> outcome) {
        absl::MutexLock lock(&state->mutex);
        state->outcome = std::move(outcome);
    });
    absl::MutexLock lock(&state->mutex);
    state->mutex.Await(absl::Condition(state.get(), &State::ready));
    return std::move(*state->outcome);
}

} // namespace rattanrill::entry
