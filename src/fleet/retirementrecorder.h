#pragma once

#include "rattanrill/fleet/fleetview.h"
#include "rattanrill/fleet/groupreplica.h"

#include <memory>

namespace rattanrill::fleet {

/// Keeps the records of the retirements up to date, on the leader of the fleet group: proposes the
/// changes that the view shows as needed, one at a time. Used on the event loop only.
class RetirementRecorder : public std::enable_shared_from_this<RetirementRecorder>
{
public:
    RetirementRecorder(GroupReplica &replica, const FleetView &view);

    void beginTerm() { m_isProposing = false; }
    /// Proposes the next change unless one is being proposed.
    void update();

private:
    GroupReplica &m_replica;
    const FleetView &m_view;
    bool m_isProposing = false;
};

} // namespace rattanrill::fleet
