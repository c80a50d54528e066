#pragma once

#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// Settings of CrashTracker.
struct CrashTrackerSettings
{
    /// Number of successive crashes after which a trait is blocked.
    std::size_t crashLimit = 3;
    /// Number of different upstreams that these crashes must concern, so that one faulty upstream
    /// does not cause a block.
    std::size_t minUpstreams = 2;
    /// Number of successive crashes after which a trait is a suspect.
    std::size_t suspectLimit = 2;
    /// Crashes that are older than this are no longer evidence.
    absl::Duration evidenceLifetime = absl::Minutes(10);
    /// Time for which a block lasts.
    absl::Duration blockTime = absl::Hours(1);
    /// Number of online requests that may run in spite of a block, one after another, to find out
    /// whether the block is wrong. The trials of batch items are not limited in number.
    int maxTrials = 2;
    /// Time from the creation of a block to its first trial. Each further trial waits
    /// trialDelayFactor times as long after the end of the one before, up to maxTrialDelay. After
    /// restore() and after the loss of a trial's owner, the delay is the first one again: nothing
    /// is known of crashes then.
    absl::Duration firstTrialDelay = absl::Seconds(3);
    int trialDelayFactor = 5;
    absl::Duration maxTrialDelay = absl::Seconds(15);
    /// Minimum time between two repeated trials of batch items, over all blocks. An upstream that
    /// crashed is away for about this long, so these trials keep about one upstream away at a time.
    absl::Duration repeatedTrialPeriod = absl::Seconds(3);
    /// Time after its last rejection for which a batch item is taken to wait for a trial. Longer
    /// than the period of the reports of rejections.
    absl::Duration rejectionLifetime = absl::Seconds(3);
    /// A trial without a result ends this long after its request was sent, and counts.
    absl::Duration trialTimeout = absl::Seconds(10);
    /// The owner of a trial is lost when it has not reported the trial for this long. Longer than
    /// the search for a new leader and one period of the reports.
    absl::Duration trialOwnerTimeout = absl::Seconds(4);
    /// Maximum number of traits with evidence. The trait whose last crash is the oldest is dropped
    /// first.
    std::size_t maxTraits = 4096;
    /// Maximum number of blocks. The oldest one is dropped first.
    std::size_t maxBlocks = 256;
};

/// Traits of a request that may be the cause of a crash: the parts of its prompt that other
/// requests may share, and the fingerprint of the whole request.
using TraitSet = std::set<std::string>;

/// An attempt that ended with a crash of its upstream.
struct RequestCrash
{
    std::string upstream;
    /// Traits that may be the cause.
    std::vector<std::string> traits;
    absl::Time sentAt;
    absl::Time crashedAt;
};

/// Traits that together crash upstreams. An online request that has all of them is rejected, a
/// batch item waits.
struct CrashBlock
{
    TraitSet traits;
    /// Number of online requests that may still run in spite of the block.
    int trialsLeft = 0;
    /// Process that may send one request with the traits; empty when no trial is open.
    std::string trialProcess;
    /// Number of trials that have begun, which tells late reports from those of the open trial.
    int trialNumber = 0;
    /// Whether a trial whose owner was lost has been replaced by a further one.
    bool isLostTrialReplaced = false;
    /// Whether the open trial is one of a batch item.
    bool isItemTrial = false;
    /// Number of trials of batch items that ended with a crash.
    int crashedItemTrials = 0;
};

/// What the owner of an open trial reports of it.
enum class TrialState {
    /// A request waits to be sent.
    Waiting,
    /// A request was sent.
    Sent,
    /// The owner has sent no request, and will not send one.
    Returned,
};

bool operator==(const CrashBlock &left, const CrashBlock &right);

/// Finds traits of requests that crash each upstream which runs them.
///
/// All requests of an upstream break with it, so a single crash accuses many sound requests. The
/// following tells them apart:
///
/// - A part of a prompt crashes the upstream before it begins to write the response. The part is
///   accused only before that, and a response that begins clears it.
/// - A whole request may crash the upstream at any time, so only a complete response clears its
///   fingerprint.
/// - A crash counts for a trait only if the attempt does not overlap with one that counts already.
///   Crashes at the same moment, such as the loss of a failure domain, thus count once.
/// - A trait that is cleared is cleared from all earlier crashes.
/// - A trait that crashed too often is blocked only together with the traits that all its crashed
///   requests had in common, because one of these may be the cause. When one of them is cleared,
///   the others remain blocked without it.
/// - A few requests may run in spite of a block as trials. A sound request that ran on upstreams
///   which crashed for other reasons is cleared by its first complete response.
/// - The owner of a trial repeats its state. A trial that it returns does not count. A trial whose
///   owner falls silent ends; it may have been sent, so it counts, but the first one of each block
///   is replaced. At most maxTrials + 1 online requests are thus sent in spite of a block.
/// - An accepted batch item is owed, however many upstreams crashed while they ran it, so its
///   trials go on until it runs or its time is up. Those that follow on maxTrials crashes are
///   repeated trials: all blocks share one of them in each repeatedTrialPeriod, in turn.
///
/// Reports may arrive in any order and more than once. Performs no I/O. Not thread-safe.
class CrashTracker
{
public:
    explicit CrashTracker(CrashTrackerSettings settings);

    /// Discards the evidence and starts with \a blocks, which another tracker created.
    void restore(absl::Time now, const std::vector<CrashBlock> &blocks);
    /// Returns true when the blocks or the suspects have changed.
    bool recordCrash(const RequestCrash &crash);
    /// Clears \a trait: an upstream ran a request with it at \a ranAt and did not crash. Returns
    /// true when the blocks or the suspects have changed.
    bool recordSound(const std::string &trait, absl::Time ranAt);
    /// Records that \a process rejected a request of \a kind because of the block with \a traits.
    /// Returns true when a trial of the block by this process begins.
    bool recordRejected(absl::Time now, const TraitSet &traits, const std::string &process,
                        TaskKind kind = TaskKind::Online);
    /// Records the \a state of the trial with \a number of the block with \a traits, as its owner
    /// \a process reports it. Reports of other trials than the open one have no effect. Returns
    /// true when the blocks have changed.
    bool recordTrial(absl::Time now, const TraitSet &traits, const std::string &process, int number,
                     TrialState state);
    /// Drops old evidence, expired blocks and trials without a result. Returns true when the blocks
    /// or the suspects have changed.
    bool expire(absl::Time now);

    /// Blocks in the order of their creation.
    std::vector<CrashBlock> blocks() const;
    /// Traits that must be reported when they prove sound: those with at least suspectLimit
    /// crashes, and all traits of blocks.
    std::vector<std::string> suspects() const;
    /// Number of crashes that count for \a trait.
    std::size_t crashCount(const std::string &trait) const;

private:
    struct Evidence
    {
        /// The last crashes that count, in the order of their times, at most crashLimit of them.
        std::deque<RequestCrash> crashes;
    };

    struct Block
    {
        CrashBlock block;
        /// A request that ran after this time clears its traits.
        absl::Time firstCrashAt;
        absl::Time createdAt;
        /// Earliest start of the next trial when none is open.
        absl::Time nextTrialAt;
        /// Start of the open trial. For a trial of another tracker, the time of restore().
        absl::Time trialStartedAt;
        /// Time of the last report of the open trial, at first its start.
        absl::Time ownerHeardAt;
        /// Time from which the request of the open trial is known to have been sent.
        std::optional<absl::Time> trialSentAt{};
        /// Time at which a batch item was last rejected.
        absl::Time itemRejectedAt = absl::InfinitePast();
    };

    bool addCrash(const std::string &trait, const RequestCrash &crash);
    bool isConclusive(const Evidence &evidence) const;
    TraitSet commonTraits(const Evidence &evidence) const;
    bool addBlock(const Evidence &evidence);
    void limitTraits();
    void removeFromBlocks(const std::string &trait, absl::Time ranAt);
    bool endTrials(const RequestCrash &crash);
    /// Number of trials of the block that count, of online requests and batch items together.
    int usedTrials(const CrashBlock &block) const;
    absl::Duration trialDelay(const CrashBlock &block) const;
    bool mayBeginTrial(absl::Time now, const Block &block, TaskKind kind) const;
    /// Whether a further trial of a batch item follows on maxTrials crashes.
    bool isRepeated(const CrashBlock &block) const;
    /// Whether no other batch item has waited longer for a repeated trial than that of \a block.
    bool isTurnOf(absl::Time now, const Block &block) const;
    static void endTrial(Block &block, absl::Time nextTrialAt);
    void endTrialWithoutResult(Block &block, absl::Time now) const;
    void endLostTrial(Block &block) const;

    const CrashTrackerSettings m_settings;
    std::map<std::string, Evidence> m_evidence;
    std::deque<Block> m_blocks;
    /// Earliest start of the next repeated trial.
    absl::Time m_nextRepeatedTrialAt = absl::InfinitePast();
};

} // namespace rattanrill::policy
