#include "engineattempt.h"

namespace rattanrill::entry {

EngineAttempt::EngineAttempt(std::shared_ptr<engine::EngineClient> client, policy::StartTask start,
                             std::string requestId)
    : m_client(std::move(client))
    , m_start(std::move(start))
    , m_requestId(std::move(requestId))
{}

void EngineAttempt::markPreempting()
{
    absl::MutexLock lock(&m_mutex);
    m_preempting = true;
}

bool EngineAttempt::preempting() const
{
    absl::MutexLock lock(&m_mutex);
    return m_preempting;
}

bool EngineAttempt::cancelOnEngine()
{
    const Outcome<bool> response = m_client->cancel(m_requestId);
    return response.ok() && response.value();
}

void EngineAttempt::preempt(policy::PreemptMethod method)
{
    std::string handle;
    if (method == policy::PreemptMethod::ExportKv) {
        const Outcome<engine::ExportedCache> exported = m_client->exportCache(m_requestId);
        if (exported.ok())
            handle = exported.value().handle;
    }
    // An engine that has not received the request yet, or that no longer responds, cannot end the
    // stream, so it is aborted on this side.
    if (handle.empty() && !cancelOnEngine())
        m_abortSignal.abort();
    absl::MutexLock lock(&m_mutex);
    m_kvHandle = std::move(handle);
}

std::string EngineAttempt::awaitPreemption(absl::Duration timeout)
{
    absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(this, &EngineAttempt::preempted), timeout);
    return m_kvHandle.value_or(std::string());
}

void EngineAttempt::abandon()
{
    // The request is cancelled on the engine first, because the engine may not detect a closed
    // connection before its next write.
    cancelOnEngine();
    m_abortSignal.abort();
}

} // namespace rattanrill::entry
