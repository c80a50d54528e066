#pragma once

#include "raftcore.h"

namespace rattanrill::replication {

/// Content of a data folder.
struct StoredState
{
    /// Random identifier, generated when the folder was created.
    std::string incarnation;
    RaftStart start;
    /// State machine data of start.snapshot.
    std::string snapshotData;
};

struct SnapshotPart
{
    std::string data;
    /// Whether the snapshot ends with this part.
    bool last = false;
};

/// Durable storage of a replica. Calls are never concurrent. A change survives a loss of power once
/// the call has succeeded. A call that fails with DiskFull has no effect and may be retried. After
/// any other failure of write(), install() or saveSnapshot(), all later calls of these functions
/// fail.
class Storage
{
public:
    virtual ~Storage() = default;

    /// Writes the hard states and entries of several requests with one sync. The requests must not
    /// contain a snapshot.
    virtual Result<void> write(const std::vector<PersistRequest> &requests) = 0;
    /// Replaces the log by the snapshot of \a request, which the leader sent, then writes the rest
    /// of the request.
    virtual Result<void> install(const PersistRequest &request) = 0;
    /// Stores a snapshot of the local state and removes log segments that it makes obsolete.
    virtual Result<void> saveSnapshot(const InstalledSnapshot &snapshot) = 0;
    /// Returns a part of the latest snapshot. Fails with NotFound when its index is not \a index;
    /// such a failure does not affect later calls.
    virtual Result<SnapshotPart> readSnapshot(std::uint64_t index, std::uint64_t offset,
                                              std::uint64_t length) = 0;
    /// Whether enough space is left for the writes in progress.
    virtual bool hasSpace() = 0;
};

} // namespace rattanrill::replication
