#pragma once

#include "rattanrill/base/json.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace rattanrill::fakes {

/// Faults of a fake that are in force. Zero or empty: off.
struct FaultState
{
    std::string crashOn;
    double slowFactor = 1;
    absl::Duration lateAnswer;
    std::int64_t crossAnswers = 0;
    std::int64_t cutAfterTokens = 0;
    bool refuse = false;
};

/// Faults as "POST /faults" sets them, shared by the threads of a fake.
class Faults
{
public:
    /// Sets the members that \a body has; null resets one. "freeze_ms" counts from \a now. Fails
    /// with InvalidRequest, and changes nothing, on an unknown member or a wrong type.
    Result<void> set(const Json &body, absl::Time now);
    FaultState state() const;
    absl::Time frozenUntil() const;
    /// Takes one off the number of answers to cross; false when there is none.
    bool takeCrossing();
    /// Returns at once unless the process is frozen, else when the freeze ends.
    void waitWhileFrozen(absl::Time now) const;

private:
    mutable absl::Mutex m_mutex;
    FaultState m_state ABSL_GUARDED_BY(m_mutex);
    absl::Time m_frozenUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

/// Ends the process as a crash does: at once, with no clean-up and no answer.
[[noreturn]] void crashProcess();

} // namespace rattanrill::fakes
