#pragma once

#include "rattanrill/engine/abortsignal.h"
#include "rattanrill/engine/engineclient.h"
#include "rattanrill/policy/scheduler.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <string>

namespace rattanrill::entry {

/// One try of a work on one engine, and how it is ended from outside.
class EngineTry
{
public:
    EngineTry(std::shared_ptr<engine::EngineClient> client, policy::StartTask start,
              std::string requestId);

    engine::EngineClient &client() const { return *m_client; }
    const policy::StartTask &start() const { return m_start; }
    const std::string &requestId() const { return m_requestId; }
    engine::AbortSignal &cancellation() { return m_cancellation; }

    /// Marks the try as preempted before the engine is told.
    void markPreempting() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool preempting() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends the engine's stream by \a method. Blocks for two engine calls at most.
    void preempt(policy::PreemptMethod method) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits for preempt() to end; returns the exported handle or an empty text.
    std::string awaitPreemption(absl::Duration timeout) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends the try without interest in its answer.
    void giveUp();

private:
    bool cancelOnEngine();
    bool preempted() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_kvHandle.has_value(); }

    std::shared_ptr<engine::EngineClient> m_client;
    policy::StartTask m_start;
    std::string m_requestId;
    engine::AbortSignal m_cancellation;
    mutable absl::Mutex m_mutex;
    bool m_preempting ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<std::string> m_kvHandle ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
