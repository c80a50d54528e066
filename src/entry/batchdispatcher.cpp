#include "batchdispatcher.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <algorithm>

namespace rattanrill::entry {
namespace {

constexpr std::size_t poolThreads = 3;
constexpr std::size_t poolQueue = 16;
/// Two renewals may be lost before a lease expires.
constexpr int renewalsPerLease = 3;
constexpr absl::Duration releaseBackoff = absl::Milliseconds(200);
constexpr std::size_t maxResultsPerCommand = 256;

} // namespace

BatchDispatcher::BatchDispatcher(Parts parts, const BatchSettings &settings, std::string holder)
    : m_parts(std::move(parts))
    , m_settings(settings)
    , m_holder(std::move(holder))
    , m_pool(poolThreads, poolQueue)
{}

BatchDispatcher::~BatchDispatcher()
{
    stopSteps();
}

void BatchDispatcher::stopSteps()
{
    for (const TimerService::TimerId timer : m_timers)
        m_parts.timers.unsubscribe(timer);
    m_timers.clear();
    m_pool.stop();
}

void BatchDispatcher::start()
{
    const absl::Duration interval = m_settings.dispatchInterval;
    m_timers = {
            m_parts.timers.subscribeEvery(
                    interval, [this] { schedule(m_leasing, &BatchDispatcher::leaseStep); }),
            m_parts.timers.subscribeEvery(
                    interval, [this] { schedule(m_reporting, &BatchDispatcher::reportStep); }),
            m_parts.timers.subscribeEvery(
                    m_settings.lease / renewalsPerLease,
                    [this] { schedule(m_renewing, &BatchDispatcher::renewStep); }),
    };
}

void BatchDispatcher::schedule(std::atomic<bool> &busy, void (BatchDispatcher::*step)())
{
    if (busy.exchange(true))
        return;
    const bool posted = m_pool.post([this, &busy, step] {
        (this->*step)();
        busy = false;
    });
    if (!posted)
        busy = false;
}

std::size_t BatchDispatcher::held() const
{
    absl::MutexLock lock(&m_mutex);
    return m_held.size();
}

BatchDispatcher::ItemKey BatchDispatcher::keyOf(int partition, const wire::ItemRef &item)
{
    return {partition, item.jobId, item.index, item.lease};
}

// Leases

void BatchDispatcher::leaseStep()
{
    std::size_t room = 0;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_draining || m_held.size() >= m_settings.maxRunning)
            return;
        room = m_settings.maxRunning - m_held.size();
    }
    room = std::min(room, m_parts.dispatcher.batchCapacity());
    const int count = m_parts.partitions.count();
    for (int i = 0; i < count && room > 0; ++i) {
        std::size_t leased = 0;
        leaseFrom((m_nextPartition + i) % count, room, leased);
        room -= std::min(room, leased);
    }
    m_nextPartition = (m_nextPartition + 1) % count;
}

void BatchDispatcher::leaseFrom(int partition, std::size_t room, std::size_t &leased)
{
    wire::LeaseItems command;
    command.holder = m_holder;
    command.maxItems = static_cast<std::int64_t>(room);
    command.leaseMs = absl::ToInt64Milliseconds(m_settings.lease);
    // Not repeatable: a second lease would hold items that nobody works on until they expire.
    const auto answer = m_parts.partitions.propose(partition, command, false);
    if (!answer.ok())
        return;
    leased = answer.value().leased.size();
    for (const wire::LeasedItem &item : answer.value().leased)
        startItem(partition, item);
}

void BatchDispatcher::startItem(int partition, const wire::LeasedItem &item)
{
    const auto request = outcomeOf([&] { return parseCompletion(item.spec.url, item.spec.body); });
    const ItemKey key = keyOf(partition, item.item);
    if (!request.ok()) {
        ItemEnd end;
        end.result = BatchItem::failedResult(item.item, request.failure());
        endItem(partition, std::move(end));
        return;
    }
    m_parts.noteWorkspace(item.workspace);
    WorkOrder order;
    order.task = taskOf(item.workspace, request.value(), policy::TaskKind::Batch);
    const absl::Duration untilDue = absl::FromUnixMillis(item.dueAtMs) - m_parts.clock.wallNow();
    order.task.deadline = m_parts.clock.now() + untilDue;
    order.path = request.value().path;
    order.body = request.value().body;
    order.requestId =
            concat(item.item.jobId, "-", item.item.index, "-", item.item.lease, "-", m_holder);
    order.listener = std::make_shared<BatchItem>(
            item, request.value(), concat(item.item.jobId, "-", item.item.index),
            absl::ToUnixSeconds(m_parts.clock.wallNow()),
            [this, partition, workspace = item.workspace, dueAtMs = item.dueAtMs](ItemEnd end) {
                noteEnd(workspace, dueAtMs, end);
                endItem(partition, std::move(end));
            });
    {
        // Before the work can end.
        absl::MutexLock lock(&m_mutex);
        m_held[key] = 0;
    }
    const policy::TaskId task = m_parts.dispatcher.submit(std::move(order));
    absl::MutexLock lock(&m_mutex);
    const auto held = m_held.find(key);
    if (held != m_held.end())
        held->second = task;
}

// Results

void BatchDispatcher::noteEnd(const std::string &workspace, std::int64_t dueAtMs,
                              const ItemEnd &end) const
{
    if (end.kind != ItemEnd::Kind::Result)
        return;
    const bool pastDue = absl::ToUnixMillis(m_parts.clock.wallNow()) > dueAtMs;
    m_parts.requestMetrics.itemEnded(workspace, end.result.failed, pastDue);
}

void BatchDispatcher::endItem(int partition, ItemEnd end)
{
    absl::MutexLock lock(&m_mutex);
    m_ended[partition].push_back(std::move(end));
}

void BatchDispatcher::reportStep()
{
    Groups ended;
    {
        absl::MutexLock lock(&m_mutex);
        ended.swap(m_ended);
    }
    for (auto &[partition, ends] : ended)
        report(partition, std::move(ends));
}

void BatchDispatcher::report(int partition, std::vector<ItemEnd> ends)
{
    wire::CompleteItems command;
    std::vector<ItemEnd> results;
    std::vector<ItemEnd> later;
    for (ItemEnd &end : ends) {
        if (end.kind == ItemEnd::Kind::Release) {
            release(partition, {end.result.item}, end.failedTry, end.reason);
        } else if (command.results.size() < maxResultsPerCommand) {
            command.results.push_back(end.result);
            results.push_back(std::move(end));
        } else {
            later.push_back(std::move(end));
        }
    }
    keepForLater(partition, std::move(later));
    if (command.results.empty())
        return;
    const auto answer = m_parts.partitions.propose(partition, std::move(command), true);
    if (!answer.ok()) {
        // Repeated until the leases are lost: a second report of the same result is dropped there.
        keepForLater(partition, std::move(results));
        return;
    }
    m_parts.metrics.count("rattanrill_batch_results_total", {{"outcome", "accepted"}},
                          answer.value().accepted);
    m_parts.metrics.count("rattanrill_batch_results_total", {{"outcome", "dropped"}},
                          answer.value().dropped);
    absl::MutexLock lock(&m_mutex);
    for (const ItemEnd &end : results)
        m_held.erase(keyOf(partition, end.result.item));
}

void BatchDispatcher::keepForLater(int partition, std::vector<ItemEnd> ends)
{
    absl::MutexLock lock(&m_mutex);
    std::vector<ItemEnd> &waiting = m_ended[partition];
    std::move(ends.begin(), ends.end(), std::back_inserter(waiting));
}

void BatchDispatcher::release(int partition, std::vector<wire::ItemRef> items, bool failedTry,
                              const std::string &reason)
{
    {
        absl::MutexLock lock(&m_mutex);
        for (const wire::ItemRef &item : items)
            m_held.erase(keyOf(partition, item));
    }
    wire::ReleaseItems command;
    command.items = std::move(items);
    command.failedTry = failedTry;
    command.reason = reason;
    command.backoffMs = failedTry ? absl::ToInt64Milliseconds(releaseBackoff) : 0;
    // When this fails, the leases expire.
    (void)m_parts.partitions.propose(partition, std::move(command), true);
}

// Renewal

void BatchDispatcher::renewStep()
{
    std::map<int, std::vector<wire::ItemRef>> held;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[key, task] : m_held)
            held[std::get<0>(key)].push_back(
                    {std::get<1>(key), std::get<2>(key), std::get<3>(key)});
    }
    for (auto &[partition, items] : held) {
        wire::RenewLeases command;
        command.holder = m_holder;
        command.leaseMs = absl::ToInt64Milliseconds(m_settings.lease);
        command.items = std::move(items);
        const auto answer = m_parts.partitions.propose(partition, std::move(command), true);
        if (answer.ok())
            dropLost(partition, answer.value().lost);
    }
}

void BatchDispatcher::dropLost(int partition, const std::vector<wire::ItemRef> &lost)
{
    std::vector<policy::TaskId> tasks;
    {
        absl::MutexLock lock(&m_mutex);
        for (const wire::ItemRef &item : lost) {
            const auto held = m_held.find(keyOf(partition, item));
            // An item whose work is being submitted is found at the next renewal.
            if (held == m_held.end() || held->second == 0)
                continue;
            tasks.push_back(held->second);
            m_held.erase(held);
        }
    }
    for (const policy::TaskId task : tasks)
        m_parts.dispatcher.withdraw(task);
    if (!tasks.empty())
        log(LogLevel::Info, "batch-items-lost",
            {{"partition", partition}, {"items", static_cast<std::int64_t>(tasks.size())}});
}

void BatchDispatcher::drain()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_draining = true;
    }
    stopSteps();
    std::map<ItemKey, policy::TaskId> held;
    {
        absl::MutexLock lock(&m_mutex);
        held = m_held;
    }
    for (const auto &[key, task] : held)
        m_parts.dispatcher.withdraw(task);
    reportStep();
    std::map<int, std::vector<wire::ItemRef>> unfinished;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[key, task] : m_held)
            unfinished[std::get<0>(key)].push_back(
                    {std::get<1>(key), std::get<2>(key), std::get<3>(key)});
    }
    for (auto &[partition, items] : unfinished)
        release(partition, std::move(items), false, std::string(name(ErrorCode::Draining)));
}

} // namespace rattanrill::entry
