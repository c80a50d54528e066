#pragma once

#include "workdispatcher.h"

#include "rattanrill/directory/directorysubscriber.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <string>

namespace rattanrill::entry {

/// Passes the contract shares of workspaces to the scheduler, for those that have sent work here.
class WorkspaceShares
{
public:
    WorkspaceShares(const directory::DirectorySubscriber &directory, WorkDispatcher &dispatcher);

    /// Call before each work of \a workspace.
    void note(const std::string &workspace) ABSL_LOCKS_EXCLUDED(m_mutex);
    void refresh(const directory::DirectoryView &view) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    void pass(const directory::DirectoryView &view, const std::string &workspace);

    const directory::DirectorySubscriber &m_directory;
    WorkDispatcher &m_dispatcher;
    absl::Mutex m_mutex;
    /// Contract revision that the scheduler knows.
    std::map<std::string, std::uint64_t> m_known ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
