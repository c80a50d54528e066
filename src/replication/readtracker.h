#pragma once

#include "raftmessages.h"

#include <deque>
#include <optional>

namespace rattanrill::replication {

/// End of a read request: the index that local state must include, or the failure.
struct ReadResult
{
    std::uint64_t token = 0;
    std::uint64_t index = 0;
    std::optional<Failure> failure;
};

/// Read requests that wait for a confirmation of leadership.
class ReadTracker
{
public:
    /// Read on the leader: of a local caller, or of a batch of reads of a follower.
    struct LeaderRead
    {
        std::uint64_t token = 0;
        /// Empty: local.
        ReplicaId follower;
        std::uint64_t context = 0;
        std::uint64_t index = 0;
        /// Heartbeat round that confirms it.
        std::uint64_t round = 0;
    };

    /// \a firstContext is drawn: an answer to a batch of an earlier start of this replica must not
    /// pass for the answer to a later batch.
    explicit ReadTracker(std::uint64_t firstContext)
        : m_lastContext(firstContext)
    {}

    // Leader
    /// Waits until the leader has committed an entry of its term and knows the commit index.
    void addEarly(LeaderRead read) { m_early.push_back(std::move(read)); }
    std::vector<LeaderRead> takeEarly();
    void add(LeaderRead read) { m_waiting.push_back(std::move(read)); }
    /// Reads that a quorum's answers to \a round confirm.
    std::vector<LeaderRead> takeConfirmed(std::uint64_t round);
    bool hasWaiting() const { return !m_waiting.empty(); }
    std::uint64_t firstRound() const { return m_waiting.front().round; }

    // Follower
    void addForwarded(std::uint64_t token) { m_unsent.push_back(token); }
    /// Moves the reads since the last call into a batch; 0 when there are none.
    std::uint64_t startBatch(absl::Time deadline);
    void finishBatch(std::uint64_t context, std::uint64_t index);

    /// Fails everything that waits.
    void failAll(const Failure &failure);
    /// Fails batches of which no answer came in time.
    void failOverdue(absl::Time now, const Failure &failure);
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

    std::vector<LeaderRead> m_early;
    std::deque<LeaderRead> m_waiting;
    std::vector<std::uint64_t> m_unsent;
    std::deque<Batch> m_batches;
    std::uint64_t m_lastContext;
    std::vector<ReadResult> m_results;
};

} // namespace rattanrill::replication
