#pragma once

#include "rattanrill/base/timerservice.h"
#include "rattanrill/fleet/groupreplica.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Finds out, on the leader of the store group, which retiring stores hold no copy any more. Only a
/// linearizable read of the group's membership counts. As the leader adds no store that it knows to
/// be retiring, a store that such a read does not show stays out. Used on the event loop only.
class RetirementMonitor : public std::enable_shared_from_this<RetirementMonitor>
{
public:
    using MembershipSource = std::function<void(GroupReplica::MembershipCallback)>;

    /// \a onRetired is called after retiredStores() has grown.
    RetirementMonitor(TimerService &timers, MembershipSource readMembership,
                      std::function<void()> onRetired);
    ~RetirementMonitor();
    RetirementMonitor(const RetirementMonitor &) = delete;
    RetirementMonitor &operator=(const RetirementMonitor &) = delete;

    /// Starts or stops the checks, when this replica gains or loses the leadership.
    void setActive(bool isActive);
    /// Sets the replica ids of the stores whose retirement is not completed.
    void setRetiringStores(const std::vector<std::string> &replicas);
    /// Those of them that hold no copy any more.
    const std::vector<std::string> &retiredStores() const { return m_retired; }

private:
    void check();
    void handleMembership(const std::vector<std::string> &checked,
                          const Outcome<std::vector<replication::ReplicaId>> &membership);

    TimerService &m_timers;
    const MembershipSource m_readMembership;
    const std::function<void()> m_onRetired;
    TimerService::TimerId m_timer = 0;
    std::vector<std::string> m_retiring;
    std::vector<std::string> m_retired;
    bool m_isReading = false;
    /// Failure of the last read, which is logged once.
    std::optional<ErrorCode> m_lastFailure;
};

} // namespace rattanrill::fleet
