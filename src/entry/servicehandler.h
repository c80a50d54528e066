#pragma once

#include "admission.h"
#include "claims.h"
#include "crashreporter.h"
#include "exchange.h"
#include "servicetable.h"
#include "shutdowndeadline.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/directory/directorysubscriber.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <set>
#include <string>

namespace rattanrill::entry {

/// Serves the routes to plain services. A call that is not idempotent runs at most once: with an
/// Idempotency-Key it is claimed durably first, and it is never retried after it may have run.
class ServiceHandler
{
public:
    struct Context
    {
        const Admission &admission;
        const directory::DirectorySubscriber &directory;
        ServiceTable &services;
        Claims &claims;
        CrashReporter &crashReporter;
        const ShutdownDeadline &shutdown;
        const Clock &clock;
        Metrics &metrics;
    };

    ServiceHandler(Context context, std::size_t maxBodyBytes, absl::Duration timeout);

    /// Returns false when no route matches the path.
    bool handle(Exchange &exchange);
    /// Ends the running calls with a failure. To be called after the shutdown deadline has passed,
    /// from which on no call begins.
    void abortCalls() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    using ResponseOutcome = Outcome<service::ServiceResponse>;

    void serve(Exchange &exchange, const wire::Route &route);
    std::optional<Caller> admitCaller(Exchange &exchange, const wire::Route &route) const;
    Outcome<service::ServiceRequest> makeRequest(Exchange &exchange, const Caller &caller) const;
    ResponseOutcome run(const wire::Route &route, const service::ServiceRequest &request);
    ResponseOutcome runAttempt(const wire::Route &route, const service::ServiceRequest &request,
                               std::vector<std::string> &excluded);
    ResponseOutcome call(const ServiceTable::Client &client, const service::ServiceRequest &request)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    ResponseOutcome runClaimed(const wire::Route &route, const service::ServiceRequest &request,
                               const std::string &idempotencyKey, bool &replayed);
    ResponseOutcome responseOf(const wire::ClaimStatus &claim) const;
    void reportCrash(const std::string &fingerprint, const std::string &upstream);

    Context m_context;
    std::size_t m_maxBodyBytes;
    absl::Duration m_timeout;
    absl::Mutex m_mutex;
    /// Client of each running call.
    std::multiset<ServiceTable::Client> m_calls ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
