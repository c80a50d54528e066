#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace rattanrill::directory {

/// Incarnations of all instances in order of their first join. Incarnations are random values, so
/// only the order of joins distinguishes an old process from the one that replaced it. Above the
/// limit, the oldest entry is removed first.
class IncarnationLog
{
public:
    struct Entry
    {
        std::string instance;
        std::string incarnation;
    };

    explicit IncarnationLog(std::size_t limit)
        : m_limit(limit)
    {}

    /// Whether another incarnation of \a instance joined after \a incarnation. False for an
    /// incarnation that is not in the log.
    bool isReplaced(const std::string &instance, const std::string &incarnation) const;
    /// Adds \a incarnation unless it is already in the log.
    void add(const std::string &instance, const std::string &incarnation);

    const std::deque<Entry> &entries() const { return m_entries; }

private:
    std::size_t m_limit;
    std::deque<Entry> m_entries;
};

} // namespace rattanrill::directory
