#pragma once

#include "taskdispatcher.h"

#include "rattanrill/directory/directorysubscriber.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <string>

namespace rattanrill::entry {

/// Passes the shares in the contracts of workspaces to the scheduler, for those workspaces that
/// have submitted tasks to this entry.
class WorkspaceShares
{
public:
    WorkspaceShares(const directory::DirectorySubscriber &directory, TaskDispatcher &dispatcher);

    /// To be called before each task of \a workspace is submitted.
    void registerWorkspace(const std::string &workspace) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Passes the shares of contracts that have changed.
    void refresh(const directory::DirectoryView &view) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    void passToScheduler(const directory::DirectoryView &view, const std::string &workspace);

    const directory::DirectorySubscriber &m_directory;
    TaskDispatcher &m_dispatcher;
    absl::Mutex m_mutex;
    /// Contract revision that was last passed to the scheduler, by workspace.
    std::map<std::string, std::uint64_t> m_passedRevisions ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
