#pragma once

#include "rattanrill/net/memorybudget.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace rattanrill::serving {

/// Bounds the bytes of responses that one process buffers for all its requests together. Each
/// response has a limit of its own, but many upstreams may send bytes without end at the same time.
/// It is the responses' part of the MemoryBudget of the process, which decides which buffer is
/// given up when the bound is reached. Used on the event loop only.
class BufferBudget
{
public:
    static constexpr std::size_t defaultLimitBytes = std::size_t(48) << 20;

    /// Has a memory budget of its own.
    explicit BufferBudget(std::size_t limitBytes = defaultLimitBytes);
    explicit BufferBudget(std::shared_ptr<net::MemoryBudget> memory);
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    std::size_t limitBytes() const { return m_memory->limits().responseBytes; }
    std::size_t usedBytes() const { return m_memory->responseBytes(); }

private:
    friend class BufferShare;

    const std::shared_ptr<net::MemoryBudget> m_memory;
};

/// The part of a BufferBudget that the response to one request uses.
class BufferShare
{
public:
    /// \a giveUp: see MemoryShare. The bytes are no longer counted once it is called.
    BufferShare(const std::shared_ptr<BufferBudget> &budget, std::function<void()> giveUp);

    /// Sets the size of the buffer. Returns false when this buffer has to be given up itself; the
    /// caller must then free it.
    bool resize(std::size_t bytes);

private:
    net::MemoryShare m_share;
};

} // namespace rattanrill::serving
