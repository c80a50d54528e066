#include "benchbatchpool.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy::bench {

namespace {

/// Prompt lengths have a log-normal distribution with this mean and sigma, output lengths a clamped
/// exponential distribution.
constexpr double promptMeanTokens = 250;
constexpr double promptSigma = 0.4;
constexpr double outputMeanTokens = 200;
constexpr std::int64_t maxOutputTokens = 400;

} // namespace

BenchBatchPool::BenchBatchPool(const Deployment &deployment, std::uint64_t seed)
    : m_random(seed)
    , m_queue(LeaseQueueSettings{})
{
    for (std::size_t i = 0; i < deployment.shares.size(); ++i) {
        m_queue.setWeight(concat("workspace-", i), deployment.shares[i]);
        enqueue(create(static_cast<int>(i), absl::InfiniteFuture()));
    }
}

void BenchBatchPool::addJob(int workspace, int items, absl::Time due)
{
    for (int i = 0; i < items; ++i)
        enqueue(create(workspace, due));
}

int BenchBatchPool::lease(absl::Time now)
{
    const int index = static_cast<int>(*m_queue.pop(now, promptMeanTokens + outputMeanTokens));
    const BatchItem &leased = item(index);
    // Keeps one item of the endless job in the queue.
    if (leased.due == absl::InfiniteFuture() && leased.delivered == 0)
        enqueue(create(leased.workspace, absl::InfiniteFuture()));
    return index;
}

void BenchBatchPool::returnItem(int index)
{
    enqueue(index);
}

std::pair<std::size_t, std::size_t> BenchBatchPool::pastDue(absl::Time end) const
{
    std::size_t late = 0;
    std::size_t all = 0;
    for (const BatchItem &item : m_items) {
        if (item.due > end)
            continue;
        ++all;
        late += item.finishedAt > item.due ? 1 : 0;
    }
    return {late, all};
}

int BenchBatchPool::create(int workspace, absl::Time due)
{
    BatchItem item;
    item.workspace = workspace;
    const double mu = std::log(promptMeanTokens) - promptSigma * promptSigma / 2;
    const double prompt = std::lognormal_distribution<double>(mu, promptSigma)(m_random);
    item.promptTokens = std::max<std::int64_t>(std::llround(prompt), 16);
    const double output = std::exponential_distribution<double>(1 / outputMeanTokens)(m_random);
    item.outputTokens = std::clamp<std::int64_t>(std::llround(output), 8, maxOutputTokens);
    item.due = due;
    m_items.push_back(item);
    return static_cast<int>(m_items.size()) - 1;
}

void BenchBatchPool::enqueue(int index)
{
    const BatchItem &item = m_items[static_cast<std::size_t>(index)];
    m_queue.push(concat("workspace-", item.workspace), static_cast<TaskId>(index), item.due);
}

} // namespace rattanrill::policy::bench
