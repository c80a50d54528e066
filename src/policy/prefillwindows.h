#pragma once

#include "absl/time/time.h"

#include <cstddef>

namespace rattanrill::policy {

/// Time windows in which batch prompts may start on an engine. The engines of a model form groups
/// whose windows follow each other, so that at any time most engines have no batch prompt in
/// prefill and can be used for online prompts. Entries derive the windows from their wall clocks.
/// When the clocks differ by more than a window, the windows lose their effect, but nothing fails.
class PrefillWindows
{
public:
    /// \a tailWeight is SchedulerSettings::onlineTailWeight. With a larger one, fewer engines are
    /// in their window at a time, and free slots wait longer for batch tasks.
    explicit PrefillWindows(double tailWeight);

    std::size_t groups() const { return m_groups; }
    /// Sets the offset of the wall clock from the clock of \a now in the other functions (wall
    /// clock minus that clock).
    void setClockOffset(absl::Duration offset) { m_clockOffset = offset; }
    /// Returns true when batch prompts may start on engines of \a group.
    bool isOpen(absl::Time now, std::size_t group) const;
    /// Returns true when a batch prompt may still be in prefill on engines of \a group.
    bool isBusy(absl::Time now, std::size_t group) const;
    absl::Time nextOpening(absl::Time now, std::size_t group) const;

private:
    /// Returns the time since the last start of a window of \a group.
    absl::Duration timeSinceOpening(absl::Time now, std::size_t group) const;

    std::size_t m_groups;
    absl::Duration m_window;
    absl::Duration m_prefillTime;
    absl::Duration m_clockOffset;
};

} // namespace rattanrill::policy
