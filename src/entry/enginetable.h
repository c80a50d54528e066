#pragma once

#include "leavingannouncement.h"

#include "rattanrill/directory/directoryview.h"
#include "rattanrill/engine/engineclient.h"
#include "rattanrill/policy/enginestate.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Clients of the model engines that the directory lists, and whether the engines leave.
class EngineTable
{
public:
    using Client = std::shared_ptr<engine::EngineClient>;

    /// \a onLeaving is called when the first response arrives by which an engine announces that it
    /// leaves, on the thread of the call and without a lock held.
    EngineTable(absl::Duration idleTimeout, std::function<void()> onLeaving);

    /// Replaces the engines by those of \a view. A client that is in use stays valid after its
    /// engine was removed.
    void update(const directory::DirectoryView &view) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// The engines for the scheduler.
    std::vector<policy::EngineInfo> infos() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Null for an unknown engine.
    Client find(const std::string &name) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Whether requests may be sent through \a client: its engine is still listed at the same
    /// address and does not leave.
    bool acceptsRequests(const engine::EngineClient &client) const ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<Client> all() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Engine
    {
        wire::Upstream upstream;
        Client client;
        LeavingAnnouncement announcement;

        bool isLeaving() const
        {
            return upstream.state == wire::UpstreamState::Leaving || announcement.isAnnounced();
        }
    };

    Engine engineFor(const wire::Upstream &upstream) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Client makeClient(const wire::Upstream &upstream);
    void announceLeaving(const std::string &name, const std::string &host, int port)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    absl::Duration m_idleTimeout;
    std::function<void()> m_onLeaving;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Engine> m_engines ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
