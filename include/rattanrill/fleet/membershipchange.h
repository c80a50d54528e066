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
    /// It was heard of within the member timeout.
    bool alive = true;
    /// The operator wants it emptied.
    bool retiring = false;
};

/// One change of a group's voters; either id may be empty, not both.
struct MembershipChange
{
    replication::ReplicaId added;
    replication::ReplicaId replaced;
};

struct MembershipRules
{
    /// An odd number: one more voter than that adds work but no tolerance.
    std::size_t maxVoters = 5;
};

/// Decides the next change of a group's voters, for the group's leader; no change when the voters
/// are as they should be. Load pattern: machines and disks that are lost one after another without
/// an operator. A voter leaves only together with the arrival of a process that has caught up, so
/// that the number of copies never falls, except for a retiring one when enough others remain.
/// Without candidates nothing is known, and nothing is changed.
std::optional<MembershipChange> nextMembershipChange(const replication::RaftNodeStatus &status,
                                                     const std::vector<VoterCandidate> &candidates,
                                                     const MembershipRules &rules);

} // namespace rattanrill::fleet
