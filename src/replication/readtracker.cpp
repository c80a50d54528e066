#include "readtracker.h"

#include <algorithm>
#include <utility>

namespace rattanrill::replication {

std::vector<ReadTracker::LeaderRead> ReadTracker::takeDeferred()
{
    return std::exchange(m_deferred, {});
}

std::vector<ReadTracker::LeaderRead> ReadTracker::takeConfirmed(std::uint64_t round)
{
    std::vector<LeaderRead> confirmed;
    while (!m_waiting.empty() && m_waiting.front().round <= round) {
        confirmed.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
    return confirmed;
}

std::uint64_t ReadTracker::startBatch(absl::Time deadline)
{
    if (m_unsent.empty())
        return 0;
    m_batches.push_back({++m_lastContext, deadline, std::exchange(m_unsent, {})});
    return m_lastContext;
}

void ReadTracker::finishBatch(std::uint64_t context, std::uint64_t index)
{
    const auto batch = std::find_if(m_batches.begin(), m_batches.end(),
                                    [&](const Batch &b) { return b.context == context; });
    if (batch == m_batches.end())
        return;
    for (const std::uint64_t token : batch->tokens)
        m_results.push_back({token, index, std::nullopt});
    m_batches.erase(batch);
}

void ReadTracker::failAll(const Failure &failure)
{
    // Reads of followers are dropped without a reply: each follower fails its batch when the leader
    // changes or the deadline of the batch passes.
    for (const LeaderRead &read : std::exchange(m_deferred, {})) {
        if (read.follower.empty())
            m_results.push_back({read.token, 0, failure});
    }
    for (const LeaderRead &read : std::exchange(m_waiting, {})) {
        if (read.follower.empty())
            m_results.push_back({read.token, 0, failure});
    }
    failTokens(std::exchange(m_unsent, {}), failure);
    for (const Batch &batch : std::exchange(m_batches, {}))
        failTokens(batch.tokens, failure);
}

void ReadTracker::expireBatches(absl::Time now, const Failure &failure)
{
    while (!m_batches.empty() && m_batches.front().deadline <= now) {
        failTokens(m_batches.front().tokens, failure);
        m_batches.pop_front();
    }
}

std::vector<ReadResult> ReadTracker::takeResults()
{
    return std::exchange(m_results, {});
}

void ReadTracker::failTokens(const std::vector<std::uint64_t> &tokens, const Failure &failure)
{
    for (const std::uint64_t token : tokens)
        m_results.push_back({token, 0, failure});
}

} // namespace rattanrill::replication
