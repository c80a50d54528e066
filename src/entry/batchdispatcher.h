#pragma once

#include "batchitem.h"
#include "entrysettings.h"
#include "partitions.h"
#include "requestmetrics.h"
#include "workdispatcher.h"

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

/// Leases batch items from all partitions as engines have room, runs them through the dispatcher,
/// renews leases and reports results in groups.
///
/// Lock order: m_mutex is never held over a call to the dispatcher or to a partition.
class BatchDispatcher
{
public:
    struct Parts
    {
        Partitions &partitions;
        WorkDispatcher &dispatcher;
        TimerService &timers;
        const Clock &clock;
        Metrics &metrics;
        RequestMetrics &requestMetrics;
        /// Tells the scheduler the share of a workspace before its first item.
        std::function<void(const std::string &workspace)> noteWorkspace;
    };

    /// \a holder names this run of this instance.
    BatchDispatcher(Parts parts, const BatchSettings &settings, std::string holder);
    ~BatchDispatcher();

    void start();
    /// Leases nothing more, gives running items back and reports what has finished. Blocks for
    /// calls to the partitions.
    void drain() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t held() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    /// Partition, job, index and lease number of a held item.
    using ItemKey = std::tuple<int, std::string, std::uint64_t, std::uint64_t>;
    using Groups = std::map<int, std::vector<ItemEnd>>;

    void stopSteps();
    void schedule(std::atomic<bool> &busy, void (BatchDispatcher::*step)());
    void leaseStep() ABSL_LOCKS_EXCLUDED(m_mutex);
    void reportStep() ABSL_LOCKS_EXCLUDED(m_mutex);
    void renewStep() ABSL_LOCKS_EXCLUDED(m_mutex);
    void leaseFrom(int partition, std::size_t room, std::size_t &leased);
    void startItem(int partition, const wire::LeasedItem &item);
    void noteEnd(const std::string &workspace, std::int64_t dueAtMs, const ItemEnd &end) const;
    void endItem(int partition, ItemEnd end) ABSL_LOCKS_EXCLUDED(m_mutex);
    void report(int partition, std::vector<ItemEnd> ends);
    void keepForLater(int partition, std::vector<ItemEnd> ends) ABSL_LOCKS_EXCLUDED(m_mutex);
    void release(int partition, std::vector<wire::ItemRef> items, bool failedTry,
                 const std::string &reason);
    void dropLost(int partition, const std::vector<wire::ItemRef> &lost)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    static ItemKey keyOf(int partition, const wire::ItemRef &item);

    Parts m_parts;
    BatchSettings m_settings;
    std::string m_holder;
    /// One thread each for leases, reports and renewals: a partition that does not answer must not
    /// let the leases of others expire.
    WorkerPool m_pool;
    std::atomic<bool> m_leasing{false};
    std::atomic<bool> m_reporting{false};
    std::atomic<bool> m_renewing{false};
    std::vector<TimerService::TimerId> m_timers;
    int m_nextPartition = 0;
    mutable absl::Mutex m_mutex;
    bool m_draining ABSL_GUARDED_BY(m_mutex) = false;
    std::map<ItemKey, policy::TaskId> m_held ABSL_GUARDED_BY(m_mutex);
    Groups m_ended ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
