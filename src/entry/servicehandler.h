#pragma once

#include "admission.h"
#include "claims.h"
#include "crashreporter.h"
#include "exchange.h"
#include "servicetable.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/directory/directorysubscriber.h"

#include "absl/time/time.h"

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
        const Clock &clock;
        Metrics &metrics;
    };

    ServiceHandler(Context context, std::size_t maxBodyBytes, absl::Duration timeout);

    /// Returns false when no route matches the path.
    bool handle(Exchange &exchange);

private:
    using ResponseOutcome = Outcome<service::ServiceResponse>;

    void serve(Exchange &exchange, const wire::Route &route);
    std::optional<Caller> admitCaller(Exchange &exchange, const wire::Route &route) const;
    Outcome<service::ServiceRequest> makeRequest(Exchange &exchange, const Caller &caller) const;
    ResponseOutcome run(const wire::Route &route, const service::ServiceRequest &request);
    ResponseOutcome runAttempt(const wire::Route &route, const service::ServiceRequest &request,
                               std::vector<std::string> &excluded);
    ResponseOutcome runClaimed(const wire::Route &route, const service::ServiceRequest &request,
                               const std::string &idempotencyKey, bool &replayed);
    ResponseOutcome responseOf(const wire::ClaimStatus &claim) const;
    void reportCrash(const std::string &fingerprint, const std::string &upstream);

    Context m_context;
    std::size_t m_maxBodyBytes;
    absl::Duration m_timeout;
};

} // namespace rattanrill::entry
