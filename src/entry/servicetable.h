#pragma once

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

/// Clients of the plain services that the directory lists, with their load, the entry's own calls
/// and their outlier state.
class ServiceTable
{
public:
    using Client = std::shared_ptr<service::ServiceClient>;

    ServiceTable(std::string failureDomain, const Clock &clock);

    void update(const directory::DirectoryView &view) ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<Client> all() const ABSL_LOCKS_EXCLUDED(m_mutex);
    void loadReported(const std::string &name, const service::ServiceLoadReport &load)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Least loaded instance of \a service outside \a excluded, in the own failure domain first;
    /// counts a call on it. Null when there is none.
    Client begin(const std::string &service, const std::vector<std::string> &excluded)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends a call. \a failed counts against the instance; \a crashed ejects it at once.
    void end(const std::string &name, bool failed, bool crashed) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    struct Entry
    {
        wire::Upstream upstream;
        Client client;
        service::ServiceLoadReport load;
        std::int64_t ownCalls = 0;
        policy::OutlierDetector outlier{policy::OutlierSettings()};
    };

    double cost(const Entry &entry, absl::Time now) const;

    std::string m_failureDomain;
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Entry> m_entries ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
