#include "crashquarantine.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include "absl/strings/str_join.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {
namespace {

policy::CrashBlock toBlock(const wire::BlockedPrompt &prompt)
{
    return {policy::TraitSet(prompt.parts.begin(), prompt.parts.end()),
            static_cast<int>(prompt.trialsLeft),
            prompt.trialProcess,
            static_cast<int>(prompt.trialNumber),
            prompt.isLostTrialReplaced,
            prompt.isForItem,
            static_cast<int>(prompt.crashedItemTrials)};
}

std::vector<policy::CrashBlock> toBlocks(const std::vector<wire::BlockedPrompt> &prompts)
{
    std::vector<policy::CrashBlock> blocks;
    blocks.reserve(prompts.size());
    for (const wire::BlockedPrompt &prompt : prompts)
        blocks.push_back(toBlock(prompt));
    return blocks;
}

policy::TrialState stateOf(const wire::TrialReport &report)
{
    if (report.isReturned)
        return policy::TrialState::Returned;
    return report.isSent ? policy::TrialState::Sent : policy::TrialState::Waiting;
}

std::vector<wire::BlockedPrompt> toPrompts(const std::vector<policy::CrashBlock> &blocks)
{
    std::vector<wire::BlockedPrompt> prompts;
    prompts.reserve(blocks.size());
    for (const policy::CrashBlock &block : blocks)
        prompts.push_back({std::vector<std::string>(block.traits.begin(), block.traits.end()),
                           block.trialsLeft, block.trialProcess, block.trialNumber,
                           block.isLostTrialReplaced, block.isItemTrial, block.crashedItemTrials});
    return prompts;
}

} // namespace

CrashQuarantine::CrashQuarantine(GroupReplica &replica, FleetView &view, const Clock &clock)
    : m_replica(replica)
    , m_view(view)
    , m_clock(clock)
    , m_tracker(policy::CrashTrackerSettings())
{}

void CrashQuarantine::beginTerm()
{
    m_isProposing = false;
    m_tracker.restore(m_clock.now(), toBlocks(m_view.records().blockedPrompts));
    publish();
}

void CrashQuarantine::addEvidence(const wire::CrashEvidence &evidence)
{
    const absl::Time now = m_clock.now();
    for (const wire::CrashedAttempt &attempt : evidence.crashes) {
        policy::RequestCrash crash;
        crash.upstream = attempt.upstream;
        crash.traits = attempt.promptParts;
        crash.sentAt = now - absl::Milliseconds(attempt.sentAgeMs);
        crash.crashedAt = now - absl::Milliseconds(attempt.crashAgeMs);
        m_tracker.recordCrash(crash);
        logCrash(evidence.instance, attempt);
    }
    // After the crashes, because a report that was delayed may have crashes from before a response
    // that cleared their traits.
    for (const wire::BegunPart &begun : evidence.begun)
        m_tracker.recordSound(begun.part, now - absl::Milliseconds(begun.ageMs));
    for (const wire::TrialReport &trial : evidence.trials)
        m_tracker.recordTrial(now, policy::TraitSet(trial.parts.begin(), trial.parts.end()),
                              evidence.process, static_cast<int>(trial.trialNumber),
                              stateOf(trial));
    for (const wire::BlockedPrompt &block : evidence.rejected)
        addRejection(evidence, block);
    publish();
}

void CrashQuarantine::addRejection(const wire::CrashEvidence &evidence,
                                   const wire::BlockedPrompt &rejected)
{
    const policy::TraitSet traits(rejected.parts.begin(), rejected.parts.end());
    const auto kind = rejected.isForItem ? policy::TaskKind::Batch : policy::TaskKind::Online;
    if (m_tracker.recordRejected(m_clock.now(), traits, evidence.process, kind))
        log(LogLevel::Info, "crash-block-trial-granted",
            {{"traits", absl::StrJoin(traits, ",")},
             {"kind", policy::name(kind)},
             {"instance", evidence.instance}});
}

void CrashQuarantine::update()
{
    m_tracker.expire(m_clock.now());
    publish();
}

void CrashQuarantine::publish()
{
    m_view.setSuspectPromptParts(m_tracker.suspects());
    if (!m_isProposing && m_tracker.blocks() != toBlocks(m_view.records().blockedPrompts))
        propose();
}

void CrashQuarantine::propose()
{
    m_isProposing = true;
    const wire::PutBlockedPrompts operation{toPrompts(m_tracker.blocks())};
    const std::vector<policy::CrashBlock> recorded = toBlocks(m_view.records().blockedPrompts);
    for (const wire::BlockedPrompt &prompt : operation.prompts) {
        const policy::CrashBlock block = toBlock(prompt);
        if (std::find(recorded.begin(), recorded.end(), block) != recorded.end())
            continue;
        log(LogLevel::Warning, "prompt-blocked",
            {{"traits", absl::StrJoin(prompt.parts, ",")},
             {"trialsLeft", prompt.trialsLeft},
             {"trialNumber", prompt.trialNumber},
             {"crashedItemTrials", prompt.crashedItemTrials},
             {"hasOpenTrial", !prompt.trialProcess.empty()},
             {"term", m_view.term()}});
    }
    if (operation.prompts.empty())
        log(LogLevel::Info, "prompts-unblocked", {{"term", m_view.term()}});
    m_replica.propose(
            wire::encode(wire::FleetCommand{operation}),
            [self = shared_from_this(), term = m_view.term()](const Outcome<std::string> &outcome) {
                if (term != self->m_view.term())
                    return;
                self->m_isProposing = false;
                if (!outcome.ok())
                    log(LogLevel::Warning, "prompt-block-not-recorded",
                        {{"code", name(outcome.failure().code)},
                         {"detail", outcome.failure().detail}});
            });
}

void CrashQuarantine::logCrash(const std::string &instance,
                               const wire::CrashedAttempt &attempt) const
{
    std::size_t crashes = 0;
    for (const std::string &part : attempt.promptParts)
        crashes = std::max(crashes, m_tracker.crashCount(part));
    log(LogLevel::Info, "upstream-crash-reported",
        {{"upstream", attempt.upstream},
         {"reporter", instance},
         {"traits", absl::StrJoin(attempt.promptParts, ",")},
         {"crashes", static_cast<std::int64_t>(crashes)},
         {"crashAgeMs", attempt.crashAgeMs}});
}

} // namespace rattanrill::fleet
