#include "logformat.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/json.h"

namespace rattanrill::replication {
namespace {

constexpr std::uint32_t segmentMagic = 0x47535252;  // "RRSG"
constexpr std::uint32_t frameMagic = 0x52465252;    // "RRFR"
constexpr std::uint32_t snapshotMagic = 0x4e535252; // "RRSN"

constexpr std::size_t segmentHeaderBytes = 4 + 4 + 8 + 8 + 8;
constexpr std::size_t frameHeaderBytes = 4 + 4 + 8;
constexpr std::size_t snapshotHeaderBytes = 4 + 4 + 8 + 8 + 8 + 8;

enum class RecordTag : std::uint8_t {
    HardState = 1,
    Reset = 2,
    Entries = 3,
};

Failure corrupt(const std::string &path, std::uint64_t offset, std::string_view what)
{
    return notRun(ErrorCode::CorruptData, concat(path, " at byte ", offset, ": ", what));
}

void putPart(std::string &bytes, RecordTag tag, std::string_view part)
{
    bytes += static_cast<char>(tag);
    putUint32(bytes, static_cast<std::uint32_t>(part.size()));
    bytes += part;
}

Result<void> decodePart(LogRecord &record, RecordTag tag, std::string_view part)
{
    switch (tag) {
    case RecordTag::HardState: {
        BOOST_LEAF_AUTO(state, decodeHardState(part));
        record.hardState = std::move(state);
        return {};
    }
    case RecordTag::Reset:
        if (part.size() != 8)
            break;
        record.resetIndex = uint64At(part, 0);
        return {};
    case RecordTag::Entries: {
        BOOST_LEAF_AUTO(entries, decodeEntries(part));
        record.entries = std::move(entries);
        return {};
    }
    }
    return fail(notRun(ErrorCode::MalformedMessage,
                       "a part of a log record has an unknown tag or a wrong size"));
}

Result<LogRecord> decodeLogRecord(std::string_view bytes)
{
    LogRecord record;
    // Each part consists of its tag (1 byte), its size (4 bytes) and its data.
    while (!bytes.empty()) {
        if (bytes.size() < 5 || bytes.size() - 5 < uint32At(bytes, 1))
            return fail(notRun(ErrorCode::MalformedMessage, "a part of a log record is truncated"));
        const std::size_t size = uint32At(bytes, 1);
        const auto tag = static_cast<RecordTag>(bytes[0]);
        BOOST_LEAF_CHECK(decodePart(record, tag, bytes.substr(5, size)));
        bytes.remove_prefix(5 + size);
    }
    return record;
}

/// Checksum of a frame. It covers the position of the frame, so that stale or moved frames are
/// invalid.
std::uint64_t frameChecksum(std::uint64_t sequence, std::uint64_t offset, std::string_view payload)
{
    std::string position;
    putUint64(position, sequence);
    putUint64(position, offset);
    putUint64(position, payload.size());
    return stableHash(payload, stableHash(position));
}

/// Payload of the frame at \a offset; empty when there is no intact frame.
std::optional<std::string_view> frameAt(std::string_view bytes, std::uint64_t sequence,
                                        std::uint64_t offset)
{
    if (bytes.size() - offset < frameHeaderBytes || uint32At(bytes, offset) != frameMagic)
        return std::nullopt;
    const std::size_t size = uint32At(bytes, offset + 4);
    if (bytes.size() - offset - frameHeaderBytes < size)
        return std::nullopt;
    const std::string_view payload = bytes.substr(offset + frameHeaderBytes, size);
    if (uint64At(bytes, offset + 8) != frameChecksum(sequence, offset, payload))
        return std::nullopt;
    return payload;
}

/// Whether an intact frame follows anywhere after \a offset. If so, the damage at \a offset is not
/// due to an interrupted write.
bool hasLaterFrame(std::string_view bytes, std::uint64_t sequence, std::uint64_t offset)
{
    std::string magic;
    putUint32(magic, frameMagic);
    std::size_t position = bytes.find(magic, offset + 1);
    while (position != std::string_view::npos) {
        if (frameAt(bytes, sequence, position))
            return true;
        position = bytes.find(magic, position + 1);
    }
    return false;
}

Result<void> checkSegmentHeader(const std::string &path, std::string_view bytes,
                                std::uint64_t sequence, std::uint64_t identityHash)
{
    if (bytes.size() < segmentHeaderBytes || uint32At(bytes, 0) != segmentMagic)
        return fail(corrupt(path, 0, "not a log segment"));
    if (uint64At(bytes, 24) != stableHash(bytes.substr(0, 24)))
        return fail(corrupt(path, 0, "the checksum of the segment header is wrong"));
    if (uint32At(bytes, 4) != storageFormatVersion)
        return fail(notRun(ErrorCode::UnsupportedFormat,
                           concat(path, ": unsupported format version ", uint32At(bytes, 4))));
    if (uint64At(bytes, 8) != sequence)
        return fail(corrupt(path, 8, "the segment number differs from the one in the file name"));
    if (uint64At(bytes, 16) != identityHash)
        return fail(notRun(ErrorCode::IdentityMismatch,
                           concat(path, ": the segment belongs to another replica")));
    return {};
}

} // namespace

std::string encodeSegmentHeader(std::uint64_t sequence, std::uint64_t identityHash)
{
    std::string bytes;
    putUint32(bytes, segmentMagic);
    putUint32(bytes, storageFormatVersion);
    putUint64(bytes, sequence);
    putUint64(bytes, identityHash);
    putUint64(bytes, stableHash(bytes));
    return bytes;
}

std::string encodeLogRecord(const LogRecord &record)
{
    std::string bytes;
    if (record.hardState)
        putPart(bytes, RecordTag::HardState, encodeHardState(*record.hardState));
    if (record.resetIndex) {
        std::string index;
        putUint64(index, *record.resetIndex);
        putPart(bytes, RecordTag::Reset, index);
    }
    if (!record.entries.empty()) {
        std::string entries;
        for (const Entry &entry : record.entries)
            putEntry(entries, entry);
        putPart(bytes, RecordTag::Entries, entries);
    }
    return bytes;
}

std::string encodeFrame(std::uint64_t sequence, std::uint64_t offset, std::string_view payload)
{
    std::string bytes;
    bytes.reserve(frameHeaderBytes + payload.size());
    putUint32(bytes, frameMagic);
    putUint32(bytes, static_cast<std::uint32_t>(payload.size()));
    putUint64(bytes, frameChecksum(sequence, offset, payload));
    bytes += payload;
    return bytes;
}

Result<SegmentContent> decodeSegment(const std::string &path, std::string_view bytes,
                                     std::uint64_t sequence, std::uint64_t identityHash)
{
    BOOST_LEAF_CHECK(checkSegmentHeader(path, bytes, sequence, identityHash));
    SegmentContent content;
    std::uint64_t offset = segmentHeaderBytes;
    while (const auto payload = frameAt(bytes, sequence, offset)) {
        const auto record = outcomeOf([&] { return decodeLogRecord(*payload); });
        if (!record.ok())
            return fail(corrupt(path, offset, record.failure().detail));
        content.records.push_back(record.value());
        offset += frameHeaderBytes + payload->size();
    }
    if (hasLaterFrame(bytes, sequence, offset))
        return fail(corrupt(path, offset, "a damaged frame is followed by an intact one"));
    content.intactBytes = offset;
    content.isTorn = offset < bytes.size();
    return content;
}

std::string encodeSnapshotHeader(const SnapshotMeta &meta, std::string_view data)
{
    const std::string metaBytes = encodeSnapshotMeta(meta);
    std::string bytes;
    putUint32(bytes, snapshotMagic);
    putUint32(bytes, storageFormatVersion);
    putUint64(bytes, metaBytes.size());
    putUint64(bytes, data.size());
    putUint64(bytes, stableHash(data, stableHash(metaBytes)));
    putUint64(bytes, stableHash(bytes));
    return bytes + metaBytes;
}

Result<SnapshotContent> decodeSnapshot(const std::string &path, std::string_view bytes)
{
    if (bytes.size() < snapshotHeaderBytes || uint32At(bytes, 0) != snapshotMagic)
        return fail(corrupt(path, 0, "not a snapshot"));
    if (uint64At(bytes, 32) != stableHash(bytes.substr(0, 32)))
        return fail(corrupt(path, 0, "the checksum of the snapshot header is wrong"));
    if (uint32At(bytes, 4) != storageFormatVersion)
        return fail(notRun(ErrorCode::UnsupportedFormat,
                           concat(path, ": unsupported format version ", uint32At(bytes, 4))));
    const std::uint64_t metaSize = uint64At(bytes, 8);
    const std::uint64_t dataSize = uint64At(bytes, 16);
    if (bytes.size() != snapshotHeaderBytes + metaSize + dataSize)
        return fail(corrupt(path, bytes.size(),
                            "the file size differs from the size in the snapshot header"));
    SnapshotContent content;
    content.dataOffset = snapshotHeaderBytes + metaSize;
    const std::string_view meta = bytes.substr(snapshotHeaderBytes, metaSize);
    const std::string_view data = bytes.substr(content.dataOffset);
    if (uint64At(bytes, 24) != stableHash(data, stableHash(meta)))
        return fail(corrupt(path, snapshotHeaderBytes, "the checksum of the snapshot is wrong"));
    BOOST_LEAF_AUTO(decoded, decodeSnapshotMeta(meta));
    content.meta = std::move(decoded);
    return content;
}

std::string encodeIdentity(const FolderIdentity &identity)
{
    const std::string text = dumpJson(Json{{"format", storageFormatVersion},
                                           {"group", identity.group},
                                           {"replica", identity.replica},
                                           {"incarnation", identity.incarnation},
                                           {"founders", identity.initialVoters}});
    return concat(text, "\n", stableHash(text), "\n");
}

Result<FolderIdentity> decodeIdentity(const std::string &path, std::string_view text)
{
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    if (end == std::string_view::npos || text.substr(end) != concat("\n", stableHash(line), "\n"))
        return fail(corrupt(path, 0, "the checksum of the identity is wrong"));
    BOOST_LEAF_AUTO(json, parseJson(line, path));
    BOOST_LEAF_AUTO(format, jsonMember<std::int64_t>(json, "format"));
    if (format != storageFormatVersion)
        return fail(notRun(ErrorCode::UnsupportedFormat,
                           concat(path, ": unsupported format version ", format)));
    FolderIdentity identity;
    BOOST_LEAF_ASSIGN(identity.group, jsonMember<std::string>(json, "group"));
    BOOST_LEAF_ASSIGN(identity.replica, jsonMember<std::string>(json, "replica"));
    BOOST_LEAF_ASSIGN(identity.incarnation, jsonMember<std::string>(json, "incarnation"));
    for (const Json &voter : json.value("founders", Json::array()))
        identity.initialVoters.push_back(voter.get<std::string>());
    return identity;
}

} // namespace rattanrill::replication
