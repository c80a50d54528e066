#include "workspaceshares.h"

#include <vector>

namespace rattanrill::entry {

WorkspaceShares::WorkspaceShares(const directory::DirectorySubscriber &directory,
                                 TaskDispatcher &dispatcher)
    : m_directory(directory)
    , m_dispatcher(dispatcher)
{}

void WorkspaceShares::registerWorkspace(const std::string &workspace)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_passedRevisions.emplace(workspace, 0).second)
            return;
    }
    passToScheduler(*m_directory.view(), workspace);
}

void WorkspaceShares::refresh(const directory::DirectoryView &view)
{
    std::vector<std::string> changed;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto &[workspace, revision] : m_passedRevisions) {
            const auto contract = view.contract(workspace);
            if (contract && contract->revision != revision)
                changed.push_back(workspace);
        }
    }
    for (const std::string &workspace : changed)
        passToScheduler(view, workspace);
}

void WorkspaceShares::passToScheduler(const directory::DirectoryView &view,
                                      const std::string &workspace)
{
    const auto contract = view.contract(workspace);
    if (!contract)
        return;
    const policy::WorkspaceWeights share{workspace, contract->ratePerSecond, contract->batchShare};
    m_dispatcher.updateScheduler(
            [&](policy::Scheduler &scheduler, absl::Time) { scheduler.setWorkspaces({share}); });
    absl::MutexLock lock(&m_mutex);
    m_passedRevisions[workspace] = contract->revision;
}

} // namespace rattanrill::entry
