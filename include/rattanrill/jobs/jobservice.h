#pragma once

#include "rattanrill/jobs/jobexecutor.h"
#include "rattanrill/peer/server.h"

#include <memory>

namespace rattanrill::jobs {

/// Serves calls about batch jobs on the leader of the store group. Starts and stops the executor's
/// work when this replica gains or loses leadership. Used on the event loop only.
class JobService
{
public:
    JobService(const JobExecutorContext &context, JobExecutor &executor);
    ~JobService();
    JobService(const JobService &) = delete;
    JobService &operator=(const JobService &) = delete;

    /// Registers the handlers for the calls of JobClient. Must be called before the server starts.
    void install(peer::Server &server);
    /// Sets the configuration that defines the routes of submitted jobs and their limits.
    void setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment);
    /// Must be called when this replica has gained or lost leadership of the store group.
    void handleLeadershipChange(bool isLeader);
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::jobs
