#pragma once

#include "raftmessages.h"

#include <deque>

namespace rattanrill::replication {

/// Numbers the writes that the core requests, and holds back each message until the writes that it
/// depends on are on disk.
class PersistTracker
{
public:
    /// Records a change that the next write will contain.
    void markDirty() { m_dirty = true; }
    /// Like markDirty(), for a change of the term, the vote or the initial voters.
    void markHardStateDirty();
    bool isDirty() const { return m_dirty; }
    bool isHardStateDirty() const { return m_hardStateDirty; }

    /// Starts the write that contains all changes so far and returns its sequence number. \a
    /// lastIndex is the last index of the log after the write.
    std::uint64_t startWrite(std::uint64_t lastIndex);
    /// Marks the write \a sequence and all earlier ones as being on disk.
    void finishWrites(std::uint64_t sequence);
    /// Records that the entries from \a index on were removed from the log.
    void truncateFrom(std::uint64_t index);
    /// Records that the log was replaced by a snapshot that is not on disk yet.
    void resetLog();

    /// Last index up to which the log is on disk.
    std::uint64_t persistedIndex() const { return m_persistedIndex; }
    void setPersistedIndex(std::uint64_t index) { m_persistedIndex = index; }

    /// Holds \a message until every change so far is on disk.
    void holdUntilPersisted(Message message);
    /// Holds \a message until term and vote are on disk. Does not wait for entries, so that a slow
    /// sync does not stop heartbeats.
    void holdUntilTermPersisted(Message message);
    /// Removes and returns the messages whose write is on disk.
    std::vector<Message> takeReleased();

private:
    struct Held
    {
        std::uint64_t sequence;
        Message message;
    };
    struct Write
    {
        std::uint64_t sequence;
        std::uint64_t lastIndex;
    };

    std::uint64_t nextSequence() const { return m_sequence + 1; }

    bool m_dirty = false;
    bool m_hardStateDirty = false;
    /// Sequence number of the last write that was started.
    std::uint64_t m_sequence = 0;
    /// Write that contains the latest change of the hard state.
    std::uint64_t m_hardStateSequence = 0;
    /// Last write that is on disk.
    std::uint64_t m_persistedSequence = 0;
    std::uint64_t m_persistedIndex = 0;
    /// Writes that are not on disk yet.
    std::deque<Write> m_writes;
    std::vector<Held> m_held;
};

} // namespace rattanrill::replication
