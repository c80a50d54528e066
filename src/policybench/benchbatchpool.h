#pragma once

#include "benchscenario.h"

#include "rattanrill/policy/leasequeue.h"
#include "rattanrill/policy/task.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace rattanrill::policy::bench {

struct BatchItem
{
    int workspace = 0;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    std::int64_t delivered = 0;
    absl::Time due = absl::InfiniteFuture();
    absl::Time finishedAt = absl::InfiniteFuture();
};

/// Batch jobs of all workspaces. Each workspace has one endless job without a due time, so that the
/// pool never runs empty, and gets further jobs with a due time at regular intervals.
class BenchBatchPool
{
public:
    BenchBatchPool(const Deployment &deployment, std::uint64_t seed);

    /// Adds a job of \a items items that are due at \a due.
    void addJob(int workspace, int items, absl::Time due);
    /// Leases the next item and returns its index.
    int lease(absl::Time now);
    /// Queues an item again after its lease expired.
    void returnItem(int item);
    BatchItem &item(int index) { return m_items[static_cast<std::size_t>(index)]; }
    /// Returns the number of items due by \a end that were not finished in time, and the number of
    /// all items due by \a end.
    std::pair<std::size_t, std::size_t> pastDue(absl::Time end) const;

private:
    int create(int workspace, absl::Time due);
    void enqueue(int index);

    std::mt19937_64 m_random;
    LeaseQueue m_queue;
    std::vector<BatchItem> m_items;
};

} // namespace rattanrill::policy::bench
