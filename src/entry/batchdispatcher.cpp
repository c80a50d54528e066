#include "batchdispatcher.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <algorithm>

namespace rattanrill::entry {
namespace {

constexpr std::size_t poolThreads = 3;
constexpr std::size_t poolQueueLimit = 16;
/// Number of renewals in the duration of a lease. Two renewals may be lost before a lease expires.
constexpr int renewalsPerLease = 3;
/// Delay until an item whose attempt failed can be leased again.
constexpr absl::Duration releaseBackoff = absl::Milliseconds(200);
constexpr std::size_t maxResultsPerCommand = 256;

} // namespace

BatchDispatcher::BatchDispatcher(Context context, const BatchSettings &settings, std::string holder)
    : m_context(std::move(context))
    , m_settings(settings)
    , m_holder(std::move(holder))
    , m_pool(poolThreads, poolQueueLimit)
{}

BatchDispatcher::~BatchDispatcher()
{
    stopPeriodicSteps();
}

void BatchDispatcher::stopPeriodicSteps()
{
    for (const TimerService::TimerId timer : m_timers)
        m_context.timers.unsubscribe(timer);
    m_timers.clear();
    m_pool.stop();
}

void BatchDispatcher::start()
{
    const absl::Duration interval = m_settings.dispatchInterval;
    m_timers = {
            m_context.timers.subscribeEvery(
                    interval, [this] { schedule(m_leasing, &BatchDispatcher::leaseStep); }),
            m_context.timers.subscribeEvery(
                    interval, [this] { schedule(m_reporting, &BatchDispatcher::reportStep); }),
            m_context.timers.subscribeEvery(
                    m_settings.leaseDuration / renewalsPerLease,
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

std::size_t BatchDispatcher::heldItems() const
{
    absl::MutexLock lock(&m_mutex);
    return m_heldItems.size();
}

BatchDispatcher::ItemKey BatchDispatcher::keyOf(int partition, const wire::ItemRef &item)
{
    return {partition, item.jobId, item.index, item.lease};
}

// Leases

void BatchDispatcher::leaseStep()
{
    std::size_t capacity = 0;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_draining || m_heldItems.size() >= m_settings.maxRunning)
            return;
        capacity = m_settings.maxRunning - m_heldItems.size();
    }
    capacity = std::min(capacity, m_context.dispatcher.batchCapacity());
    const int count = m_context.partitions.count();
    for (int i = 0; i < count && capacity > 0; ++i) {
        std::size_t leased = 0;
        leaseFrom((m_nextPartition + i) % count, capacity, leased);
        capacity -= std::min(capacity, leased);
    }
    m_nextPartition = (m_nextPartition + 1) % count;
}

void BatchDispatcher::leaseFrom(int partition, std::size_t capacity, std::size_t &leased)
{
    wire::LeaseItems command;
    command.holder = m_holder;
    command.maxItems = static_cast<std::int64_t>(capacity);
    command.leaseMs = absl::ToInt64Milliseconds(m_settings.leaseDuration);
    // Not idempotent: a resend would lease further items, while the items of the lost response
    // would stay unprocessed until their leases expire.
    const auto response = m_context.partitions.propose(partition, command, false);
    if (!response.ok())
        return;
    leased = response.value().leased.size();
    for (const wire::LeasedItem &item : response.value().leased)
        startItem(partition, item);
}

void BatchDispatcher::startItem(int partition, const wire::LeasedItem &item)
{
    const auto request = outcomeOf([&] { return parseCompletion(item.spec.url, item.spec.body); });
    const ItemKey key = keyOf(partition, item.item);
    if (!request.ok()) {
        ItemOutcome outcome;
        outcome.result = BatchItem::failedResult(item.item, request.failure());
        queueOutcome(partition, std::move(outcome));
        return;
    }
    m_context.registerWorkspace(item.workspace);
    TaskSubmission submission;
    submission.task = taskOf(item.workspace, request.value(), policy::TaskKind::Batch);
    const absl::Duration untilDue = absl::FromUnixMillis(item.dueAtMs) - m_context.clock.wallNow();
    submission.task.deadline = m_context.clock.now() + untilDue;
    submission.path = request.value().path;
    submission.body = request.value().body;
    submission.requestId =
            concat(item.item.jobId, "-", item.item.index, "-", item.item.lease, "-", m_holder);
    submission.listener = std::make_shared<BatchItem>(
            item, request.value(), concat(item.item.jobId, "-", item.item.index),
            absl::ToUnixSeconds(m_context.clock.wallNow()),
            [this, partition, workspace = item.workspace,
             dueAtMs = item.dueAtMs](ItemOutcome outcome) {
                countOutcome(workspace, dueAtMs, outcome);
                queueOutcome(partition, std::move(outcome));
            });
    {
        // The item must be registered before its task can end.
        absl::MutexLock lock(&m_mutex);
        m_heldItems[key] = 0;
    }
    const policy::TaskId task = m_context.dispatcher.submit(std::move(submission));
    absl::MutexLock lock(&m_mutex);
    const auto held = m_heldItems.find(key);
    if (held != m_heldItems.end())
        held->second = task;
}

// Results

void BatchDispatcher::countOutcome(const std::string &workspace, std::int64_t dueAtMs,
                                   const ItemOutcome &outcome) const
{
    if (outcome.kind != ItemOutcome::Kind::Result)
        return;
    const bool pastDue = absl::ToUnixMillis(m_context.clock.wallNow()) > dueAtMs;
    m_context.requestMetrics.itemEnded(workspace, outcome.result.failed, pastDue);
}

void BatchDispatcher::queueOutcome(int partition, ItemOutcome outcome)
{
    absl::MutexLock lock(&m_mutex);
    m_outcomes[partition].push_back(std::move(outcome));
}

void BatchDispatcher::reportStep()
{
    OutcomesByPartition outcomesByPartition;
    {
        absl::MutexLock lock(&m_mutex);
        outcomesByPartition.swap(m_outcomes);
    }
    for (auto &[partition, outcomes] : outcomesByPartition)
        report(partition, std::move(outcomes));
}

void BatchDispatcher::report(int partition, std::vector<ItemOutcome> outcomes)
{
    wire::CompleteItems command;
    std::vector<ItemOutcome> results;
    std::vector<ItemOutcome> deferred;
    for (ItemOutcome &outcome : outcomes) {
        if (outcome.kind == ItemOutcome::Kind::Release) {
            release(partition, {outcome.result.item}, outcome.failedAttempt, outcome.reason);
        } else if (command.results.size() < maxResultsPerCommand) {
            command.results.push_back(outcome.result);
            results.push_back(std::move(outcome));
        } else {
            deferred.push_back(std::move(outcome));
        }
    }
    requeue(partition, std::move(deferred));
    if (command.results.empty())
        return;
    const auto response = m_context.partitions.propose(partition, std::move(command), true);
    if (!response.ok()) {
        // The report is retried until the leases are lost. The partition drops a repeated report of
        // the same result.
        requeue(partition, std::move(results));
        return;
    }
    m_context.metrics.count("rattanrill_batch_results_total", {{"outcome", "accepted"}},
                            response.value().accepted);
    m_context.metrics.count("rattanrill_batch_results_total", {{"outcome", "dropped"}},
                            response.value().dropped);
    absl::MutexLock lock(&m_mutex);
    for (const ItemOutcome &outcome : results)
        m_heldItems.erase(keyOf(partition, outcome.result.item));
}

void BatchDispatcher::requeue(int partition, std::vector<ItemOutcome> outcomes)
{
    absl::MutexLock lock(&m_mutex);
    std::vector<ItemOutcome> &queued = m_outcomes[partition];
    std::move(outcomes.begin(), outcomes.end(), std::back_inserter(queued));
}

void BatchDispatcher::release(int partition, std::vector<wire::ItemRef> items, bool failedAttempt,
                              const std::string &reason)
{
    {
        absl::MutexLock lock(&m_mutex);
        for (const wire::ItemRef &item : items)
            m_heldItems.erase(keyOf(partition, item));
    }
    wire::ReleaseItems command;
    command.items = std::move(items);
    command.failedTry = failedAttempt;
    command.reason = reason;
    command.backoffMs = failedAttempt ? absl::ToInt64Milliseconds(releaseBackoff) : 0;
    // If this fails, the leases expire on their own.
    (void)m_context.partitions.propose(partition, std::move(command), true);
}

// Renewal

void BatchDispatcher::renewStep()
{
    std::map<int, std::vector<wire::ItemRef>> held;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[key, task] : m_heldItems)
            held[std::get<0>(key)].push_back(
                    {std::get<1>(key), std::get<2>(key), std::get<3>(key)});
    }
    for (auto &[partition, items] : held) {
        wire::RenewLeases command;
        command.holder = m_holder;
        command.leaseMs = absl::ToInt64Milliseconds(m_settings.leaseDuration);
        command.items = std::move(items);
        const auto response = m_context.partitions.propose(partition, std::move(command), true);
        if (response.ok())
            cancelLost(partition, response.value().lost);
    }
}

void BatchDispatcher::cancelLost(int partition, const std::vector<wire::ItemRef> &lost)
{
    std::vector<policy::TaskId> tasks;
    {
        absl::MutexLock lock(&m_mutex);
        for (const wire::ItemRef &item : lost) {
            const auto held = m_heldItems.find(keyOf(partition, item));
            // An item whose task is still being submitted is handled at the next renewal.
            if (held == m_heldItems.end() || held->second == 0)
                continue;
            tasks.push_back(held->second);
            m_heldItems.erase(held);
        }
    }
    for (const policy::TaskId task : tasks)
        m_context.dispatcher.cancel(task);
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
    stopPeriodicSteps();
    std::map<ItemKey, policy::TaskId> held;
    {
        absl::MutexLock lock(&m_mutex);
        held = m_heldItems;
    }
    for (const auto &[key, task] : held)
        m_context.dispatcher.cancel(task);
    reportStep();
    std::map<int, std::vector<wire::ItemRef>> unfinished;
    {
        absl::MutexLock lock(&m_mutex);
        for (const auto &[key, task] : m_heldItems)
            unfinished[std::get<0>(key)].push_back(
                    {std::get<1>(key), std::get<2>(key), std::get<3>(key)});
    }
    for (auto &[partition, items] : unfinished)
        release(partition, std::move(items), false, std::string(name(ErrorCode::Draining)));
}

} // namespace rattanrill::entry
