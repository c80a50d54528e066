#pragma once

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace rattanrill::net {

/// What the bytes of a MemoryShare are needed for.
enum class MemoryUse {
    /// Header and body of a request that is being received. It has not run.
    Receiving,
    /// Body of a request that is being served, including its copies.
    Running,
    /// Response of an upstream that is not complete.
    Buffered,
    /// Bytes of a response that the client has not accepted yet.
    Unsent,
};

/// Parts of a process's memory. A part that is exhausted does not take from the other one, so that
/// clients that send much do not end the responses of others, and vice versa.
struct MemoryLimits
{
    /// Limit of what is received and run.
    std::size_t requestBytes = 0;
    /// Limit of what is buffered and unsent.
    std::size_t responseBytes = 0;
};

/// Returns the limits for a process that may use \a memoryBytes. The rest is for the program itself
/// and for copies that exist only while an event is handled.
MemoryLimits memoryLimitsOf(std::size_t memoryBytes);

/// Returns the bytes to count for a request with a body of \a bodyBytes: the body and, if it is
/// large, the copy that is sent to its upstream and the copy of a hedge.
std::size_t requestCost(std::size_t bodyBytes);

/// Returns the size of the largest body that fits when nothing else is held.
std::size_t maxBodyBytesOf(const MemoryLimits &limits);

/// Bounds the memory that the clients and upstreams of one process make it use. Load pattern: many
/// clients send large bodies, stop halfway, or do not read their responses. When a part is
/// exhausted, the owners of shares are told to give up theirs, in this order:
/// - for a request: the one being received that has made no progress for the longest time, or else
///   the newest one that is being received; small ones only for another small one. A request that
///   is being served is never given up.
/// - for a response: the unsent one that has made no progress for the longest time, or else the
///   largest one. A sound response is rarely the largest one.
/// Used on the event loop only.
class MemoryBudget
{
public:
    explicit MemoryBudget(MemoryLimits limits, const Clock &clock = SystemClock::instance());
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    const MemoryLimits &limits() const { return m_limits; }
    std::size_t requestBytes() const { return m_requests.usedBytes; }
    std::size_t responseBytes() const { return m_responses.usedBytes; }
    /// Number of requests that were refused or given up.
    std::uint64_t refusedRequests() const { return m_requests.refusals; }
    /// Number of responses that were given up.
    std::uint64_t refusedResponses() const { return m_responses.refusals; }

private:
    friend class MemoryShare;
    using ShareId = std::uint64_t;

    struct Entry
    {
        MemoryUse use = MemoryUse::Receiving;
        std::size_t bytes = 0;
        /// When the share last made progress.
        absl::Time progressAt;
        std::function<void()> giveUp;
    };

    /// State of one part of the memory.
    struct Part
    {
        std::size_t usedBytes = 0;
        std::uint64_t refusals = 0;
        std::uint64_t loggedRefusals = 0;
        absl::Time loggedAt = absl::InfinitePast();
    };

    bool resize(ShareId id, std::size_t bytes);
    bool isExhausted(const Entry &growing) const;
    std::optional<ShareId> victim(const Entry &growing) const;
    std::optional<ShareId> receivingVictim(std::size_t minBytes) const;
    std::optional<ShareId> longestStalled(MemoryUse use, absl::Duration stallTime,
                                          std::size_t minBytes) const;
    std::optional<ShareId> newestReceiving(std::size_t minBytes) const;
    std::optional<ShareId> largestResponse() const;
    Part &partOf(MemoryUse use);
    void clear(Entry &entry);
    void recordRefusal(const Entry &entry);

    const MemoryLimits m_limits;
    const Clock &m_clock;
    Part m_requests;
    Part m_responses;
    ShareId m_nextId = 1;
    std::map<ShareId, Entry> m_entries;
};

/// The part of a MemoryBudget that one request or response uses.
class MemoryShare
{
public:
    /// \a giveUp is called when this share is given up for another one, in the middle of the work
    /// of the other's owner. The bytes are no longer counted then. It frees them at once, or posts
    /// that to the event loop, and may destroy the share; all other work has to be posted.
    MemoryShare(std::shared_ptr<MemoryBudget> budget, MemoryUse use, std::function<void()> giveUp);
    ~MemoryShare();
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;

    /// Sets the number of bytes. Returns false when this share has to be given up itself; nothing
    /// is counted for it then, and the owner must free the bytes.
    bool resize(std::size_t bytes);
    /// Records that the client has sent or accepted bytes.
    void recordProgress();
    /// Continues with a request that is received as one that is served. It is not given up any
    /// more.
    void startRunning();

private:
    const std::shared_ptr<MemoryBudget> m_budget;
    const MemoryBudget::ShareId m_id;
};

} // namespace rattanrill::net
