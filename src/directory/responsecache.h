#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace rattanrill::directory {

/// Encoded results of the writes with a request id, which are returned when a client resends a
/// write. At the limit, the oldest is evicted first.
class ResponseCache
{
public:
    struct Entry
    {
        std::string requestId;
        /// Hash of the write without the fields that differ when the write is resent.
        std::uint64_t contentHash = 0;
        /// Encoded wire::CommandResult.
        std::string bytes;
    };

    explicit ResponseCache(std::size_t limit)
        : m_limit(limit)
    {}

    /// Returns null when \a requestId is empty or not in the cache.
    const Entry *find(const std::string &requestId) const;
    /// Requires that the request id is not in the cache. Evicts the oldest response at the limit.
    void add(Entry entry);
    /// In order from the oldest to the newest.
    const std::deque<Entry> &entries() const { return m_entries; }

private:
    std::size_t m_limit;
    std::deque<Entry> m_entries;
    /// Position of a response by request id, counted from the first one ever added.
    std::map<std::string, std::uint64_t> m_positions;
    /// Number of responses evicted so far, which is the position of the oldest one that is kept.
    std::uint64_t m_evictedCount = 0;
};

} // namespace rattanrill::directory
