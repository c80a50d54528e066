#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/replication/raftnode.h"

#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Identity of a replica, stored in its data folder. A replica whose disk was lost returns under
/// another id, so that it never votes in place of the previous one.
struct ReplicaIdentity
{
    replication::ReplicaId replica;
    /// Initial voters of the group if this replica is one of them; otherwise empty.
    std::vector<replication::ReplicaId> initialVoters;
};

/// Returns the replica id for \a peerAddress ("host:port"). \a incarnation distinguishes the
/// replicas that have successively used one address.
replication::ReplicaId makeReplicaId(const std::string &peerAddress,
                                     const std::string &incarnation);

/// Incarnation of the replicas that bootstrap a deployment. It is fixed, so that each of them can
/// derive the ids of the others without an exchange of messages.
constexpr const char *bootstrapIncarnation = "founder";

/// Returns the peer address that a replica id contains.
std::string peerAddressOf(const replication::ReplicaId &replica);

/// Reads the identity in \a folder. When there is none, stores \a newIdentity there, synced to
/// disk, and returns it. Fails with IoError or CorruptData.
Result<ReplicaIdentity> loadOrCreateIdentity(const std::string &folder,
                                             const ReplicaIdentity &newIdentity);

/// Replaces the identity in \a folder and syncs it to disk before returning. Fails with IoError.
Result<void> saveIdentity(const std::string &folder, const ReplicaIdentity &identity);

} // namespace rattanrill::fleet
