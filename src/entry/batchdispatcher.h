#pragma once

#include "batchitem.h"
#include "entrysettings.h"
#include "partitions.h"
#include "requestmetrics.h"
#include "taskdispatcher.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/base/workerpool.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace rattanrill::entry {

/// Leases batch items from all partitions while the engines have capacity, runs them through the
/// TaskDispatcher, renews their leases and reports results in groups.
///
/// m_mutex is never held during a call to the dispatcher or to a partition.
class BatchDispatcher
{
public:
    struct Context
    {
        Partitions &partitions;
        TaskDispatcher &dispatcher;
        TimerService &timers;
        const Clock &clock;
        Metrics &metrics;
        RequestMetrics &requestMetrics;
        /// Ensures that the scheduler has the shares of a workspace; called before each item is
        /// submitted.
        std::function<void(const std::string &workspace)> registerWorkspace;
    };

    /// \a holder identifies this incarnation of the instance as the holder of its leases.
    BatchDispatcher(Context context, const BatchSettings &settings, std::string holder);
    ~BatchDispatcher();

    void start();
    /// Stops leasing, releases running items and reports finished ones. Blocks while it calls the
    /// partitions.
    void drain() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Number of leased items.
    std::size_t heldItems() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    /// Partition, job, index and lease number of a leased item.
    using ItemKey = std::tuple<int, std::string, std::uint64_t, std::uint64_t>;
    using OutcomesByPartition = std::map<int, std::vector<ItemOutcome>>;

    void stopPeriodicSteps();
    /// Runs \a step on the pool, unless \a busy shows that its previous run has not ended.
    void schedule(std::atomic<bool> &busy, void (BatchDispatcher::*step)());
    void leaseStep() ABSL_LOCKS_EXCLUDED(m_mutex);
    void reportStep() ABSL_LOCKS_EXCLUDED(m_mutex);
    void renewStep() ABSL_LOCKS_EXCLUDED(m_mutex);
    void leaseFrom(int partition, std::size_t capacity, std::size_t &leased);
    void startItem(int partition, const wire::LeasedItem &item);
    void countOutcome(const std::string &workspace, std::int64_t dueAtMs,
                      const ItemOutcome &outcome) const;
    void queueOutcome(int partition, ItemOutcome outcome) ABSL_LOCKS_EXCLUDED(m_mutex);
    void report(int partition, std::vector<ItemOutcome> outcomes);
    void requeue(int partition, std::vector<ItemOutcome> outcomes) ABSL_LOCKS_EXCLUDED(m_mutex);
    void release(int partition, std::vector<wire::ItemRef> items, bool failedAttempt,
                 const std::string &reason);
    void cancelLost(int partition, const std::vector<wire::ItemRef> &lost)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    static ItemKey keyOf(int partition, const wire::ItemRef &item);

    Context m_context;
    BatchSettings m_settings;
    std::string m_holder;
    /// One thread each for leasing, reporting and renewing. Otherwise a lease or report command
    /// that waits for a partition that does not respond could delay the renewals until leases of
    /// other partitions expire.
    WorkerPool m_pool;
    std::atomic<bool> m_leasing{false};
    std::atomic<bool> m_reporting{false};
    std::atomic<bool> m_renewing{false};
    std::vector<TimerService::TimerId> m_timers;
    int m_nextPartition = 0;
    mutable absl::Mutex m_mutex;
    bool m_draining ABSL_GUARDED_BY(m_mutex) = false;
    /// Task of each leased item whose result is not reported yet; 0 while it is being submitted.
    std::map<ItemKey, policy::TaskId> m_heldItems ABSL_GUARDED_BY(m_mutex);
    OutcomesByPartition m_outcomes ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
