#include "filestorage.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <functional>

namespace rattanrill::replication {
namespace {

constexpr std::string_view identityName = "identity";
constexpr std::string_view lockName = "lock";
constexpr std::string_view segmentPrefix = "log-";
constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr std::string_view temporarySuffix = ".tmp";
constexpr std::size_t incarnationBytes = 12;

/// The number has a fixed width, so that names sort by number.
std::string numberedName(std::string_view prefix, std::uint64_t number)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(number));
    return concat(prefix, digits);
}

std::optional<std::uint64_t> numberOf(std::string_view prefix, const std::string &name)
{
    if (name.size() != prefix.size() + 16 || name.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data() + prefix.size(), end, number, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

bool endsWith(std::string_view text, std::string_view suffix)
{
    return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}

} // namespace

FileStorage::FileStorage(FileStorageOptions options, FileSystem &fileSystem)
    : m_options(std::move(options))
    , m_fileSystem(fileSystem)
{}

Result<std::unique_ptr<FileStorage>> FileStorage::open(FileStorageOptions options,
                                                       FileSystem &fileSystem, StoredState &state)
{
    std::unique_ptr<FileStorage> storage(new FileStorage(std::move(options), fileSystem));
    BOOST_LEAF_CHECK(storage->openFolder(state));
    return storage;
}

Result<void> FileStorage::openFolder(StoredState &state)
{
    BOOST_LEAF_CHECK(m_fileSystem.createFolder(m_options.folder));
    BOOST_LEAF_ASSIGN(m_lock, m_fileSystem.lock(path(lockName)));
    BOOST_LEAF_CHECK(removeTemporaryFiles());
    BOOST_LEAF_CHECK(readIdentity());
    state.incarnation = m_identity.incarnation;
    BOOST_LEAF_CHECK(readSnapshotFile(state));
    BOOST_LEAF_CHECK(readSegments(state));
    BOOST_LEAF_CHECK(reconcileSnapshotAndLog(state));
    if (m_hardState.founders.empty()) {
        for (const ReplicaId &id : m_identity.initialVoters)
            m_hardState.founders[id] = id == m_options.self ? m_identity.incarnation : "";
    }
    state.start.hardState = m_hardState;
    return {};
}

Result<void> FileStorage::removeTemporaryFiles()
{
    BOOST_LEAF_AUTO(names, m_fileSystem.list(m_options.folder));
    for (const std::string &name : names) {
        if (endsWith(name, temporarySuffix))
            BOOST_LEAF_CHECK(m_fileSystem.remove(path(name)));
    }
    return {};
}

Result<void> FileStorage::readIdentity()
{
    BOOST_LEAF_AUTO(names, m_fileSystem.list(m_options.folder));
    if (std::find(names.begin(), names.end(), identityName) == names.end()) {
        BOOST_LEAF_CHECK(removeUnfinishedInitialization(names));
        return createIdentity();
    }
    const std::string file = path(identityName);
    BOOST_LEAF_AUTO(text, m_fileSystem.read(file));
    BOOST_LEAF_ASSIGN(m_identity, decodeIdentity(file, text));
    if (m_identity.group != m_options.group || m_identity.replica != m_options.self)
        return fail(notRun(ErrorCode::IdentityMismatch,
                           concat(file, ": the folder belongs to replica \"", m_identity.replica,
                                  "\" of group \"", m_identity.group, "\"")));
    return {};
}

Result<void> FileStorage::removeUnfinishedInitialization(const std::vector<std::string> &names)
{
    const std::string firstSegment = numberedName(segmentPrefix, 1);
    for (const std::string &name : names) {
        if (name == lockName)
            continue;
        bool isUnused = false;
        if (name == firstSegment) {
            // The identity is written after the first segment, so an interrupted initialization
            // leaves a segment that has only a header. A longer one was in use, and its identity
            // file was lost.
            BOOST_LEAF_AUTO(bytes, m_fileSystem.read(path(name)));
            const std::string head = encodeSegmentHeader(1, 0);
            isUnused = bytes.size() == head.size();
        }
        if (!isUnused)
            return fail(
                    notRun(ErrorCode::IdentityMismatch, concat(m_options.folder, ": contains \"",
                                                               name, "\" but no identity file")));
        BOOST_LEAF_CHECK(m_fileSystem.remove(path(name)));
    }
    return {};
}

Result<void> FileStorage::createIdentity()
{
    m_identity = {m_options.group, m_options.self, randomHex(incarnationBytes), {}};
    const auto &initialVoters = m_options.initialVoters;
    if (std::find(initialVoters.begin(), initialVoters.end(), m_options.self)
        != initialVoters.end())
        m_identity.initialVoters = initialVoters;
    BOOST_LEAF_CHECK(
            writeFile(numberedName(segmentPrefix, 1), encodeSegmentHeader(1, identityHash()), ""));
    return writeFile(std::string(identityName), encodeIdentity(m_identity), "");
}

Result<void> FileStorage::readSnapshotFile(StoredState &state)
{
    BOOST_LEAF_AUTO(names, m_fileSystem.list(m_options.folder));
    std::vector<std::string> snapshots;
    for (const std::string &name : names) {
        if (numberOf(snapshotPrefix, name))
            snapshots.push_back(name);
    }
    if (snapshots.empty())
        return {};
    const std::string file = path(snapshots.back());
    BOOST_LEAF_AUTO(bytes, m_fileSystem.read(file));
    BOOST_LEAF_AUTO(content, decodeSnapshot(file, bytes));
    if (content.meta.index != numberOf(snapshotPrefix, snapshots.back()))
        return fail(
                notRun(ErrorCode::CorruptData,
                       concat(file, ": the snapshot index differs from the one in the file name")));
    state.start.snapshot = content.meta;
    state.snapshotData = bytes.substr(content.dataOffset);
    recordSnapshot(content.meta, content.dataOffset, state.snapshotData.size());
    snapshots.pop_back();
    for (const std::string &name : snapshots)
        BOOST_LEAF_CHECK(m_fileSystem.remove(path(name)));
    return {};
}

Result<void> FileStorage::readSegments(StoredState &state)
{
    BOOST_LEAF_AUTO(names, m_fileSystem.list(m_options.folder));
    SegmentContent last;
    for (const std::string &name : names) {
        const auto sequence = numberOf(segmentPrefix, name);
        if (!sequence)
            continue;
        const std::string file = path(name);
        if (last.isTorn)
            return fail(notRun(ErrorCode::CorruptData,
                               concat(path(numberedName(segmentPrefix, m_segments.back().sequence)),
                                      " at byte ", last.intactBytes,
                                      ": damaged frame in a segment that is not the last")));
        if (!m_segments.empty() && *sequence != m_segments.back().sequence + 1)
            return fail(notRun(ErrorCode::CorruptData,
                               concat(file, ": the preceding segment is missing")));
        BOOST_LEAF_AUTO(bytes, m_fileSystem.read(file));
        BOOST_LEAF_ASSIGN(last, decodeSegment(file, bytes, *sequence, identityHash()));
        m_segments.push_back({*sequence, 0});
        for (const LogRecord &record : last.records)
            BOOST_LEAF_CHECK(replay(file, record, state));
    }
    if (m_segments.empty())
        return fail(
                notRun(ErrorCode::CorruptData,
                       concat(m_options.folder, ": contains an identity file but no log segment")));
    return openLastSegment(last);
}

Result<void> FileStorage::replay(const std::string &path, const LogRecord &record,
                                 StoredState &state)
{
    if (record.hardState)
        m_hardState = *record.hardState;
    std::vector<Entry> &log = state.start.entries;
    std::uint64_t base = 0;
    if (record.resetIndex) {
        log.clear();
        base = *record.resetIndex;
    }
    for (const Entry &entry : record.entries) {
        while (!log.empty() && log.back().index >= entry.index)
            log.pop_back();
        const bool isGap = !log.empty() && log.back().index + 1 != entry.index;
        if (isGap || (base != 0 && log.empty() && entry.index != base + 1))
            return fail(notRun(ErrorCode::CorruptData,
                               concat(path, ": entries before ", entry.index, " are missing")));
        log.push_back(entry);
        m_segments.back().highestIndex = std::max(m_segments.back().highestIndex, entry.index);
    }
    return {};
}

Result<void> FileStorage::openLastSegment(const SegmentContent &content)
{
    const std::string file = path(numberedName(segmentPrefix, m_segments.back().sequence));
    BOOST_LEAF_ASSIGN(m_file, m_fileSystem.openAppend(file));
    m_fileBytes = content.intactBytes;
    if (content.isTorn) {
        log(LogLevel::Warning, "torn-log-tail-cut",
            {{"file", file}, {"bytes", content.intactBytes}, {"group", m_options.group}});
        BOOST_LEAF_CHECK(m_file->truncate(content.intactBytes));
    }
    // The process may have crashed before it synced the data that was just read.
    BOOST_LEAF_CHECK(m_file->sync());
    return m_fileSystem.syncFolder(m_options.folder);
}

Result<void> FileStorage::reconcileSnapshotAndLog(StoredState &state)
{
    const SnapshotMeta &snapshot = state.start.snapshot;
    std::vector<Entry> &log = state.start.entries;
    if (log.empty())
        return {};
    if (log.front().index > snapshot.index + 1)
        return fail(notRun(ErrorCode::CorruptData,
                           concat(m_options.folder, ": entries from ", snapshot.index + 1, " to ",
                                  log.front().index - 1, " are missing")));
    const bool coversSnapshot =
            log.front().index <= snapshot.index && log.back().index >= snapshot.index;
    const bool isOlder = log.back().index < snapshot.index;
    const bool conflicts =
            coversSnapshot && log[snapshot.index - log.front().index].term != snapshot.term;
    if (isOlder || conflicts) {
        // An installed snapshot replaces the log. The process stopped after it had written the
        // snapshot and before it started the new segment.
        log.clear();
        BOOST_LEAF_CHECK(startSegment(snapshot.index));
        return removeSegmentsBefore(m_segments.back().sequence);
    }
    const auto firstNeeded = std::find_if(log.begin(), log.end(), [&](const Entry &entry) {
        return entry.index > snapshot.index;
    });
    log.erase(log.begin(), firstNeeded);
    return {};
}

Result<void> FileStorage::runLatchingFailure(const std::function<Result<void>()> &operation)
{
    if (m_failure)
        return fail(*m_failure);
    const Outcome<Done> outcome = outcomeOf(operation);
    if (outcome.ok())
        return {};
    if (outcome.failure().code != ErrorCode::DiskFull)
        m_failure = outcome.failure();
    return fail(outcome.failure());
}

Result<void> FileStorage::write(const std::vector<PersistRequest> &requests)
{
    return runLatchingFailure([&]() -> Result<void> {
        LogRecord record;
        for (const PersistRequest &request : requests) {
            if (request.hardState)
                record.hardState = request.hardState;
            record.entries.insert(record.entries.end(), request.entries.begin(),
                                  request.entries.end());
        }
        if (m_fileBytes > m_options.segmentBytes)
            BOOST_LEAF_CHECK(startSegment(std::nullopt));
        return appendRecord(record);
    });
}

Result<void> FileStorage::appendRecord(const LogRecord &record)
{
    const std::uint64_t sequence = m_segments.back().sequence;
    const std::string frame = encodeFrame(sequence, m_fileBytes, encodeLogRecord(record));
    const Outcome<Done> written = outcomeOf([&] { return m_file->append(frame); });
    if (!written.ok()) {
        // The next frame must not follow a partially written one.
        BOOST_LEAF_CHECK(m_file->truncate(m_fileBytes));
        return fail(written.failure());
    }
    BOOST_LEAF_CHECK(m_file->sync());
    m_fileBytes += frame.size();
    if (record.hardState)
        m_hardState = *record.hardState;
    for (const Entry &entry : record.entries)
        m_segments.back().highestIndex = std::max(m_segments.back().highestIndex, entry.index);
    return {};
}

Result<void> FileStorage::startSegment(std::optional<std::uint64_t> resetIndex)
{
    // Each segment starts with the hard state, so that older segments can be removed.
    const std::uint64_t sequence = m_segments.back().sequence + 1;
    const std::string header = encodeSegmentHeader(sequence, identityHash());
    LogRecord first;
    first.hardState = m_hardState;
    first.resetIndex = resetIndex;
    const std::string frame = encodeFrame(sequence, header.size(), encodeLogRecord(first));
    const std::string name = numberedName(segmentPrefix, sequence);
    BOOST_LEAF_CHECK(writeFile(name, header, frame));
    BOOST_LEAF_ASSIGN(m_file, m_fileSystem.openAppend(path(name)));
    m_fileBytes = header.size() + frame.size();
    m_segments.push_back({sequence, 0});
    return {};
}

Result<void> FileStorage::writeFile(const std::string &name, std::string_view head,
                                    std::string_view data)
{
    const std::string temporary = path(concat(name, temporarySuffix));
    // A write that failed on a full disk may have left the temporary file behind.
    BOOST_LEAF_CHECK(m_fileSystem.remove(temporary));
    BOOST_LEAF_AUTO(file, m_fileSystem.openAppend(temporary));
    BOOST_LEAF_CHECK(file->append(head));
    BOOST_LEAF_CHECK(file->append(data));
    BOOST_LEAF_CHECK(file->sync());
    BOOST_LEAF_CHECK(m_fileSystem.rename(temporary, path(name)));
    return m_fileSystem.syncFolder(m_options.folder);
}

Result<void> FileStorage::writeSnapshotFile(const InstalledSnapshot &snapshot)
{
    const std::uint64_t previous = m_snapshotIndex;
    const std::string header = encodeSnapshotHeader(snapshot.meta, *snapshot.data);
    const std::string name = numberedName(snapshotPrefix, snapshot.meta.index);
    BOOST_LEAF_CHECK(writeFile(name, header, *snapshot.data));
    recordSnapshot(snapshot.meta, header.size(), snapshot.data->size());
    if (previous == 0 || previous == snapshot.meta.index)
        return {};
    return m_fileSystem.remove(path(numberedName(snapshotPrefix, previous)));
}

void FileStorage::recordSnapshot(const SnapshotMeta &meta, std::uint64_t dataOffset,
                                 std::uint64_t dataSize)
{
    m_snapshotIndex = meta.index;
    m_snapshotDataOffset = dataOffset;
    m_snapshotDataSize = dataSize;
}

Result<void> FileStorage::install(const PersistRequest &request)
{
    return runLatchingFailure([&]() -> Result<void> {
        BOOST_LEAF_CHECK(writeSnapshotFile(*request.snapshot));
        BOOST_LEAF_CHECK(startSegment(request.snapshot->meta.index));
        BOOST_LEAF_CHECK(removeSegmentsBefore(m_segments.back().sequence));
        if (!request.hardState && request.entries.empty())
            return {};
        LogRecord record;
        record.hardState = request.hardState;
        record.entries = request.entries;
        return appendRecord(record);
    });
}

Result<void> FileStorage::saveSnapshot(const InstalledSnapshot &snapshot)
{
    return runLatchingFailure([&]() -> Result<void> {
        if (snapshot.meta.index <= m_snapshotIndex)
            return {};
        BOOST_LEAF_CHECK(writeSnapshotFile(snapshot));
        std::uint64_t firstNeeded = m_segments.front().sequence;
        for (const Segment &segment : m_segments) {
            firstNeeded = segment.sequence;
            if (segment.highestIndex > snapshot.meta.index)
                break;
        }
        return removeSegmentsBefore(firstNeeded);
    });
}

Result<void> FileStorage::removeSegmentsBefore(std::uint64_t sequence)
{
    // Removes the oldest first, so that an interruption leaves no gap.
    while (m_segments.front().sequence < sequence) {
        const std::string name = numberedName(segmentPrefix, m_segments.front().sequence);
        BOOST_LEAF_CHECK(m_fileSystem.remove(path(name)));
        m_segments.pop_front();
    }
    return m_fileSystem.syncFolder(m_options.folder);
}

Result<SnapshotPart> FileStorage::readSnapshot(std::uint64_t index, std::uint64_t offset,
                                               std::uint64_t length)
{
    if (index != m_snapshotIndex || offset > m_snapshotDataSize)
        return fail(notRun(ErrorCode::NotFound, concat("no snapshot at index ", index)));
    SnapshotPart part;
    length = std::min(length, m_snapshotDataSize - offset);
    const std::string file = path(numberedName(snapshotPrefix, index));
    BOOST_LEAF_ASSIGN(part.data,
                      m_fileSystem.readRange(file, m_snapshotDataOffset + offset, length));
    part.last = offset + part.data.size() == m_snapshotDataSize;
    return part;
}

bool FileStorage::hasSpace()
{
    const auto free = outcomeOf([&] { return m_fileSystem.freeBytes(m_options.folder); });
    return free.ok() && free.value() >= m_options.minFreeBytes;
}

std::string FileStorage::path(std::string_view name) const
{
    return concat(m_options.folder, "/", name);
}

std::uint64_t FileStorage::identityHash() const
{
    return stableHash(m_identity.incarnation);
}

} // namespace rattanrill::replication
