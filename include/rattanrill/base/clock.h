#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace rattanrill {

/// Source of time. Code whose decisions depend on time takes a Clock as an argument, so that tests
/// and benchmarks can run it in virtual time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time since an arbitrary start, including the time for which the machine was
    /// suspended; it never decreases. Use it for leases, timeouts and rates.
    virtual absl::Time now() const = 0;
    /// Wall-clock time. Use it for log lines, due times and retention.
    virtual absl::Time wallNow() const = 0;
};

/// Clock of the operating system.
class SystemClock : public Clock
{
public:
    absl::Time now() const override;
    absl::Time wallNow() const override;

    static const SystemClock &instance();
};

/// Clock that a test or benchmark advances explicitly. Thread-safe.
class ManualClock : public Clock
{
public:
    explicit ManualClock(absl::Time start = absl::FromUnixSeconds(1000000));

    absl::Time now() const override;
    absl::Time wallNow() const override { return now(); }
    void advance(absl::Duration step);
    void advanceTo(absl::Time time);

private:
    mutable absl::Mutex m_mutex;
    absl::Time m_now ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill
