#pragma once

#include "raftcore.h"

#include <string>
#include <string_view>
#include <vector>

/// Formats of the files in a data folder. All integers are little-endian, checksums are XXH3.
///
/// Segment: header, then one frame for each group commit. A frame is written and synced before the
/// next one, so only the last frame of the last segment can be torn by a loss of power.
namespace rattanrill::replication {

constexpr std::uint32_t storageFormatVersion = 1;

/// What the frames of a segment say, in order.
struct LogRecord
{
    std::optional<HardState> hardState;
    /// The log restarts after this index because a snapshot replaced it.
    std::optional<std::uint64_t> resetIndex;
    /// Replaces entries of the same and of higher indexes.
    std::vector<Entry> entries;
};

/// Frames of a segment.
struct SegmentContent
{
    std::vector<LogRecord> records;
    /// Bytes up to the end of the last intact frame.
    std::uint64_t intactBytes = 0;
    /// Bytes after it are the rest of an interrupted write.
    bool isTorn = false;
};

std::string encodeSegmentHeader(std::uint64_t sequence, std::uint64_t identityHash);
std::string encodeLogRecord(const LogRecord &record);
/// \a offset is the frame's place in the file; a frame at another place is invalid.
std::string encodeFrame(std::uint64_t sequence, std::uint64_t offset, std::string_view payload);
/// Fails with CorruptData or UnsupportedFormat, naming \a path and the offset.
Result<SegmentContent> decodeSegment(const std::string &path, std::string_view bytes,
                                     std::uint64_t sequence, std::uint64_t identityHash);

/// A snapshot file up to the state machine's data.
std::string encodeSnapshotHeader(const SnapshotMeta &meta, std::string_view data);
struct SnapshotContent
{
    SnapshotMeta meta;
    std::uint64_t dataOffset = 0;
};
/// Fails with CorruptData or UnsupportedFormat, naming \a path.
Result<SnapshotContent> decodeSnapshot(const std::string &path, std::string_view bytes);

/// Whose folder it is.
struct FolderIdentity
{
    std::string group;
    ReplicaId replica;
    std::string incarnation;
    /// Initial voters of the group when this replica is one of them, otherwise empty.
    std::vector<ReplicaId> founders;
};

std::string encodeIdentity(const FolderIdentity &identity);
Result<FolderIdentity> decodeIdentity(const std::string &path, std::string_view text);

} // namespace rattanrill::replication
