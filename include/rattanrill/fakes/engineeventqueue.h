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

/// An engine event with the request that it belongs to. When a fault has swapped two responses,
/// this is not the request of the connection that receives the event.
struct DeliveredEvent
{
    EngineEvent event;
    std::shared_ptr<const EngineRequest> request;
};

/// Queue of events from the step loop to the connection of one request.
class EngineEventQueue
{
public:
    /// Adds \a event, which pop() returns no earlier than \a readyAt. Successive calls must not
    /// pass a decreasing \a readyAt.
    void push(absl::Time readyAt, DeliveredEvent event);
    /// Removes and returns the next event that is ready, waiting for at most \a timeout; returns
    /// nullopt on timeout.
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
