#pragma once

#include "raftmessages.h"

#include <deque>
#include <optional>

namespace rattanrill::replication {

/// Result of a read request: the index that the local state must include, or the failure.
struct ReadResult
{
    std::uint64_t token = 0;
    std::uint64_t index = 0;
    std::optional<Failure> failure;
};

/// Read requests that wait for the confirmation of leadership.
class ReadTracker
{
public:
    /// Read on the leader, for a local caller or for a batch of reads from a follower.
    struct LeaderRead
    {
        std::uint64_t token = 0;
        /// Empty for a local read.
        ReplicaId follower;
        std::uint64_t context = 0;
        std::uint64_t index = 0;
        /// Heartbeat round that confirms the read.
        std::uint64_t round = 0;
    };

    /// \a firstContext must be random: the reply to a batch from before a restart of this replica
    /// must not be mistaken for the reply to a later batch.
    explicit ReadTracker(std::uint64_t firstContext)
        : m_lastContext(firstContext)
    {}

    // Leader
    /// Defers a read until the leader has committed an entry of its term. Before that, its commit
    /// index may lack entries that its predecessor committed.
    void addDeferred(LeaderRead read) { m_deferred.push_back(std::move(read)); }
    std::vector<LeaderRead> takeDeferred();
    void add(LeaderRead read) { m_waiting.push_back(std::move(read)); }
    /// Removes and returns the reads that are confirmed once a quorum has replied to \a round.
    std::vector<LeaderRead> takeConfirmed(std::uint64_t round);
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::uint64_t firstRound() const { return m_waiting.front().round; }

    // Follower
    void addForwarded(std::uint64_t token) { m_unsent.push_back(token); }
    /// Moves the reads that were added since the last call into a batch and returns the context of
    /// the batch; 0 when there are none.
    std::uint64_t startBatch(absl::Time deadline);
    void finishBatch(std::uint64_t context, std::uint64_t index);

    /// Fails all waiting reads.
    void failAll(const Failure &failure);
    /// Fails the batches whose deadline has passed without a reply.
    void expireBatches(absl::Time now, const Failure &failure);
    void finish(ReadResult result) { m_results.push_back(std::move(result)); }
    std::vector<ReadResult> takeResults();

private:
    struct Batch
    {
        std::uint64_t context;
        absl::Time deadline;
        std::vector<std::uint64_t> tokens;
    };

    void failTokens(const std::vector<std::uint64_t> &tokens, const Failure &failure);

    std::vector<LeaderRead> m_deferred;
    std::deque<LeaderRead> m_waiting;
    std::vector<std::uint64_t> m_unsent;
    std::deque<Batch> m_batches;
    std::uint64_t m_lastContext;
    std::vector<ReadResult> m_results;
};

} // namespace rattanrill::replication
