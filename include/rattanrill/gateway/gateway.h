#pragma once

#include "rattanrill/jobs/jobclient.h"
#include "rattanrill/net/server.h"
#include "rattanrill/serving/proxyrequest.h"

#include <list>
#include <memory>

namespace rattanrill::gateway {

/// Receives callers' requests in an entry process: resolves route and workspace, and forwards the
/// request to an upstream or, for batch jobs, to the store processes. Used on the event loop only.
class Gateway
{
public:
    Gateway(const serving::ServingContext &context, jobs::JobClient &jobs);

    /// Makes \a deployment the current configuration unless the current version is at least as new.
    /// Serves the requests that were held until a configuration arrived.
    void setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment);
    const std::shared_ptr<const serving::DeploymentIndex> &deployment() const;
    void serve(std::shared_ptr<net::Exchange> exchange);

private:
    /// A request that arrived before the first configuration.
    struct EarlyRequest
    {
        std::shared_ptr<net::Exchange> exchange;
        serving::CallerRequest caller;
        TimerService::TimerId timer = 0;
    };

    /// Holds a request until the first configuration arrives; refuses it after a timeout.
    void hold(const std::shared_ptr<net::Exchange> &exchange, serving::CallerRequest caller);
    void refuseEarly(const std::shared_ptr<net::Exchange> &exchange,
                     const serving::CallerRequest &caller);
    void route(const std::shared_ptr<net::Exchange> &exchange, serving::CallerRequest caller);
    void serveJobCall(const std::shared_ptr<net::Exchange> &exchange,
                      const serving::CallerRequest &caller, const serving::Workspace &workspace,
                      const serving::Route *route);
    void submit(const std::shared_ptr<net::Exchange> &exchange, wire::JobRecord job,
                absl::Duration timeout);
    void readResults(const std::shared_ptr<net::Exchange> &exchange,
                     const serving::ReadJobCall &call, const std::string &workspace);
    void readItem(const std::shared_ptr<net::Exchange> &exchange, const serving::ReadItemCall &call,
                  const std::string &workspace);
    void cancelJob(const std::shared_ptr<net::Exchange> &exchange,
                   const serving::CancelJobCall &call, const std::string &workspace);
    /// Refuses a request that takes up to \a timeout if this process may end before it. Returns
    /// whether the request was refused.
    void refuseUnknown(const std::shared_ptr<net::Exchange> &exchange, const std::string &requestId,
                       const Failure &failure);
    bool refuseBeforeEnd(const std::shared_ptr<net::Exchange> &exchange,
                         const std::string &requestId, absl::Duration timeout);
    void refuse(const std::shared_ptr<net::Exchange> &exchange, const std::string &requestId,
                const Failure &failure, absl::Duration retryAfter);

    const serving::ServingContext &m_context;
    jobs::JobClient &m_jobs;
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    const absl::Time m_startedAt;
    std::list<EarlyRequest> m_early;
};

} // namespace rattanrill::gateway
