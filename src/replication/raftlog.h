#pragma once

#include "raftmessages.h"

#include <deque>
#include <map>

namespace rattanrill::replication {

/// In-memory copy of the log entries since the last compaction. Storage has the same entries.
class RaftLog
{
public:
    /// \a baseIndex and \a baseTerm are those of the last entry that was compacted away; \a entries
    /// follow it.
    RaftLog(std::uint64_t baseIndex, std::uint64_t baseTerm, Membership baseMembership,
            std::vector<Entry> entries);

    std::uint64_t baseIndex() const { return m_baseIndex; }
    std::uint64_t firstIndex() const { return m_baseIndex + 1; }
    std::uint64_t lastIndex() const { return m_baseIndex + m_entries.size(); }
    std::uint64_t lastTerm() const { return termAt(lastIndex()); }
    /// Returns 0 for an index that was compacted away or is beyond the end of the log.
    std::uint64_t termAt(std::uint64_t index) const;
    bool matches(std::uint64_t index, std::uint64_t term) const;
    /// Requires firstIndex() <= index <= lastIndex().
    const Entry &at(std::uint64_t index) const { return m_entries[index - firstIndex()]; }
    /// Returns the entries from \a from to \a to, limited to \a maxBytes; the first entry is
    /// returned even if it is larger.
    std::vector<Entry> slice(std::uint64_t from, std::uint64_t to, std::uint64_t maxBytes) const;
    /// Returns the largest index up to \a index whose term is at most \a term.
    std::uint64_t lastIndexWithTermAtMost(std::uint64_t index, std::uint64_t term) const;

    /// Returns the first of the last entries up to \a last that are at most \a maxEntries and
    /// together at most \a maxBytes; last + 1 if there is none.
    std::uint64_t firstIndexWithin(std::uint64_t last, std::uint64_t maxEntries,
                                   std::uint64_t maxBytes) const;

    /// Requires entry.index == lastIndex() + 1.
    void append(Entry entry);
    /// Removes the entry at \a index and all later ones.
    void truncateFrom(std::uint64_t index);
    /// Removes all entries up to and including \a index, which must be in the log.
    void compact(std::uint64_t index);
    /// Replaces the whole log by a snapshot.
    void reset(const SnapshotMeta &snapshot);
    /// Sets the membership of a group whose log has no membership entry yet.
    void setBaseMembership(Membership membership)
    {
        m_memberships[m_baseIndex] = std::move(membership);
    }

    const Membership &membership() const { return m_memberships.rbegin()->second; }
    /// Index of the entry that set membership().
    std::uint64_t membershipIndex() const { return m_memberships.rbegin()->first; }
    const Membership &membershipAt(std::uint64_t index) const;

private:
    void recordMembership(const Entry &entry);

    std::uint64_t m_baseIndex;
    std::uint64_t m_baseTerm;
    std::deque<Entry> m_entries;
    /// Membership by the index from which on it is in effect. The first index is that of the base.
    std::map<std::uint64_t, Membership> m_memberships;
};

} // namespace rattanrill::replication
