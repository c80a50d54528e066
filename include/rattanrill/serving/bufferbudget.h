#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace rattanrill::serving {

/// Bounds the bytes of responses that one process buffers for all its requests together. Each
/// response has a limit of its own, but many upstreams may send bytes without end at the same time.
/// When the bound is reached, the largest buffer is given up: a sound response is rarely the
/// largest one, and the other requests go on. Used on the event loop only.
class BufferBudget
{
public:
    static constexpr std::size_t defaultLimitBytes = std::size_t(48) << 20;

    explicit BufferBudget(std::size_t limitBytes = defaultLimitBytes);
    BufferBudget(const BufferBudget &) = delete;
    BufferBudget &operator=(const BufferBudget &) = delete;

    std::size_t limitBytes() const { return m_limitBytes; }
    std::size_t usedBytes() const { return m_usedBytes; }

private:
    friend class BufferShare;
    using ShareId = std::uint64_t;

    struct Entry
    {
        std::size_t bytes = 0;
        std::function<void()> giveUp;
    };

    bool resize(ShareId id, std::size_t bytes);
    ShareId largest() const;

    const std::size_t m_limitBytes;
    std::size_t m_usedBytes = 0;
    ShareId m_nextId = 1;
    std::map<ShareId, Entry> m_entries;
};

/// The part of a BufferBudget that the response to one request uses.
class BufferShare
{
public:
    /// \a giveUp is called when this buffer is the largest one and another one grows beyond the
    /// budget. It must free the buffer.
    BufferShare(std::shared_ptr<BufferBudget> budget, std::function<void()> giveUp);
    ~BufferShare();
    BufferShare(const BufferShare &) = delete;
    BufferShare &operator=(const BufferShare &) = delete;

    /// Sets the size of the buffer. Returns false when the budget is exceeded and this buffer is
    /// the largest one; the caller must then free it.
    bool resize(std::size_t bytes);

private:
    const std::shared_ptr<BufferBudget> m_budget;
    const BufferBudget::ShareId m_id;
};

} // namespace rattanrill::serving
