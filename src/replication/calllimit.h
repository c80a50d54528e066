#pragma once

#include "rattanrill/replication/raftnode.h"

#include <atomic>
#include <cstdint>

namespace rattanrill::replication {

/// Limits the open calls of a replica by number and total bytes.
class CallLimit
{
public:
    CallLimit(std::int64_t maxCalls, std::int64_t maxBytes)
        : m_maxCalls(maxCalls)
        , m_maxBytes(maxBytes)
    {}

    /// Returns false when the limit is reached. Otherwise the caller must call release() with the
    /// same \a bytes when the call ends.
    bool acquire(std::size_t bytes)
    {
        const std::int64_t calls = m_calls.fetch_add(1) + 1;
        const std::int64_t total = m_bytes.fetch_add(static_cast<std::int64_t>(bytes));
        if (calls <= m_maxCalls && total < m_maxBytes)
            return true;
        release(bytes);
        return false;
    }

    void release(std::size_t bytes)
    {
        m_calls.fetch_sub(1);
        m_bytes.fetch_sub(static_cast<std::int64_t>(bytes));
    }

private:
    const std::int64_t m_maxCalls;
    const std::int64_t m_maxBytes;
    std::atomic<std::int64_t> m_calls = 0;
    std::atomic<std::int64_t> m_bytes = 0;
};

} // namespace rattanrill::replication
