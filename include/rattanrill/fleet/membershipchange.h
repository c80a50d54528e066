#pragma once

#include "rattanrill/replication/raftnode.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// A process that can hold a replica of a group.
struct VoterCandidate
{
    replication::ReplicaId replica;
    std::string failureDomain;
    /// Whether the process has sent a heartbeat within the member timeout.
    bool alive = true;
    /// Whether an operator has requested that the process no longer hold a replica.
    bool retiring = false;
};

/// One change of a group's voters: adds a replica, removes one, or replaces one by another. At
/// least one of the two ids is set; the other may be empty.
struct MembershipChange
{
    replication::ReplicaId added;
    replication::ReplicaId removed;
};

/// Limits on the voters of a group.
struct VoterLimits
{
    /// Maximum number of voters. An odd number, because one more voter would add work but would not
    /// increase the number of tolerated failures.
    std::size_t maxVoters = 5;
    /// Minimum number of voters that remain when a retiring voter is removed without a replacement:
    /// twice the number of tolerated failures plus one.
    std::size_t minVoters = 3;
};

/// Decides the next change of a group's voters, on the group's leader. Returns no change when the
/// set of voters needs none. Designed for deployments in which machines and disks are lost one
/// after another and no operator intervenes. A voter is removed only when a replica that has caught
/// up replaces it, so that the number of copies never decreases; the exception is a retiring voter
/// when enough others remain. Returns no change when \a candidates is empty, because the state of
/// the voters is then unknown.
std::optional<MembershipChange> nextMembershipChange(const replication::RaftNodeStatus &status,
                                                     const std::vector<VoterCandidate> &candidates,
                                                     const VoterLimits &limits);

} // namespace rattanrill::fleet
