#pragma once

#include "rattanrill/base/json.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace rattanrill::fakes {

/// Faults that are active in a fake. A fault is off when its member is zero, empty or false, and
/// slowFactor when it is 1.
struct FaultState
{
    /// The process crashes when it starts work on a request whose prompt (engine) or body (service)
    /// contains this text.
    std::string crashOn;
    /// Factor by which the duration of the work is multiplied.
    double slowFactor = 1;
    /// Delay of an engine's events or a service's response after the work for them is done.
    absl::Duration responseDelay;
    /// Number of pairs of running requests whose responses are still to be swapped.
    std::int64_t swapAnswers = 0;
    /// An engine closes a stream after this many tokens; a service closes the connection halfway
    /// through its response when this is not zero.
    std::int64_t cutAfterTokens = 0;
    /// Whether requests fail with UpstreamBusy.
    bool rejectRequests = false;
    /// Whether responses announce that the upstream leaves.
    bool leaving = false;
};

/// Holds the faults that "POST /faults" sets. Thread-safe; shared by the threads of a fake.
class Faults
{
public:
    /// Sets the faults that \a body has as members; a null member disables its fault. The duration
    /// "freeze_ms" starts at \a now. Fails with InvalidRequest on an unknown member or a wrong
    /// type; then no fault changes.
    Result<void> set(const Json &body, absl::Time now);
    FaultState state() const;
    /// End of the freeze; InfinitePast when none was set.
    absl::Time frozenUntil() const;
    /// Decrements swapAnswers and returns true; returns false when it is already 0.
    bool consumeAnswerSwap();
    /// Blocks until the freeze ends; returns immediately when the process is not frozen.
    void waitWhileFrozen(absl::Time now) const;

private:
    mutable absl::Mutex m_mutex;
    FaultState m_state ABSL_GUARDED_BY(m_mutex);
    absl::Time m_frozenUntil ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

/// Terminates the process like a crash: immediately, without clean-up and without responding to
/// requests.
[[noreturn]] void crashProcess();

} // namespace rattanrill::fakes
