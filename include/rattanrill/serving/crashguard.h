#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/net/message.h"
#include "rattanrill/policy/task.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::serving {

class UpstreamCaller;

/// An attempt whose connection broke.
struct BrokenAttempt
{
    /// For log lines.
    std::string requestId;
    std::string upstream;
    std::string address;
    /// Traits of the request that may be the cause.
    std::vector<std::string> traits;
    absl::Time sentAt;
};

/// What a request is recognized by when upstreams crash; see policy::CrashTracker.
struct CrashTraits
{
    /// Ids of the parts of the prompt that other requests may share.
    std::vector<std::string> promptParts;
    /// Fingerprint of workspace, host, method, path and body.
    std::string fingerprint;

    std::vector<std::string> all() const;
    /// Traits that may be the cause when the upstream crashes. \a hasBegun: it had begun to write
    /// the response.
    std::vector<std::string> suspects(bool hasBegun) const;
};

/// Returns the traits of \a request.
CrashTraits crashTraits(const std::string &workspace, const net::Request &request,
                        const std::vector<std::string> &sharedPromptParts);

/// Rejects requests that crash upstreams, by the blocks that the leader of the fleet group
/// distributes, and reports to it the evidence of this process. Evidence is reported again until
/// the leader has received it, and once more to each new leader. The trials that this process owns
/// are reported every second. A trial for which no request came for some time is returned, so that
/// another process gets it. Used on the event loop only.
class CrashGuard
{
public:
    /// Sends evidence to the leader. The second argument must be called after the return of the
    /// function, with whether the leader has received the evidence.
    using Reporter =
            std::function<void(const wire::CrashEvidence &, std::function<void(bool)> done)>;

    CrashGuard(TimerService &timers, const Clock &clock, std::string instance, Reporter reporter);
    ~CrashGuard();
    CrashGuard(const CrashGuard &) = delete;
    CrashGuard &operator=(const CrashGuard &) = delete;

    /// \a term: term of the leader that distributes the blocks.
    void setBlocks(std::uint64_t term, const std::vector<wire::BlockedPrompt> &blocks,
                   const std::vector<std::string> &suspects);
    /// Whether a request of \a kind with \a traits must be rejected now. A request that is not
    /// rejected although a block applies is a trial, see recordSent(). One that waits for a slot
    /// keeps the trial by a call every second. A batch item gets trials as long as such calls ask
    /// for them, an online request only as many as the block has left.
    bool isBlocked(const std::vector<std::string> &traits,
                   policy::TaskKind kind = policy::TaskKind::Online);
    /// Records that a request with \a traits is sent. Ends the permission of a trial.
    void recordSent(const std::vector<std::string> &traits);
    /// Records that a request with \a traits was cancelled before it had a result. A trial may then
    /// be repeated.
    void recordCancelled(const std::vector<std::string> &traits);
    /// Records a crash, unless another connection to the upstream is still open after a moment, or
    /// no connection of this process responds any more. A crash closes all connections; a
    /// single one may also be reset by an upstream that runs on.
    void recordBroken(const UpstreamCaller &upstreams, const BrokenAttempt &attempt);
    /// Records that \a upstream crashed at \a crashedAt while it ran a request that was sent at
    /// \a sentAt.
    void recordCrash(const std::string &upstream, const std::vector<std::string> &traits,
                     absl::Time sentAt, absl::Time crashedAt);
    /// Records that an upstream ran a request with \a traits and that they did not crash it.
    void recordSound(const std::vector<std::string> &traits);

private:
    struct Crash
    {
        std::string upstream;
        std::vector<std::string> traits;
        absl::Time sentAt;
        absl::Time crashedAt;
    };

    /// A request that the block with \a traits rejected.
    struct Rejection
    {
        std::set<std::string> traits;
        policy::TaskKind kind = policy::TaskKind::Online;
    };

    struct Block
    {
        std::set<std::string> traits;
        std::int64_t trialsLeft = 0;
        /// Whether the leader lets this process send one request, and whether it may still do so.
        bool isTrialOwner = false;
        bool isTrialOpen = false;
        /// Whether this process has sent a request as the trial with the number.
        bool isTrialSent = false;
        std::int64_t trialNumber = 0;
        /// Time at which a request last needed the trial, at first that of the permission.
        absl::Time trialNeededAt = absl::InfinitePast();
        absl::Time rejectionReportedAt = absl::InfinitePast();
    };

    bool applies(const Block &block, const std::set<std::string> &traits) const;
    void keepTrial(Block &block, const Block &former) const;
    bool ownsTrials() const;
    void scheduleTrialReport();
    void reportTrials();
    void addRejection(Block &block, policy::TaskKind kind);
    void repeatReceivedCrashes();
    void keepReceivedCrashes(std::size_t count);
    wire::CrashEvidence makeEvidence() const;
    void report();
    void handleReported(std::size_t crashes, const std::map<std::string, absl::Time> &sound,
                        bool isReceived);

    TimerService &m_timers;
    const Clock &m_clock;
    const std::string m_instance;
    /// Drawn at random, so that a restarted process does not take over an open trial.
    const std::string m_process;
    const Reporter m_reporter;
    std::uint64_t m_term = 0;
    std::vector<Block> m_blocks;
    /// Suspects that the leader has named, and traits of crashes that this process has reported.
    std::set<std::string> m_suspects;
    std::set<std::string> m_ownSuspects;
    /// Evidence that the leader has not received yet.
    std::deque<Crash> m_crashes;
    std::vector<Rejection> m_rejected;
    /// Crashes that a leader has received. The next leader may not know of them.
    std::deque<Crash> m_receivedCrashes;
    /// Time at which a suspect last proved sound.
    std::map<std::string, absl::Time> m_sound;
    bool m_isReporting = false;
    bool m_mustReportTrials = false;
    TimerService::TimerId m_retryTimer = 0;
    TimerService::TimerId m_trialTimer = 0;
    /// Callbacks of reports that are pending when the guard is destroyed have no effect.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace rattanrill::serving
