#include "pendingoutcome.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <optional>

namespace rattanrill::control {

struct PendingOutcome::State
{
    absl::Mutex mutex;
    absl::CondVar arrived;
    std::optional<Outcome<std::string>> outcome ABSL_GUARDED_BY(mutex);
};

PendingOutcome::PendingOutcome()
    : m_state(std::make_shared<State>())
{}

std::function<void(const Outcome<std::string> &)> PendingOutcome::callback()
{
    return [state = m_state](const Outcome<std::string> &outcome) {
        absl::MutexLock lock(&state->mutex);
        state->outcome = outcome;
        state->arrived.Signal();
    };
}

Outcome<std::string> PendingOutcome::wait(absl::Duration timeout)
{
    absl::MutexLock lock(&m_state->mutex);
    while (!m_state->outcome) {
        if (m_state->arrived.WaitWithTimeout(&m_state->mutex, timeout) && !m_state->outcome)
            return mayHaveRun(ErrorCode::Timeout, "the group did not respond in time");
    }
    return *m_state->outcome;
}

} // namespace rattanrill::control
