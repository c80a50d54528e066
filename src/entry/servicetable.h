#pragma once

#include "callend.h"
#include "leavingannouncement.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/directory/directoryview.h"
#include "rattanrill/policy/failureshares.h"
#include "rattanrill/policy/outlierdetector.h"
#include "rattanrill/policy/servererrorejection.h"
#include "rattanrill/service/serviceclient.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Clients of the plain services that the directory lists, with their load, the number of this
/// entry's open calls, their outlier state and whether they leave.
///
/// Load pattern: an instance that responds with a server error at once has no load and attracts the
/// calls. It is ejected by its share of server errors; see policy::FailureShares.
class ServiceTable
{
public:
    using Client = std::shared_ptr<service::ServiceClient>;

    ServiceTable(std::string failureDomain, const Clock &clock);

    void update(const directory::DirectoryView &view) ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<Client> all() const ABSL_LOCKS_EXCLUDED(m_mutex);
    void loadReported(const std::string &name, const service::ServiceLoadReport &load)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Selects the instance of \a service with the lowest load that is not in \a excluded,
    /// preferably in the failure domain of this entry, and counts a call to it. An instance that is
    /// ejected for its server errors is selected only if there is no other. Returns null when there
    /// is none.
    Client beginCall(const std::string &service, const std::vector<std::string> &excluded)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends a call of \a workspace, which is empty on open routes. Returns the ejection of the
    /// instance for its server errors when it begins with this call.
    std::optional<policy::ServerErrorEjection> endCall(const std::string &name,
                                                       const std::string &workspace, CallEnd end)
            ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Instance
    {
        wire::Upstream upstream;
        Client client;
        service::ServiceLoadReport load;
        std::int64_t ownCalls = 0;
        policy::OutlierDetector outlier{policy::OutlierSettings()};
        LeavingAnnouncement announcement;
    };

    /// Returns an instance with the calls that still run since it was listed before.
    Instance newInstance(const std::string &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void endUnlistedCall(const std::string &name) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Client makeClient(const wire::Upstream &upstream);
    void announceLeaving(const std::string &name, const std::string &host, int port)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    static double capacity(const Instance &instance);
    static std::int64_t callCount(const Instance &instance);
    static bool isAccepting(absl::Time now, const Instance &instance);
    void retainFailures() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::vector<Instance *> usableInstances(absl::Time now, const std::string &service,
                                            const std::vector<std::string> &excluded)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    static void removeFailing(absl::Time now, const policy::FailureShares &failures,
                              std::vector<Instance *> &usable);
    double cost(absl::Time now, const policy::FailureShares &failures,
                const Instance &instance) const;
    std::optional<policy::ServerErrorEjection> recordEnd(absl::Time now, const std::string &name,
                                                         const std::string &workspace, CallEnd end)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::optional<policy::ServerErrorEjection>
    recordServerError(absl::Time now, const Instance &instance, const std::string &workspace)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    std::string m_failureDomain;
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Instance> m_instances ABSL_GUARDED_BY(m_mutex);
    /// Numbers of open calls to instances that are not listed, by name; none is 0.
    std::map<std::string, std::int64_t> m_unlistedCalls ABSL_GUARDED_BY(m_mutex);
    /// Shares of server errors, by service.
    std::map<std::string, policy::FailureShares> m_failures ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
