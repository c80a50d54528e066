#include "enginetry.h"

namespace rattanrill::entry {

EngineTry::EngineTry(std::shared_ptr<engine::EngineClient> client, policy::StartTask start,
                     std::string requestId)
    : m_client(std::move(client))
    , m_start(std::move(start))
    , m_requestId(std::move(requestId))
{}

void EngineTry::markPreempting()
{
    absl::MutexLock lock(&m_mutex);
    m_preempting = true;
}

bool EngineTry::preempting() const
{
    absl::MutexLock lock(&m_mutex);
    return m_preempting;
}

bool EngineTry::cancelOnEngine()
{
    const Outcome<bool> answer = m_client->cancel(m_requestId);
    return answer.ok() && answer.value();
}

void EngineTry::preempt(policy::PreemptMethod method)
{
    std::string handle;
    if (method == policy::PreemptMethod::ExportKv) {
        const Outcome<engine::ExportedCache> exported = m_client->exportCache(m_requestId);
        if (exported.ok())
            handle = exported.value().handle;
    }
    // An engine that does not know the request yet or no longer answers cannot end the stream.
    if (handle.empty() && !cancelOnEngine())
        m_cancellation.abort();
    absl::MutexLock lock(&m_mutex);
    m_kvHandle = std::move(handle);
}

std::string EngineTry::awaitPreemption(absl::Duration timeout)
{
    absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(this, &EngineTry::preempted), timeout);
    return m_kvHandle.value_or(std::string());
}

void EngineTry::giveUp()
{
    // The engine is told first: it may not notice a closed connection until its next write.
    cancelOnEngine();
    m_cancellation.abort();
}

} // namespace rattanrill::entry
