#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fakes/enginemodel.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <deque>
#include <memory>
#include <optional>

namespace rattanrill::fakes {

/// An engine event with the request that it belongs to, which is another one than the receiver's
/// when answers were crossed.
struct DeliveredEvent
{
    EngineEvent event;
    std::shared_ptr<const EngineRequest> request;
};

/// Queue of events from the step loop to the connection of one request.
class EngineEventQueue
{
public:
    /// \a event may be taken from \a readyAt on; times do not decrease.
    void push(absl::Time readyAt, DeliveredEvent event);
    /// Next event whose time has come, waiting for it for at most \a timeout.
    std::optional<DeliveredEvent> pop(const Clock &clock, absl::Duration timeout);

private:
    struct Entry
    {
        absl::Time readyAt;
        DeliveredEvent event;
    };

    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::deque<Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::fakes
