#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattanrill::fleet {

/// Remembers at which sequence number of a view each of its entries changed last, so that a member
/// receives only what has changed since the view that it has. Removed entries count as changed.
/// Bounded: the oldest changes are forgotten first.
class ViewChanges
{
public:
    /// \a maxKeys: maximum number of entries whose last change is remembered.
    explicit ViewChanges(std::size_t maxKeys = 16384);

    /// Forgets all changes. Those up to \a sequence are unknown from now on.
    void reset(std::uint64_t sequence);
    void record(const std::string &key, std::uint64_t sequence);
    /// Whether all changes after \a sequence are remembered.
    bool isCompleteSince(std::uint64_t sequence) const { return sequence >= m_completeSince; }
    /// Keys that have changed after \a sequence, in the order of their last change.
    std::vector<std::string> keysSince(std::uint64_t sequence) const;

private:
    std::size_t m_maxKeys;
    std::uint64_t m_completeSince = 0;
    std::map<std::string, std::uint64_t> m_sequences;
    std::set<std::pair<std::uint64_t, std::string>> m_order;
};

} // namespace rattanrill::fleet
