#include "job.h"

#include "rattanrill/batch/statemachine.h"

#include <algorithm>
#include <array>
#include <cstring>

namespace rattanrill::batch {
namespace {

using wire::ItemState;
using wire::JobState;

constexpr std::uint64_t itemStateCount = 5;
constexpr std::uint64_t jobStateCount = 4;

bool isFinished(ItemState state)
{
    return state == ItemState::Completed || state == ItemState::Failed;
}

} // namespace

Job::Job(Number number, const wire::CreateJob &operation, std::size_t itemCount, std::int64_t nowMs)
    : m_number(number)
    , m_operation(operation)
    , m_createdAtMs(nowMs)
    , m_itemCount(itemCount)
    , m_items(itemCount)
{
    endIfDone(nowMs);
}

bool Job::isEnded() const
{
    return m_state == JobState::Completed || m_state == JobState::Cancelled;
}

bool Job::hasOpenItem() const
{
    const bool running = m_state == JobState::InProgress;
    return running && (!m_readyItems.empty() || m_firstNeverLeased < m_items.size());
}

std::string_view Job::resultBody(const Item &item) const
{
    if (!isFinished(item.state()))
        return {};
    std::uint32_t size = 0;
    const std::string_view sizeBytes = m_results.at(item.result, sizeof size);
    if (sizeBytes.size() != sizeof size)
        return {};
    std::memcpy(&size, sizeBytes.data(), sizeof size);
    return m_results.at(item.result + sizeof size, size);
}

wire::JobStatus Job::status() const
{
    wire::JobStatus status;
    status.jobId = jobId();
    status.workspace = workspace();
    status.fileId = fileId();
    status.resultFileId = resultFileId(jobId());
    status.state = m_state;
    const std::uint64_t ended = m_completed + m_failed + m_cancelled;
    status.counts = {m_itemCount, m_completed, m_failed, m_cancelled, m_itemCount - ended};
    status.createdAtMs = m_createdAtMs;
    status.dueAtMs = dueAtMs();
    status.endedAtMs = m_endedAtMs;
    status.metadata = m_operation.metadata;
    return status;
}

std::uint32_t Job::leaseNext()
{
    std::uint32_t index = m_firstNeverLeased;
    if (m_readyItems.empty()) {
        ++m_firstNeverLeased;
    } else {
        index = m_readyItems.front();
        m_readyItems.pop_front();
    }
    m_items[index].setState(ItemState::Leased);
    return index;
}

void Job::releaseItem(std::uint32_t index, std::int64_t nowMs)
{
    if (!isCancelling()) {
        m_items[index].setState(ItemState::Open);
        return;
    }
    m_items[index].setState(ItemState::Cancelled);
    ++m_cancelled;
    endIfDone(nowMs);
}

void Job::setReady(std::uint32_t index)
{
    const bool canBeLeased =
            m_state == JobState::InProgress && m_items[index].state() == ItemState::Open;
    if (canBeLeased)
        m_readyItems.push_back(index);
}

void Job::finish(std::uint32_t index, ItemState state, const ResultText &result, std::int64_t nowMs)
{
    Item &item = m_items[index];
    const auto size = static_cast<std::uint32_t>(result.body.size());
    char sizeBytes[sizeof size];
    std::memcpy(sizeBytes, &size, sizeof size);
    item.result = m_results.append(std::string_view(sizeBytes, sizeof sizeBytes), result.body);
    item.status = static_cast<std::uint16_t>(result.status);
    item.setState(state);
    item.setReason(result.reason);
    ++(state == ItemState::Completed ? m_completed : m_failed);
    endIfDone(nowMs);
}

void Job::cancel(std::int64_t nowMs)
{
    for (Item &item : m_items) {
        if (item.state() == ItemState::Open) {
            item.setState(ItemState::Cancelled);
            ++m_cancelled;
        }
    }
    m_readyItems.clear();
    m_state = JobState::Cancelling;
    endIfDone(nowMs);
}

void Job::expire()
{
    m_expired = true;
    m_items = {};
    m_results = {};
    m_firstNeverLeased = 0;
}

void Job::endIfDone(std::int64_t nowMs)
{
    if (m_completed + m_failed + m_cancelled < m_itemCount)
        return;
    m_state = isCancelling() ? JobState::Cancelled : JobState::Completed;
    m_endedAtMs = nowMs;
}

void Job::write(ByteWriter &writer) const
{
    writer.number(m_number);
    writer.text(m_operation.jobId);
    writer.text(m_operation.workspace);
    writer.text(m_operation.fileId);
    writer.text(m_operation.idempotencyKey);
    writer.signedNumber(m_operation.dueAtMs);
    writer.signedNumber(m_operation.retentionMs);
    writer.text(m_operation.metadata);
    writer.number(static_cast<std::uint64_t>(m_state));
    writer.signedNumber(m_createdAtMs);
    writer.signedNumber(m_endedAtMs);
    writer.number(m_expired ? 1 : 0);
    for (const std::uint64_t count : {m_itemCount, m_completed, m_failed, m_cancelled})
        writer.number(count);
    m_results.write(writer);
    writer.number(m_items.size());
    for (const Item &item : m_items)
        writeItem(writer, item);
    writer.number(m_firstNeverLeased);
    writer.number(m_readyItems.size());
    for (const std::uint32_t index : m_readyItems)
        writer.number(index);
}

void Job::writeItem(ByteWriter &writer, const Item &item) const
{
    // The state also encodes whether counts follow, because most items have no failed attempts or
    // expired leases.
    const bool hasAttempts = item.failedAttempts > 0 || item.expiredLeases > 0;
    writer.number(static_cast<std::uint64_t>(item.state()) + (hasAttempts ? itemStateCount : 0));
    if (hasAttempts) {
        writer.number(item.failedAttempts);
        writer.number(item.expiredLeases);
    }
    if (isFinished(item.state())) {
        writer.number(item.result);
        writer.number(item.status);
    }
    // The code is written by name, because the numeric values of the codes may change between
    // versions.
    if (item.state() == ItemState::Failed)
        writer.text(name(item.reason()));
}

Job::Item Job::readItem(ByteReader &reader) const
{
    Item item;
    const std::uint64_t packedState = reader.numberBelow(2 * itemStateCount);
    item.setState(static_cast<ItemState>(packedState % itemStateCount));
    if (packedState >= itemStateCount) {
        item.failedAttempts = static_cast<std::uint8_t>(reader.numberBelow(256));
        item.expiredLeases = static_cast<std::uint8_t>(reader.numberBelow(256));
    }
    if (isFinished(item.state())) {
        item.result = reader.number();
        item.status = static_cast<std::uint16_t>(reader.numberBelow(65536));
    }
    if (item.state() == ItemState::Failed)
        item.setReason(errorCodeFromName(reader.text()).value_or(ErrorCode::ItemFailed));
    return item;
}

void Job::read(ByteReader &reader)
{
    m_number = reader.number();
    m_operation.jobId = reader.string();
    m_operation.workspace = reader.string();
    m_operation.fileId = reader.string();
    m_operation.idempotencyKey = reader.string();
    m_operation.dueAtMs = reader.signedNumber();
    m_operation.retentionMs = reader.signedNumber();
    m_operation.metadata = reader.string();
    m_state = static_cast<JobState>(reader.numberBelow(jobStateCount));
    m_createdAtMs = reader.signedNumber();
    m_endedAtMs = reader.signedNumber();
    m_expired = reader.numberBelow(2) == 1;
    for (std::uint64_t *count : {&m_itemCount, &m_completed, &m_failed, &m_cancelled})
        *count = reader.number();
    m_results.read(reader);
    readItems(reader);
    m_firstNeverLeased = static_cast<std::uint32_t>(reader.numberBelow(m_items.size() + 1));
    readReadyItems(reader);
    if (!m_expired && !isConsistent())
        reader.setFailed();
}

void Job::readReadyItems(ByteReader &reader)
{
    const std::size_t readyItems = reader.count();
    for (std::size_t count = 0; count < readyItems; ++count) {
        const std::uint64_t index = reader.numberBelow(m_firstNeverLeased);
        if (!reader.ok() || m_items[index].state() != ItemState::Open)
            return reader.setFailed();
        m_readyItems.push_back(static_cast<std::uint32_t>(index));
    }
}

/// Returns whether counts and state match the items, and whether no item from m_firstNeverLeased on
/// is leased or finished.
bool Job::isConsistent() const
{
    std::array<std::uint64_t, itemStateCount> counts{};
    for (const Item &item : m_items)
        ++counts[item.stateByte];
    const auto count = [&counts](ItemState state) {
        return counts[static_cast<std::size_t>(state)];
    };
    const bool sameCounts = count(ItemState::Completed) == m_completed
                            && count(ItemState::Failed) == m_failed
                            && count(ItemState::Cancelled) == m_cancelled;
    const bool unfinished = count(ItemState::Open) + count(ItemState::Leased) > 0;
    const bool restNeverLeased =
            std::all_of(m_items.begin() + m_firstNeverLeased, m_items.end(), [](const Item &item) {
                return item.state() == ItemState::Open || item.state() == ItemState::Cancelled;
            });
    return sameCounts && unfinished != isEnded() && restNeverLeased;
}

void Job::readItems(ByteReader &reader)
{
    const std::size_t items = reader.count();
    if (items != (m_expired ? 0 : m_itemCount))
        return reader.setFailed();
    m_items.reserve(items);
    for (std::size_t index = 0; index < items; ++index)
        m_items.push_back(readItem(reader));
}

} // namespace rattanrill::batch
