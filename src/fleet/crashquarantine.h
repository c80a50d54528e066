#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fleet/fleetview.h"
#include "rattanrill/fleet/groupreplica.h"
#include "rattanrill/policy/crashtracker.h"
#include "rattanrill/wire/fleetmessages.h"

#include <memory>

namespace rattanrill::fleet {

/// Collects the evidence of all instances on traits of requests that crash upstreams, on the leader
/// of the fleet group. Blocks are records of the group, so that they survive the leader; the view
/// distributes them together with the suspects. Used on the event loop only.
class CrashQuarantine : public std::enable_shared_from_this<CrashQuarantine>
{
public:
    CrashQuarantine(GroupReplica &replica, FleetView &view, const Clock &clock);

    /// Starts with the blocks of the view's records, which must have been read in this term.
    void beginTerm();
    void addEvidence(const wire::CrashEvidence &evidence);
    /// Drops old evidence and blocks, and proposes again what could not be recorded.
    void update();

private:
    void addRejection(const wire::CrashEvidence &evidence, const wire::BlockedPrompt &rejected);
    void publish();
    void propose();
    void logCrash(const std::string &instance, const wire::CrashedAttempt &attempt) const;

    GroupReplica &m_replica;
    FleetView &m_view;
    const Clock &m_clock;
    policy::CrashTracker m_tracker;
    bool m_isProposing = false;
};

} // namespace rattanrill::fleet
