#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/replication/raftnode.h"

#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Who a replica is, as kept in its data folder: a replica whose disk was lost comes back under
/// another id and never votes for the former one.
struct ReplicaIdentity
{
    replication::ReplicaId replica;
    /// First voters of the group, when this replica is one of them.
    std::vector<replication::ReplicaId> founders;
};

/// Replica id at \a peerAddress ("host:port"). \a incarnation tells apart the replicas that one
/// address has had.
replication::ReplicaId makeReplicaId(const std::string &peerAddress,
                                     const std::string &incarnation);

/// Mark of the replicas that found a deployment; known to all of them without an exchange.
constexpr const char *founderIncarnation = "founder";

/// Peer address inside a replica id.
std::string peerAddressOf(const replication::ReplicaId &replica);

/// Reads the identity in \a folder, or keeps and syncs \a fresh as the new one. Fails with IoError
/// or CorruptData.
Result<ReplicaIdentity> loadOrCreateIdentity(const std::string &folder,
                                             const ReplicaIdentity &fresh);

/// Replaces the identity in \a folder; synced before return. Fails with IoError.
Result<void> saveIdentity(const std::string &folder, const ReplicaIdentity &identity);

} // namespace rattanrill::fleet
