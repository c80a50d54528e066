#pragma once

#include "rattanrill/wire/directorymessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace rattanrill::directory {

/// The latest changes in order of revision, up to a limit. A revision with several changes counts
/// as dropped as soon as its first change is dropped.
class ChangeHistory
{
public:
    explicit ChangeHistory(std::size_t limit)
        : m_limit(limit)
    {}

    /// Adds \a change and drops the oldest one if the limit is exceeded.
    void append(wire::RecordChange change);
    /// Whether all changes after \a revision are still available.
    bool reachesBackTo(std::uint64_t revision) const { return revision >= m_droppedUpTo; }
    /// Returns all changes after \a revision. Requires reachesBackTo(\a revision).
    std::vector<wire::RecordChange> after(std::uint64_t revision) const;

    const std::deque<wire::RecordChange> &changes() const { return m_changes; }
    /// Highest revision of which a change was dropped; 0 when no change was dropped.
    std::uint64_t droppedUpTo() const { return m_droppedUpTo; }
    void setDroppedUpTo(std::uint64_t revision) { m_droppedUpTo = revision; }

private:
    std::size_t m_limit;
    std::deque<wire::RecordChange> m_changes;
    std::uint64_t m_droppedUpTo = 0;
};

} // namespace rattanrill::directory
