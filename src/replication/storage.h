#pragma once

#include "raftcore.h"

namespace rattanrill::replication {

/// What a data folder holds.
struct StoredState
{
    /// Drawn when the folder was created.
    std::string incarnation;
    RaftStart start;
    /// State machine at start.snapshot.
    std::string snapshotData;
};

struct SnapshotPart
{
    std::string data;
    /// Ends at the end of the snapshot.
    bool last = false;
};

/// Durable part of a replica. Calls come one at a time. After a return without failure the change
/// survives a loss of power. DiskFull had no effect and may be repeated; after any other failure
/// every later call fails.
class Storage
{
public:
    virtual ~Storage() = default;

    /// Writes hard states and entries of several requests with one sync. The requests carry no
    /// snapshot.
    virtual Result<void> write(const std::vector<PersistRequest> &requests) = 0;
    /// Replaces the log by a snapshot that the leader sent, then writes the rest of the request.
    virtual Result<void> install(const PersistRequest &request) = 0;
    /// Keeps a snapshot of the own state and drops the log before it.
    virtual Result<void> saveSnapshot(const InstalledSnapshot &snapshot) = 0;
    /// Part of the latest snapshot. Fails with NotFound, and without consequence, when its index is
    /// not \a index.
    virtual Result<SnapshotPart> readSnapshot(std::uint64_t index, std::uint64_t offset,
                                              std::uint64_t length) = 0;
    /// Whether enough space is left for the writes that are under way.
    virtual bool hasSpace() = 0;
};

} // namespace rattanrill::replication
