#pragma once

#include "absl/time/time.h"

#include <cstddef>

namespace rattanrill::policy {

/// Times at which batch prompts may start on an engine. The engines of a model form groups whose
/// windows follow each other, so that at any time most engines have no batch prompt in prefill and
/// online prompts go there. Entries agree on the windows by their wall clocks; clocks that
/// disagree by more than a window only lose the effect.
class PrefillWindows
{
public:
    /// \a tailWeight is SchedulerSettings::onlineTailWeight: with a larger one fewer engines are in
    /// their window at a time, and places wait longer for batch work.
    explicit PrefillWindows(double tailWeight);

    std::size_t groups() const { return m_groups; }
    /// Wall-clock time minus the time passed as now.
    void setClockOffset(absl::Duration offset) { m_offset = offset; }
    /// Batch prompts may start on engines of \a group.
    bool isOpen(absl::Time now, std::size_t group) const;
    /// A batch prompt may still be in prefill on engines of \a group.
    bool isBusy(absl::Time now, std::size_t group) const;
    absl::Time nextOpening(absl::Time now, std::size_t group) const;

private:
    /// Time since the window of \a group opened last.
    absl::Duration sinceOpening(absl::Time now, std::size_t group) const;

    std::size_t m_groups;
    absl::Duration m_window;
    absl::Duration m_prefillTime;
    absl::Duration m_offset;
};

} // namespace rattanrill::policy
