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

/// One attempt to run a task on one engine. Other threads can preempt or abandon it.
class EngineAttempt
{
public:
    EngineAttempt(std::shared_ptr<engine::EngineClient> client, policy::StartTask start,
                  std::string requestId);

    engine::EngineClient &client() const { return *m_client; }
    const policy::StartTask &start() const { return m_start; }
    const std::string &requestId() const { return m_requestId; }
    engine::AbortSignal &abortSignal() { return m_abortSignal; }

    /// Marks the attempt as preempted; to be called before preempt().
    void markPreempting() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool preempting() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends the engine's stream by \a method. Blocks for at most two engine calls.
    void preempt(policy::PreemptMethod method) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until preempt() has finished; returns the handle of the exported KV cache, or an empty
    /// string.
    std::string awaitPreemption(absl::Duration timeout) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Cancels the attempt; its answer is no longer needed.
    void abandon();

private:
    bool cancelOnEngine();
    bool preempted() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_kvHandle.has_value(); }

    std::shared_ptr<engine::EngineClient> m_client;
    policy::StartTask m_start;
    std::string m_requestId;
    engine::AbortSignal m_abortSignal;
    mutable absl::Mutex m_mutex;
    bool m_preempting ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<std::string> m_kvHandle ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
