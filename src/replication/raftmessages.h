#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/replication/raftnode.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Data that the Raft core exchanges with other replicas and with storage.
namespace rattanrill::replication {

enum class EntryKind : std::uint8_t {
    /// First entry of a leader's term.
    Empty = 0,
    Command = 1,
    /// An encoded Membership, in effect as soon as it is in the log.
    Membership = 2,
};

struct Entry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Empty;
    std::string data;
};

/// Members of the group. An incarnation is generated at random when the data folder of a replica is
/// created. It distinguishes a replica that was started again on an empty disk from the voter that
/// it was before.
struct Membership
{
    /// Incarnation by replica.
    std::map<ReplicaId, std::string> voters;
    std::set<ReplicaId> learners;

    bool isVoter(const ReplicaId &id) const { return voters.count(id) != 0; }
    bool contains(const ReplicaId &id) const { return isVoter(id) || learners.count(id) != 0; }
    std::size_t quorum() const { return voters.size() / 2 + 1; }
};

/// State that a replica must persist besides its log.
struct HardState
{
    std::uint64_t term = 0;
    ReplicaId votedFor;
    /// Incarnation by initial voter of the group; an incarnation is empty until it is known.
    std::map<ReplicaId, std::string> founders;
};

struct SnapshotMeta
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Membership membership;
};

enum class MessageType {
    /// An initial voter of a new group sends its incarnation; the reply contains that of the
    /// receiver.
    Introduce,
    IntroduceReply,
    /// The receiver has another incarnation than the one expected for its id.
    IdentityRefused,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Heartbeat,
    HeartbeatReply,
    SnapshotChunk,
    SnapshotReply,
    ReadIndex,
    ReadIndexReply,
    /// Leadership transfer: the receiver starts an election at once.
    TimeoutNow,
};

std::string_view name(MessageType type);

struct Message
{
    MessageType type = MessageType::Heartbeat;
    ReplicaId from;
    ReplicaId to;
    /// Incarnation of the sender.
    std::string incarnation;
    std::uint64_t term = 0;
    /// Vote and PreVote: last entry of the candidate. Append: entry before \a entries. AppendReply:
    /// last matching entry, or the refused one. ReadIndexReply: read index.
    std::uint64_t index = 0;
    std::uint64_t logTerm = 0;
    std::uint64_t commit = 0;
    std::vector<Entry> entries;
    /// Vote granted, append accepted, snapshot installed, introduction accepted.
    bool success = false;
    /// Refused append: last entry up to which the logs may agree.
    std::uint64_t hintIndex = 0;
    std::uint64_t hintTerm = 0;
    /// Copied to the reply. Heartbeat: round. ReadIndex: batch of reads. SnapshotChunk: snapshot
    /// index.
    std::uint64_t context = 0;
    /// Vote for a leadership transfer, which is granted despite contact with a leader.
    bool transfer = false;
    /// HeartbeatReply: whether the disk of the sender has space for writes.
    bool writable = true;
    SnapshotMeta snapshot;
    /// SnapshotChunk: offset of \a data in the snapshot. SnapshotReply: bytes received so far.
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string data;
    /// SnapshotChunk: whether this is the last one.
    bool last = false;
};

std::string encodeMessage(const Message &message);
/// Fails with MalformedMessage.
Result<Message> decodeMessage(std::string_view bytes);

std::string encodeMembership(const Membership &membership);
Result<Membership> decodeMembership(std::string_view bytes);
std::string encodeHardState(const HardState &state);
Result<HardState> decodeHardState(std::string_view bytes);
std::string encodeSnapshotMeta(const SnapshotMeta &meta);
Result<SnapshotMeta> decodeSnapshotMeta(std::string_view bytes);

/// Little-endian integers, for file and entry headers.
void putUint32(std::string &bytes, std::uint32_t value);
void putUint64(std::string &bytes, std::uint64_t value);
/// Require that \a bytes contains the whole integer at \a offset.
std::uint32_t uint32At(std::string_view bytes, std::size_t offset);
std::uint64_t uint64At(std::string_view bytes, std::size_t offset);

/// Appends an encoded entry: index, term, kind, size, data. Entries follow one another directly.
void putEntry(std::string &bytes, const Entry &entry);
Result<std::vector<Entry>> decodeEntries(std::string_view bytes);
/// Encoded size of an entry, in messages and in the log.
std::uint64_t sizeOf(const Entry &entry);

} // namespace rattanrill::replication
