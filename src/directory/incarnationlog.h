#pragma once

#include <cstddef>
#include <deque>
#include <string>

namespace rattanrill::directory {

/// Incarnations of all instances in order of their first join. Incarnations are random, so only
/// the order of joins tells an old process from the one that replaced it. Bounded: the oldest entry
/// is forgotten first.
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

    /// Another incarnation of \a instance has joined after this one.
    bool isReplaced(const std::string &instance, const std::string &incarnation) const;
    /// Adds the incarnation unless it is known.
    void add(const std::string &instance, const std::string &incarnation);

    const std::deque<Entry> &entries() const { return m_entries; }

private:
    std::size_t m_limit;
    std::deque<Entry> m_entries;
};

} // namespace rattanrill::directory
