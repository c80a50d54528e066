#pragma once

#include "filesystem.h"
#include "logformat.h"
#include "storage.h"

#include <deque>

namespace rattanrill::replication {

struct FileStorageOptions
{
    std::string folder;
    std::string group;
    ReplicaId self;
    /// Voters of a new group; stored when the folder is created.
    std::vector<ReplicaId> initialVoters;
    /// A new segment is started once the current one is larger than this.
    std::uint64_t segmentBytes = 8u << 20;
    /// hasSpace() returns false when fewer bytes are free. Must be at least the total size of the
    /// writes that can be in progress.
    std::uint64_t minFreeBytes = 16u << 20;
};

/// Storage in one folder, which contains the files `identity` and `lock`, the log segments
/// `log-SEQUENCE` and the latest snapshot, `snapshot-INDEX`, if there is one.
class FileStorage : public Storage
{
public:
    /// Opens or creates the folder and reads its state into \a state. Fails with CorruptData,
    /// UnsupportedFormat, IdentityMismatch, DiskFull, FsyncFailed or IoError.
    static Result<std::unique_ptr<FileStorage>> open(FileStorageOptions options,
                                                     FileSystem &fileSystem, StoredState &state);

    Result<void> write(const std::vector<PersistRequest> &requests) override;
    Result<void> install(const PersistRequest &request) override;
    Result<void> saveSnapshot(const InstalledSnapshot &snapshot) override;
    Result<SnapshotPart> readSnapshot(std::uint64_t index, std::uint64_t offset,
                                      std::uint64_t length) override;
    bool hasSpace() override;

private:
    struct Segment
    {
        std::uint64_t sequence = 0;
        /// Highest index of the entries in this segment; 0 when there are none.
        std::uint64_t highestIndex = 0;
    };

    FileStorage(FileStorageOptions options, FileSystem &fileSystem);

    // Opening
    Result<void> openFolder(StoredState &state);
    Result<void> removeTemporaryFiles();
    Result<void> readIdentity();
    Result<void> createIdentity();
    Result<void> removeUnfinishedInitialization(const std::vector<std::string> &names);
    Result<void> readSnapshotFile(StoredState &state);
    Result<void> readSegments(StoredState &state);
    Result<void> replay(const std::string &path, const LogRecord &record, StoredState &state);
    Result<void> reconcileSnapshotAndLog(StoredState &state);
    Result<void> openLastSegment(const SegmentContent &content);

    // Writing. runLatchingFailure() stores a failure other than DiskFull and returns it for every
    // later call.
    Result<void> runLatchingFailure(const std::function<Result<void>()> &operation);
    Result<void> appendRecord(const LogRecord &record);
    Result<void> startSegment(std::optional<std::uint64_t> resetIndex);
    Result<void> writeFile(const std::string &name, std::string_view head, std::string_view data);
    Result<void> writeSnapshotFile(const InstalledSnapshot &snapshot);
    Result<void> removeSegmentsBefore(std::uint64_t sequence);
    void recordSnapshot(const SnapshotMeta &meta, std::uint64_t dataOffset, std::uint64_t dataSize);

    std::string path(std::string_view name) const;
    std::uint64_t identityHash() const;

    const FileStorageOptions m_options;
    FileSystem &m_fileSystem;
    std::shared_ptr<void> m_lock;
    FolderIdentity m_identity;
    HardState m_hardState;
    std::deque<Segment> m_segments;
    std::unique_ptr<AppendFile> m_file;
    std::uint64_t m_fileBytes = 0;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_snapshotDataOffset = 0;
    std::uint64_t m_snapshotDataSize = 0;
    std::optional<Failure> m_failure;
};

} // namespace rattanrill::replication
