#pragma once

#include "leavingannouncement.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/directory/directoryview.h"
#include "rattanrill/policy/outlierdetector.h"
#include "rattanrill/service/serviceclient.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Clients of the plain services that the directory lists, with their load, the number of this
/// entry's open calls, their outlier state and whether they leave.
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
    /// preferably in the failure domain of this entry, and counts a call to it. Returns null when
    /// there is none.
    Client beginCall(const std::string &service, const std::vector<std::string> &excluded)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends a call. \a failed counts against the instance; \a crashed ejects it at once.
    void endCall(const std::string &name, bool failed, bool crashed) ABSL_LOCKS_EXCLUDED(m_mutex);

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

    Client makeClient(const wire::Upstream &upstream);
    void announceLeaving(const std::string &name, const std::string &host, int port)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    double cost(const Instance &instance, absl::Time now) const;

    std::string m_failureDomain;
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Instance> m_instances ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
