#pragma once

#include "textstore.h"

#include "rattanrill/base/errorcode.h"
#include "rattanrill/wire/batchmessages.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::batch {

/// A job with the state and results of its items. An item takes 16 bytes in addition to its result
/// text.
class Job
{
public:
    /// Number in order of creation, which identifies the job in the other tables.
    using Number = std::uint64_t;

    /// Enumerators are stored as bytes to save memory, because jobs have many items.
    struct Item
    {
        wire::ItemState state() const { return static_cast<wire::ItemState>(stateByte); }
        void setState(wire::ItemState state) { stateByte = static_cast<std::uint8_t>(state); }
        /// Valid only for a failed item.
        ErrorCode reason() const { return static_cast<ErrorCode>(reasonByte); }
        void setReason(ErrorCode reason) { reasonByte = static_cast<std::uint8_t>(reason); }

        /// Position of the 4-byte size of the result text, which the text follows. Valid only for
        /// finished items.
        TextStore::Position result = 0;
        std::uint16_t status = 0;
        std::uint8_t stateByte = 0;
        std::uint8_t reasonByte = 0;
        std::uint8_t failedAttempts = 0;
        std::uint8_t expiredLeases = 0;
    };
    static_assert(sizeof(Item) == 16);

    struct ResultText
    {
        std::int64_t status = 0;
        std::string_view body;
        ErrorCode reason = ErrorCode::ItemFailed;
    };

    Job() = default;
    Job(Number number, const wire::CreateJob &operation, std::size_t itemCount, std::int64_t nowMs);

    Number number() const { return m_number; }
    const std::string &jobId() const { return m_operation.jobId; }
    const std::string &workspace() const { return m_operation.workspace; }
    const std::string &fileId() const { return m_operation.fileId; }
    const std::string &idempotencyKey() const { return m_operation.idempotencyKey; }
    std::int64_t dueAtMs() const { return m_operation.dueAtMs; }
    /// Time at which the results are removed. Requires isEnded().
    std::int64_t retainedUntilMs() const { return m_endedAtMs + m_operation.retentionMs; }

    bool isCancelling() const { return m_state == wire::JobState::Cancelling; }
    bool isEnded() const;
    /// Whether the results were removed after their retention.
    bool isExpired() const { return m_expired; }
    bool hasOpenItem() const;
    std::size_t itemCount() const { return m_itemCount; }
    /// Requires index < itemCount() and !isExpired().
    const Item &item(std::size_t index) const { return m_items[index]; }
    std::string_view resultBody(const Item &item) const;
    wire::JobStatus status() const;

    /// Leases the next item and returns its index: released items first, then the others in input
    /// order. Requires hasOpenItem().
    std::uint32_t leaseNext();
    /// Ends the lease of an item without a result. The item can be leased again only after
    /// setReady(). If the job is being cancelled, the item is cancelled instead.
    void releaseItem(std::uint32_t index, std::int64_t nowMs);
    /// Allows a released item to be leased again.
    void setReady(std::uint32_t index);
    void countFailedAttempt(std::uint32_t index) { ++m_items[index].failedAttempts; }
    void countExpiredLease(std::uint32_t index) { ++m_items[index].expiredLeases; }
    /// Ends a leased item as completed or failed.
    void finish(std::uint32_t index, wire::ItemState state, const ResultText &result,
                std::int64_t nowMs);
    /// Cancels all items that are not leased.
    void cancel(std::int64_t nowMs);
    /// Removes items and results and keeps the status.
    void expire();

    std::size_t textBytes() const { return m_results.bytes(); }
    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);

private:
    void writeItem(ByteWriter &writer, const Item &item) const;
    Item readItem(ByteReader &reader) const;
    void readItems(ByteReader &reader);
    void readReadyItems(ByteReader &reader);
    bool isConsistent() const;
    void endIfDone(std::int64_t nowMs);

    Number m_number = 0;
    wire::CreateJob m_operation;
    wire::JobState m_state = wire::JobState::InProgress;
    std::int64_t m_createdAtMs = 0;
    std::int64_t m_endedAtMs = 0;
    bool m_expired = false;
    std::uint64_t m_itemCount = 0;
    std::uint64_t m_completed = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_cancelled = 0;
    std::vector<Item> m_items;
    TextStore m_results;
    /// Index of the first item that was never leased; no later item was leased either.
    std::uint32_t m_firstNeverLeased = 0;
    /// Released items that can be leased again.
    std::deque<std::uint32_t> m_readyItems;
};

} // namespace rattanrill::batch
