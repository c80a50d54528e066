#pragma once

#include "rattanrill/directory/directoryview.h"
#include "rattanrill/engine/engineclient.h"
#include "rattanrill/policy/enginestate.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Clients of the model engines that the directory lists.
class EngineTable
{
public:
    using Client = std::shared_ptr<engine::EngineClient>;

    explicit EngineTable(absl::Duration idleTimeout);

    /// Replaces the engines by those of \a view and returns them for the scheduler. A client that
    /// is in use stays valid after its engine was removed.
    std::vector<policy::EngineInfo> update(const directory::DirectoryView &view)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Null for an unknown engine.
    Client find(const std::string &name) const ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<Client> all() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    Client clientFor(const wire::Upstream &upstream) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    absl::Duration m_idleTimeout;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Client> m_clients ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
