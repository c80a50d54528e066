#pragma once

#include "rattanrill/wire/directorymessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace rattanrill::directory {

/// The last changes in order of revision. A revision counts as dropped with its first change.
class ChangeHistory
{
public:
    explicit ChangeHistory(std::size_t limit)
        : m_limit(limit)
    {}

    /// Drops the oldest change above the limit.
    void append(wire::RecordChange change);
    /// All changes after \a revision are kept.
    bool reachesBackTo(std::uint64_t revision) const { return revision >= m_droppedUpTo; }
    /// Requires reachesBackTo(\a revision).
    std::vector<wire::RecordChange> after(std::uint64_t revision) const;

    const std::deque<wire::RecordChange> &changes() const { return m_changes; }
    /// Revision up to which changes were dropped.
    std::uint64_t droppedUpTo() const { return m_droppedUpTo; }
    void setDroppedUpTo(std::uint64_t revision) { m_droppedUpTo = revision; }

private:
    std::size_t m_limit;
    std::deque<wire::RecordChange> m_changes;
    std::uint64_t m_droppedUpTo = 0;
};

} // namespace rattanrill::directory
