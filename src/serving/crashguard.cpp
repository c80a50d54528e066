#include "rattanrill/serving/crashguard.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/serving/upstreamcaller.h"

#include "absl/strings/str_join.h"

#include <algorithm>
#include <utility>

namespace rattanrill::serving {
namespace {

constexpr absl::Duration reportRetryDelay = absl::Milliseconds(50);
/// Time for the other connections to a crashed upstream to be closed.
constexpr absl::Duration crashCheckDelay = absl::Milliseconds(20);
/// Number of crashes that are kept while the leader cannot be reached; further ones are dropped.
constexpr std::size_t maxPendingCrashes = 256;
/// Number and age of the crashes that are repeated to the next leader.
constexpr std::size_t maxReceivedCrashes = 256;
constexpr absl::Duration receivedCrashLifetime = absl::Minutes(10);
/// Number of traits of reported crashes whose next response is reported even if the leader does not
/// name them as suspects.
constexpr std::size_t maxOwnSuspects = 1024;
/// Minimum time between two reports of requests that the same block rejected.
constexpr absl::Duration rejectionReportPeriod = absl::Seconds(1);
/// Period of the reports on trials that this process owns. The leader ends a trial after a few
/// missed ones, see policy::CrashTrackerSettings.
constexpr absl::Duration trialReportPeriod = absl::Seconds(1);
/// Time after which a trial that no request needs is returned. The caller of a rejected request may
/// send it to another process.
constexpr absl::Duration unneededTrialTime = absl::Seconds(4);
constexpr std::size_t processIdBytes = 8;
/// Distinguishes fingerprints from the ids of prompt parts.
constexpr const char *fingerprintPrefix = "request-";

} // namespace

std::vector<std::string> CrashTraits::all() const
{
    std::vector<std::string> traits = promptParts;
    traits.push_back(fingerprint);
    return traits;
}

std::vector<std::string> CrashTraits::suspects(bool hasBegun) const
{
    return hasBegun ? std::vector<std::string>{fingerprint} : all();
}

CrashTraits crashTraits(const std::string &workspace, const net::Request &request,
                        const std::vector<std::string> &sharedPromptParts)
{
    const std::string resource =
            concat(request.method, " ", request.headers.value("Host"), request.target);
    return {sharedPromptParts,
            concat(fingerprintPrefix, requestFingerprint(workspace, resource, request.body))};
}

CrashGuard::CrashGuard(TimerService &timers, const Clock &clock, std::string instance,
                       Reporter reporter)
    : m_timers(timers)
    , m_clock(clock)
    , m_instance(std::move(instance))
    , m_process(randomHex(processIdBytes))
    , m_reporter(std::move(reporter))
{}

CrashGuard::~CrashGuard()
{
    for (const TimerService::TimerId timer : {m_retryTimer, m_trialTimer}) {
        if (timer != 0)
            m_timers.unsubscribe(timer);
    }
}

void CrashGuard::setBlocks(std::uint64_t term, const std::vector<wire::BlockedPrompt> &blocks,
                           const std::vector<std::string> &suspects)
{
    const std::vector<Block> formerBlocks = std::exchange(m_blocks, {});
    for (const wire::BlockedPrompt &prompt : blocks) {
        Block block;
        block.traits = std::set<std::string>(prompt.parts.begin(), prompt.parts.end());
        block.trialsLeft = prompt.trialsLeft;
        block.isTrialOwner = prompt.trialProcess == m_process;
        block.isTrialOpen = block.isTrialOwner;
        block.trialNumber = prompt.trialNumber;
        block.trialNeededAt = m_clock.now();
        for (const Block &former : formerBlocks) {
            if (former.traits != block.traits)
                continue;
            block.rejectionReportedAt = former.rejectionReportedAt;
            keepTrial(block, former);
        }
        m_blocks.push_back(std::move(block));
    }
    m_suspects = std::set<std::string>(suspects.begin(), suspects.end());
    scheduleTrialReport();
    if (std::exchange(m_term, term) != term)
        repeatReceivedCrashes();
}

/// A trial that was used or returned stays so while the leader has not received the report, and
/// when an outdated list names it again. A leader of an older version sends no trial numbers, but
/// lowers trialsLeft with each trial.
void CrashGuard::keepTrial(Block &block, const Block &former) const
{
    const bool isNextTrial = block.trialNumber == 0 ? block.trialsLeft != former.trialsLeft
                                                    : block.trialNumber > former.trialNumber;
    if (isNextTrial)
        return;
    block.isTrialOpen = block.isTrialOwner && former.isTrialOpen;
    block.isTrialSent = former.isTrialSent;
    block.trialNeededAt = former.trialNeededAt;
}

bool CrashGuard::ownsTrials() const
{
    return std::any_of(m_blocks.begin(), m_blocks.end(),
                       [](const Block &block) { return block.isTrialOwner; });
}

void CrashGuard::scheduleTrialReport()
{
    if (m_trialTimer != 0 || !ownsTrials())
        return;
    m_trialTimer = m_timers.subscribeOnce(trialReportPeriod, [this] {
        m_trialTimer = 0;
        reportTrials();
    });
}

/// Reports the trials of this process and returns those that were not sent and that no request
/// needs.
void CrashGuard::reportTrials()
{
    const absl::Time now = m_clock.now();
    for (Block &block : m_blocks) {
        const bool isUnneeded = block.isTrialOpen && !block.isTrialSent
                                && now - block.trialNeededAt >= unneededTrialTime;
        if (!isUnneeded)
            continue;
        block.isTrialOpen = false;
        log(LogLevel::Info, "crash-block-trial-returned",
            {{"traits", absl::StrJoin(block.traits, ",")}, {"trialNumber", block.trialNumber}});
    }
    m_mustReportTrials = ownsTrials();
    report();
    scheduleTrialReport();
}

void CrashGuard::repeatReceivedCrashes()
{
    const absl::Time oldest = m_clock.now() - receivedCrashLifetime;
    for (Crash &crash : std::exchange(m_receivedCrashes, {})) {
        if (crash.crashedAt >= oldest && m_crashes.size() < maxPendingCrashes)
            m_crashes.push_back(std::move(crash));
    }
    report();
}

bool CrashGuard::applies(const Block &block, const std::set<std::string> &traits) const
{
    return !block.traits.empty()
           && std::includes(traits.begin(), traits.end(), block.traits.begin(), block.traits.end());
}

bool CrashGuard::isBlocked(const std::vector<std::string> &traits, policy::TaskKind kind)
{
    if (m_blocks.empty())
        return false;
    const std::set<std::string> sorted(traits.begin(), traits.end());
    bool isRejected = false;
    for (Block &block : m_blocks) {
        if (!applies(block, sorted))
            continue;
        if (block.isTrialOpen) {
            block.trialNeededAt = m_clock.now();
            continue;
        }
        isRejected = true;
        addRejection(block, kind);
    }
    if (isRejected)
        report();
    return isRejected;
}

/// The leader may answer the report of a rejection with a trial.
void CrashGuard::addRejection(Block &block, policy::TaskKind kind)
{
    const absl::Time now = m_clock.now();
    const bool mayGetTrial = kind == policy::TaskKind::Batch || block.trialsLeft > 0;
    if (!mayGetTrial || now - block.rejectionReportedAt < rejectionReportPeriod)
        return;
    block.rejectionReportedAt = now;
    m_rejected.push_back({block.traits, kind});
}

void CrashGuard::recordSent(const std::vector<std::string> &traits)
{
    if (m_blocks.empty())
        return;
    const std::set<std::string> sorted(traits.begin(), traits.end());
    for (Block &block : m_blocks) {
        if (!applies(block, sorted))
            continue;
        block.isTrialOpen = false;
        block.isTrialSent = block.isTrialSent || block.isTrialOwner;
        log(LogLevel::Info, "crash-block-trial",
            {{"traits", absl::StrJoin(block.traits, ",")}, {"trialsLeft", block.trialsLeft}});
    }
}

void CrashGuard::recordCancelled(const std::vector<std::string> &traits)
{
    if (m_blocks.empty())
        return;
    const std::set<std::string> sorted(traits.begin(), traits.end());
    for (Block &block : m_blocks) {
        if (applies(block, sorted) && block.isTrialOwner && block.isTrialSent)
            block.isTrialOpen = true;
    }
}

void CrashGuard::recordBroken(const UpstreamCaller &upstreams, const BrokenAttempt &attempt)
{
    const absl::Time crashedAt = m_clock.now();
    const auto check = [this, alive = std::weak_ptr<bool>(m_alive), &upstreams, attempt,
                        crashedAt] {
        if (alive.expired())
            return;
        const bool hasOpenConnections = upstreams.hasOpenConnections(attempt.address);
        const bool canReceive = upstreams.canReceive();
        log(LogLevel::Info, "upstream-crash-seen",
            {{"requestId", attempt.requestId},
             {"upstream", attempt.upstream},
             {"traits", absl::StrJoin(attempt.traits, ",")},
             {"hasOpenConnections", hasOpenConnections},
             {"canReceive", canReceive}});
        if (!hasOpenConnections && canReceive)
            recordCrash(attempt.upstream, attempt.traits, attempt.sentAt, crashedAt);
    };
    m_timers.subscribeOnce(crashCheckDelay, check);
}

void CrashGuard::recordCrash(const std::string &upstream, const std::vector<std::string> &traits,
                             absl::Time sentAt, absl::Time crashedAt)
{
    if (m_crashes.size() < maxPendingCrashes)
        m_crashes.push_back({upstream, traits, sentAt, crashedAt});
    if (m_ownSuspects.size() + traits.size() <= maxOwnSuspects)
        m_ownSuspects.insert(traits.begin(), traits.end());
    report();
}

void CrashGuard::recordSound(const std::vector<std::string> &traits)
{
    bool isEvidence = false;
    for (const std::string &trait : traits) {
        const bool isOwnSuspect = m_ownSuspects.erase(trait) > 0;
        if (!isOwnSuspect && m_suspects.count(trait) == 0)
            continue;
        m_sound[trait] = m_clock.now();
        isEvidence = true;
        // A new leader, which does not know of this response, must not count the crashes before.
        for (Crash &crash : m_receivedCrashes)
            crash.traits.erase(std::remove(crash.traits.begin(), crash.traits.end(), trait),
                               crash.traits.end());
    }
    if (isEvidence)
        report();
}

wire::CrashEvidence CrashGuard::makeEvidence() const
{
    const absl::Time now = m_clock.now();
    wire::CrashEvidence evidence;
    evidence.instance = m_instance;
    evidence.process = m_process;
    for (const Crash &crash : m_crashes)
        evidence.crashes.push_back({crash.upstream, crash.traits,
                                    absl::ToInt64Milliseconds(now - crash.sentAt),
                                    absl::ToInt64Milliseconds(now - crash.crashedAt)});
    for (const auto &[trait, ranAt] : m_sound)
        evidence.begun.push_back({trait, absl::ToInt64Milliseconds(now - ranAt)});
    for (const Rejection &rejection : m_rejected) {
        wire::BlockedPrompt rejected;
        rejected.parts.assign(rejection.traits.begin(), rejection.traits.end());
        rejected.isForItem = rejection.kind == policy::TaskKind::Batch;
        evidence.rejected.push_back(std::move(rejected));
    }
    if (!m_mustReportTrials)
        return evidence;
    for (const Block &block : m_blocks) {
        if (block.isTrialOwner)
            evidence.trials.push_back(
                    {std::vector<std::string>(block.traits.begin(), block.traits.end()),
                     block.trialNumber, block.isTrialSent,
                     !block.isTrialSent && !block.isTrialOpen});
    }
    return evidence;
}

/// Sends all evidence that the leader has not received, one report at a time. Rejections are not
/// repeated: a further one follows as long as requests come.
void CrashGuard::report()
{
    const bool isEmpty =
            m_crashes.empty() && m_sound.empty() && m_rejected.empty() && !m_mustReportTrials;
    if (m_isReporting || m_retryTimer != 0 || isEmpty)
        return;
    m_isReporting = true;
    const wire::CrashEvidence evidence = makeEvidence();
    m_rejected.clear();
    m_mustReportTrials = false;
    m_reporter(evidence, [this, alive = std::weak_ptr<bool>(m_alive), crashes = m_crashes.size(),
                          sound = m_sound](bool isReceived) {
        if (!alive.expired())
            handleReported(crashes, sound, isReceived);
    });
}

/// Drops the evidence that the leader has received. The leader counts a crash once even if it is
/// reported again, so a lost response does no harm.
void CrashGuard::handleReported(std::size_t crashes, const std::map<std::string, absl::Time> &sound,
                                bool isReceived)
{
    m_isReporting = false;
    if (!isReceived) {
        m_mustReportTrials = ownsTrials();
        m_retryTimer = m_timers.subscribeOnce(reportRetryDelay, [this] {
            m_retryTimer = 0;
            report();
        });
        return;
    }
    keepReceivedCrashes(std::min(crashes, m_crashes.size()));
    for (const auto &[trait, ranAt] : sound) {
        const auto found = m_sound.find(trait);
        if (found != m_sound.end() && found->second == ranAt)
            m_sound.erase(found);
    }
    report();
}

void CrashGuard::keepReceivedCrashes(std::size_t count)
{
    for (; count > 0; --count) {
        m_receivedCrashes.push_back(std::move(m_crashes.front()));
        m_crashes.pop_front();
    }
    while (m_receivedCrashes.size() > maxReceivedCrashes)
        m_receivedCrashes.pop_front();
}

} // namespace rattanrill::serving
