#pragma once

#include "raftmessages.h"

#include <deque>

namespace rattanrill::replication {

/// Numbers the writes that the core hands out and holds back the messages that promise something
/// which is not on disk yet.
class PersistTracker
{
public:
    /// Something changed that the next write will contain.
    void markDirty() { m_dirty = true; }
    /// As markDirty(), for term, vote and founders.
    void markHardStateDirty();
    bool isDirty() const { return m_dirty; }
    bool isHardStateDirty() const { return m_hardStateDirty; }

    /// Starts the write that contains all changes so far; \a lastIndex is the end of its log.
    std::uint64_t startWrite(std::uint64_t lastIndex);
    /// The write \a sequence and all before it are on disk.
    void finishWrites(std::uint64_t sequence);
    /// Entries from \a index on are no longer part of the log.
    void truncateFrom(std::uint64_t index);
    /// The log was replaced by a snapshot that is not on disk yet.
    void resetLog();

    /// Last index of the log that is on disk.
    std::uint64_t persistedIndex() const { return m_persistedIndex; }
    void setPersistedIndex(std::uint64_t index) { m_persistedIndex = index; }

    /// Holds \a message until every change so far is on disk.
    void holdUntilPersisted(Message message);
    /// Holds \a message until term and vote are on disk; entries may still be on their way, so that
    /// a slow sync does not stop heartbeats.
    void holdUntilTermPersisted(Message message);
    /// Messages that need not wait any longer.
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
    std::uint64_t m_sequence = 0;
    std::uint64_t m_hardStateSequence = 0;
    std::uint64_t m_persistedSequence = 0;
    std::uint64_t m_persistedIndex = 0;
    std::deque<Write> m_writes;
    std::vector<Held> m_held;
};

} // namespace rattanrill::replication
