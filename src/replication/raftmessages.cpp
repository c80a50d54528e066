#include "raftmessages.h"

#include "messagedefinition.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::replication {
namespace {

using wire::throwConversionError;

constexpr std::array<EnumName<MessageType>, 16> messageTypeNames = {{
        {MessageType::Introduce, "introduce"},
        {MessageType::IntroduceReply, "introduce_reply"},
        {MessageType::IdentityRefused, "identity_refused"},
        {MessageType::PreVote, "pre_vote"},
        {MessageType::PreVoteReply, "pre_vote_reply"},
        {MessageType::Vote, "vote"},
        {MessageType::VoteReply, "vote_reply"},
        {MessageType::Append, "append"},
        {MessageType::AppendReply, "append_reply"},
        {MessageType::Heartbeat, "heartbeat"},
        {MessageType::HeartbeatReply, "heartbeat_reply"},
        {MessageType::SnapshotChunk, "snapshot_chunk"},
        {MessageType::SnapshotReply, "snapshot_reply"},
        {MessageType::ReadIndex, "read_index"},
        {MessageType::ReadIndexReply, "read_index_reply"},
        {MessageType::TimeoutNow, "timeout_now"},
}};

/// A Message whose entries are packed into one string: a CBOR map for each entry would double its
/// size.
struct PackedMessage
{
    Message fields;
    std::string packedEntries;
};

constexpr std::size_t entryHeaderBytes = 8 + 8 + 1 + 4;

} // namespace

RATTANRILL_WIRE_ENUM(MessageType, messageTypeNames)
RATTANRILL_WIRE_FIELDS(Membership, voters, learners)
RATTANRILL_WIRE_FIELDS(HardState, term, votedFor, founders)
RATTANRILL_WIRE_FIELDS(SnapshotMeta, index, term, membership)

namespace {

Json toJson(const Message &message)
{
    Json json{{"type", message.type}, {"incarnation", message.incarnation}, {"term", message.term}};
    const Message defaults;
    const auto put = [&json](const char *key, const auto &value, const auto &defaultValue) {
        if (value != defaultValue)
            json[key] = value;
    };
    put("index", message.index, defaults.index);
    put("logTerm", message.logTerm, defaults.logTerm);
    put("commit", message.commit, defaults.commit);
    put("success", message.success, defaults.success);
    put("hintIndex", message.hintIndex, defaults.hintIndex);
    put("hintTerm", message.hintTerm, defaults.hintTerm);
    put("context", message.context, defaults.context);
    put("transfer", message.transfer, defaults.transfer);
    put("writable", message.writable, defaults.writable);
    put("offset", message.offset, defaults.offset);
    put("length", message.length, defaults.length);
    put("data", message.data, defaults.data);
    put("last", message.last, defaults.last);
    if (message.type == MessageType::SnapshotChunk)
        json["snapshot"] = message.snapshot;
    return json;
}

PackedMessage fromJson(const Json &json)
{
    PackedMessage packed;
    Message &message = packed.fields;
    json.at("type").get_to(message.type);
    json.at("incarnation").get_to(message.incarnation);
    json.at("term").get_to(message.term);
    message.index = json.value("index", message.index);
    message.logTerm = json.value("logTerm", message.logTerm);
    message.commit = json.value("commit", message.commit);
    message.success = json.value("success", message.success);
    message.hintIndex = json.value("hintIndex", message.hintIndex);
    message.hintTerm = json.value("hintTerm", message.hintTerm);
    message.context = json.value("context", message.context);
    message.transfer = json.value("transfer", message.transfer);
    message.writable = json.value("writable", message.writable);
    message.offset = json.value("offset", message.offset);
    message.length = json.value("length", message.length);
    message.data = json.value("data", std::string());
    message.last = json.value("last", message.last);
    message.snapshot = json.value("snapshot", message.snapshot);
    packed.packedEntries = json.value("entries", std::string());
    return packed;
}

Result<PackedMessage> decodePacked(std::string_view bytes)
{
    try {
        return fromJson(Json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const Json::exception &error) {
        return fail(notRun(ErrorCode::MalformedMessage, error.what()));
    }
}

} // namespace

std::string_view name(MessageType type)
{
    return nameOf(messageTypeNames, type);
}

std::string encodeMessage(const Message &message)
{
    Json json = toJson(message);
    if (!message.entries.empty()) {
        std::string packed;
        for (const Entry &entry : message.entries)
            putEntry(packed, entry);
        json["entries"] = std::move(packed);
    }
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<Message> decodeMessage(std::string_view bytes)
{
    BOOST_LEAF_AUTO(packed, decodePacked(bytes));
    BOOST_LEAF_AUTO(entries, decodeEntries(packed.packedEntries));
    packed.fields.entries = std::move(entries);
    return std::move(packed.fields);
}

std::string encodeMembership(const Membership &membership)
{
    return wire::encode(membership);
}

Result<Membership> decodeMembership(std::string_view bytes)
{
    return wire::decode<Membership>(bytes);
}

std::string encodeHardState(const HardState &state)
{
    return wire::encode(state);
}

Result<HardState> decodeHardState(std::string_view bytes)
{
    return wire::decode<HardState>(bytes);
}

std::string encodeSnapshotMeta(const SnapshotMeta &meta)
{
    return wire::encode(meta);
}

Result<SnapshotMeta> decodeSnapshotMeta(std::string_view bytes)
{
    return wire::decode<SnapshotMeta>(bytes);
}

void putUint32(std::string &bytes, std::uint32_t value)
{
    for (int shift = 0; shift < 32; shift += 8)
        bytes += static_cast<char>(value >> shift);
}

void putUint64(std::string &bytes, std::uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8)
        bytes += static_cast<char>(value >> shift);
}

std::uint32_t uint32At(std::string_view bytes, std::size_t offset)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < 4; ++i)
        value |= std::uint32_t(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
    return value;
}

std::uint64_t uint64At(std::string_view bytes, std::size_t offset)
{
    const std::uint64_t low = uint32At(bytes, offset);
    const std::uint64_t high = uint32At(bytes, offset + 4);
    return low | (high << 32);
}

void putEntry(std::string &bytes, const Entry &entry)
{
    putUint64(bytes, entry.index);
    putUint64(bytes, entry.term);
    bytes += static_cast<char>(entry.kind);
    putUint32(bytes, static_cast<std::uint32_t>(entry.data.size()));
    bytes += entry.data;
}

Result<std::vector<Entry>> decodeEntries(std::string_view bytes)
{
    std::vector<Entry> entries;
    while (!bytes.empty()) {
        if (bytes.size() < entryHeaderBytes)
            return fail(notRun(ErrorCode::MalformedMessage, "entry header is truncated"));
        Entry entry;
        entry.index = uint64At(bytes, 0);
        entry.term = uint64At(bytes, 8);
        entry.kind = static_cast<EntryKind>(bytes[16]);
        const std::size_t size = uint32At(bytes, 17);
        if (entry.kind > EntryKind::Membership || bytes.size() - entryHeaderBytes < size)
            return fail(
                    notRun(ErrorCode::MalformedMessage, "entry is truncated or of unknown kind"));
        entry.data = bytes.substr(entryHeaderBytes, size);
        bytes.remove_prefix(entryHeaderBytes + size);
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::uint64_t sizeOf(const Entry &entry)
{
    return entryHeaderBytes + entry.data.size();
}

} // namespace rattanrill::replication
