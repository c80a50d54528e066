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
    std::int64_t answerTokens = 0;
    std::int64_t delivered = 0;
    absl::Time due = absl::InfiniteFuture();
    absl::Time finishedAt = absl::InfiniteFuture();
};

/// Batch jobs of all workspaces: one without end and without a due time each, so that there is
/// always work, and regular ones that are due soon.
class BenchBatchPool
{
public:
    BenchBatchPool(const Deployment &deployment, std::uint64_t seed);

    /// A job of \a items that are due at \a due.
    void addJob(int workspace, int items, absl::Time due);
    /// Leases the next item.
    int lease(absl::Time now);
    /// An item comes back after its lease ended.
    void giveBack(int item);
    BatchItem &item(int index) { return m_items[static_cast<std::size_t>(index)]; }
    /// Items due before \a end that were not done in time, and all items due before \a end.
    std::pair<std::size_t, std::size_t> pastDue(absl::Time end) const;

private:
    int create(int workspace, absl::Time due);
    void enqueue(int index);

    std::mt19937_64 m_random;
    LeaseQueue m_queue;
    std::vector<BatchItem> m_items;
};

} // namespace rattanrill::policy::bench
