#pragma once

#include "raftcore.h"

#include <string>
#include <string_view>
#include <vector>

/// Formats of the files in a data folder. All integers are little-endian, checksums are XXH3.
///
/// A segment consists of a header and one frame for each group commit. Each frame is written and
/// synced before the next one, so a loss of power can tear only the last frame of the last segment.
namespace rattanrill::replication {

constexpr std::uint32_t storageFormatVersion = 1;

/// Content of one frame. Records take effect in the order of their frames.
struct LogRecord
{
    std::optional<HardState> hardState;
    /// Set when a snapshot replaced the log; the log continues after this index.
    std::optional<std::uint64_t> resetIndex;
    /// Replace the existing entries at the same and higher indexes.
    std::vector<Entry> entries;
};

/// Decoded frames of a segment.
struct SegmentContent
{
    std::vector<LogRecord> records;
    /// Size of the segment up to the end of the last intact frame.
    std::uint64_t intactBytes = 0;
    /// Whether the intact part is followed by bytes of an interrupted write.
    bool isTorn = false;
};

std::string encodeSegmentHeader(std::uint64_t sequence, std::uint64_t identityHash);
std::string encodeLogRecord(const LogRecord &record);
/// \a offset is the position of the frame in the file. The checksum covers this position, so the
/// frame is invalid at any other one.
std::string encodeFrame(std::uint64_t sequence, std::uint64_t offset, std::string_view payload);
/// Fails with CorruptData, UnsupportedFormat, or IdentityMismatch when the segment belongs to
/// another replica. The failure contains \a path and, when the data is corrupt, the offset.
Result<SegmentContent> decodeSegment(const std::string &path, std::string_view bytes,
                                     std::uint64_t sequence, std::uint64_t identityHash);

/// Returns the part of a snapshot file that precedes the state machine's data.
std::string encodeSnapshotHeader(const SnapshotMeta &meta, std::string_view data);
struct SnapshotContent
{
    SnapshotMeta meta;
    std::uint64_t dataOffset = 0;
};
/// Fails with CorruptData or UnsupportedFormat; the failure contains \a path.
Result<SnapshotContent> decodeSnapshot(const std::string &path, std::string_view bytes);

/// The replica to which a data folder belongs.
struct FolderIdentity
{
    std::string group;
    ReplicaId replica;
    std::string incarnation;
    /// Initial voters of the group if this replica is one of them, otherwise empty.
    std::vector<ReplicaId> initialVoters;
};

std::string encodeIdentity(const FolderIdentity &identity);
Result<FolderIdentity> decodeIdentity(const std::string &path, std::string_view text);

} // namespace rattanrill::replication
