#include "rattanrill/policy/crashtracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattanrill::policy {
namespace {

bool containsAll(const std::vector<std::string> &traits, const TraitSet &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&traits](const std::string &trait) {
        return std::find(traits.begin(), traits.end(), trait) != traits.end();
    });
}

bool includes(const TraitSet &outer, const TraitSet &inner)
{
    return std::includes(outer.begin(), outer.end(), inner.begin(), inner.end());
}

} // namespace

bool operator==(const CrashBlock &left, const CrashBlock &right)
{
    return left.traits == right.traits && left.trialsLeft == right.trialsLeft
           && left.trialProcess == right.trialProcess && left.trialNumber == right.trialNumber
           && left.isLostTrialReplaced == right.isLostTrialReplaced
           && left.isItemTrial == right.isItemTrial
           && left.crashedItemTrials == right.crashedItemTrials;
}

CrashTracker::CrashTracker(CrashTrackerSettings settings)
    : m_settings(settings)
{}

void CrashTracker::restore(absl::Time now, const std::vector<CrashBlock> &blocks)
{
    m_evidence.clear();
    m_blocks.clear();
    for (const CrashBlock &block : blocks)
        m_blocks.push_back({block, now, now, now + m_settings.firstTrialDelay, now, now});
    m_nextRepeatedTrialAt = now + m_settings.repeatedTrialPeriod;
}

bool CrashTracker::recordCrash(const RequestCrash &crash)
{
    bool isChanged = endTrials(crash);
    std::vector<std::string> conclusive;
    for (const std::string &trait : crash.traits) {
        if (!addCrash(trait, crash))
            continue;
        const Evidence &evidence = m_evidence[trait];
        isChanged = isChanged || evidence.crashes.size() == m_settings.suspectLimit;
        if (isConclusive(evidence))
            conclusive.push_back(trait);
    }
    for (const std::string &trait : conclusive)
        isChanged = addBlock(m_evidence[trait]) || isChanged;
    limitTraits();
    return isChanged;
}

/// Returns false when the attempt overlaps with one that counts already.
bool CrashTracker::addCrash(const std::string &trait, const RequestCrash &crash)
{
    auto &crashes = m_evidence[trait].crashes;
    const auto next = std::find_if(crashes.begin(), crashes.end(), [&crash](const auto &other) {
        return other.crashedAt >= crash.crashedAt;
    });
    if (next != crashes.end() && next->sentAt <= crash.crashedAt)
        return false;
    if (next != crashes.begin() && crash.sentAt <= std::prev(next)->crashedAt)
        return false;
    crashes.insert(next, crash);
    if (crashes.size() > m_settings.crashLimit)
        crashes.pop_front();
    return true;
}

bool CrashTracker::isConclusive(const Evidence &evidence) const
{
    std::set<std::string> upstreams;
    for (const RequestCrash &crash : evidence.crashes)
        upstreams.insert(crash.upstream);
    return evidence.crashes.size() >= m_settings.crashLimit
           && upstreams.size() >= m_settings.minUpstreams;
}

/// Returns the traits that each of the crashed requests had and that have not been cleared since
/// the first of them.
TraitSet CrashTracker::commonTraits(const Evidence &evidence) const
{
    const auto &crashes = evidence.crashes;
    TraitSet common;
    for (const std::string &trait : crashes.front().traits) {
        const bool isCommon =
                std::all_of(crashes.begin(), crashes.end(), [&trait](const RequestCrash &crash) {
                    return std::find(crash.traits.begin(), crash.traits.end(), trait)
                           != crash.traits.end();
                });
        if (isCommon && crashCount(trait) >= crashes.size())
            common.insert(trait);
    }
    return common;
}

/// Returns false when an existing block rejects the same requests. A new block replaces those that
/// reject only a part of its requests, and has no more trials left than they had: the number of
/// trials is bounded for each cause. Its trials are numbered after theirs.
bool CrashTracker::addBlock(const Evidence &evidence)
{
    const absl::Time lastCrashAt = evidence.crashes.back().crashedAt;
    Block added{{commonTraits(evidence), m_settings.maxTrials, {}},
                evidence.crashes.front().crashedAt,
                lastCrashAt,
                lastCrashAt,
                lastCrashAt,
                lastCrashAt};
    CrashBlock &block = added.block;
    const TraitSet &traits = block.traits;
    const bool isCovered =
            std::any_of(m_blocks.begin(), m_blocks.end(), [&traits](const Block &other) {
                return includes(traits, other.block.traits);
            });
    if (isCovered)
        return false;
    for (auto other = m_blocks.begin(); other != m_blocks.end();) {
        const bool isReplaced = includes(other->block.traits, traits);
        if (isReplaced) {
            block.trialsLeft = std::min(block.trialsLeft, other->block.trialsLeft);
            block.trialNumber = std::max(block.trialNumber, other->block.trialNumber);
            block.isLostTrialReplaced |= other->block.isLostTrialReplaced;
            block.crashedItemTrials =
                    std::max(block.crashedItemTrials, other->block.crashedItemTrials);
        }
        other = isReplaced ? m_blocks.erase(other) : std::next(other);
    }
    added.nextTrialAt += trialDelay(block);
    m_blocks.push_back(std::move(added));
    if (m_blocks.size() > m_settings.maxBlocks)
        m_blocks.pop_front();
    return true;
}

void CrashTracker::limitTraits()
{
    while (m_evidence.size() > m_settings.maxTraits) {
        const auto oldest = std::min_element(m_evidence.begin(), m_evidence.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.crashes.back().crashedAt
                                                        < right.second.crashes.back().crashedAt;
                                             });
        m_evidence.erase(oldest);
    }
}

bool CrashTracker::recordSound(const std::string &trait, absl::Time ranAt)
{
    const std::vector<std::string> formerSuspects = suspects();
    const std::vector<CrashBlock> formerBlocks = blocks();
    const auto found = m_evidence.find(trait);
    if (found != m_evidence.end()) {
        auto &crashes = found->second.crashes;
        while (!crashes.empty() && crashes.front().crashedAt < ranAt)
            crashes.pop_front();
        if (crashes.empty())
            m_evidence.erase(found);
    }
    removeFromBlocks(trait, ranAt);
    return formerSuspects != suspects() || formerBlocks != blocks();
}

void CrashTracker::removeFromBlocks(const std::string &trait, absl::Time ranAt)
{
    for (auto block = m_blocks.begin(); block != m_blocks.end();) {
        TraitSet &traits = block->block.traits;
        if (block->firstCrashAt < ranAt)
            traits.erase(trait);
        block = traits.empty() ? m_blocks.erase(block) : std::next(block);
    }
}

/// Time between the creation of the block, or the end of its last trial, and the next trial.
absl::Duration CrashTracker::trialDelay(const CrashBlock &block) const
{
    absl::Duration delay = m_settings.firstTrialDelay;
    for (int used = usedTrials(block); used > 0 && delay < m_settings.maxTrialDelay; --used)
        delay *= m_settings.trialDelayFactor;
    return std::min(delay, m_settings.maxTrialDelay);
}

int CrashTracker::usedTrials(const CrashBlock &block) const
{
    return m_settings.maxTrials - block.trialsLeft + block.crashedItemTrials;
}

bool CrashTracker::isRepeated(const CrashBlock &block) const
{
    return block.crashedItemTrials >= m_settings.maxTrials;
}

bool CrashTracker::isTurnOf(absl::Time now, const Block &block) const
{
    return std::none_of(m_blocks.begin(), m_blocks.end(), [&](const Block &other) {
        const bool isWaiting = isRepeated(other.block) && other.block.trialProcess.empty()
                               && other.itemRejectedAt + m_settings.rejectionLifetime >= now;
        return isWaiting && other.nextTrialAt < block.nextTrialAt;
    });
}

bool CrashTracker::mayBeginTrial(absl::Time now, const Block &block, TaskKind kind) const
{
    if (!block.block.trialProcess.empty() || now < block.nextTrialAt)
        return false;
    if (kind == TaskKind::Online)
        return block.block.trialsLeft > 0;
    return !isRepeated(block.block) || (now >= m_nextRepeatedTrialAt && isTurnOf(now, block));
}

bool CrashTracker::recordRejected(absl::Time now, const TraitSet &traits,
                                  const std::string &process, TaskKind kind)
{
    const auto found =
            std::find_if(m_blocks.begin(), m_blocks.end(), [&traits](const Block &candidate) {
                return candidate.block.traits == traits;
            });
    if (found == m_blocks.end())
        return false;
    CrashBlock &block = found->block;
    if (kind == TaskKind::Batch)
        found->itemRejectedAt = now;
    if (!mayBeginTrial(now, *found, kind))
        return false;
    block.isItemTrial = kind == TaskKind::Batch;
    if (!block.isItemTrial)
        --block.trialsLeft;
    else if (isRepeated(block))
        m_nextRepeatedTrialAt = now + m_settings.repeatedTrialPeriod;
    ++block.trialNumber;
    block.trialProcess = process;
    found->trialStartedAt = now;
    found->ownerHeardAt = now;
    return true;
}

bool CrashTracker::recordTrial(absl::Time now, const TraitSet &traits, const std::string &process,
                               int number, TrialState state)
{
    const auto found = std::find_if(m_blocks.begin(), m_blocks.end(), [&](const Block &candidate) {
        const CrashBlock &block = candidate.block;
        return block.traits == traits && block.trialProcess == process
               && block.trialNumber == number;
    });
    if (found == m_blocks.end() || process.empty())
        return false;
    found->ownerHeardAt = now;
    if (state == TrialState::Sent && !found->trialSentAt)
        found->trialSentAt = now;
    if (state != TrialState::Returned)
        return false;
    if (!found->block.isItemTrial)
        ++found->block.trialsLeft;
    endTrial(*found, now);
    return true;
}

void CrashTracker::endTrial(Block &block, absl::Time nextTrialAt)
{
    block.block.trialProcess.clear();
    block.block.isItemTrial = false;
    block.trialSentAt.reset();
    block.nextTrialAt = nextTrialAt;
}

/// The number of trials of online requests stays bounded although nothing is known of those that
/// were lost, because only one of them is replaced.
void CrashTracker::endLostTrial(Block &block) const
{
    if (!block.block.isItemTrial && !std::exchange(block.block.isLostTrialReplaced, true))
        ++block.block.trialsLeft;
    endTrial(block, block.ownerHeardAt + m_settings.firstTrialDelay);
}

/// A batch item that has run for so long without a crash may have been preempted and then waits
/// again, so the delay does not grow.
void CrashTracker::endTrialWithoutResult(Block &block, absl::Time now) const
{
    const absl::Duration delay =
            block.block.isItemTrial ? m_settings.firstTrialDelay : trialDelay(block.block);
    endTrial(block, now + delay);
}

/// Ends the trials of blocks whose traits the crashed request has.
bool CrashTracker::endTrials(const RequestCrash &crash)
{
    bool isChanged = false;
    for (Block &candidate : m_blocks) {
        CrashBlock &block = candidate.block;
        const bool isTrial = !block.trialProcess.empty()
                             && crash.crashedAt > candidate.trialStartedAt
                             && containsAll(crash.traits, block.traits);
        if (!isTrial)
            continue;
        if (block.isItemTrial)
            ++block.crashedItemTrials;
        endTrial(candidate, crash.crashedAt + trialDelay(block));
        isChanged = true;
    }
    return isChanged;
}

bool CrashTracker::expire(absl::Time now)
{
    const std::vector<std::string> formerSuspects = suspects();
    const std::vector<CrashBlock> formerBlocks = blocks();
    for (auto entry = m_evidence.begin(); entry != m_evidence.end();) {
        const absl::Time last = entry->second.crashes.back().crashedAt;
        const bool isExpired = last + m_settings.evidenceLifetime < now;
        entry = isExpired ? m_evidence.erase(entry) : std::next(entry);
    }
    while (!m_blocks.empty() && m_blocks.front().createdAt + m_settings.blockTime < now)
        m_blocks.pop_front();
    for (Block &block : m_blocks) {
        if (block.block.trialProcess.empty())
            continue;
        if (now - block.ownerHeardAt >= m_settings.trialOwnerTimeout)
            endLostTrial(block);
        else if (block.trialSentAt && now - *block.trialSentAt >= m_settings.trialTimeout)
            endTrialWithoutResult(block, now);
    }
    return formerSuspects != suspects() || formerBlocks != blocks();
}

std::vector<CrashBlock> CrashTracker::blocks() const
{
    std::vector<CrashBlock> result;
    result.reserve(m_blocks.size());
    for (const Block &block : m_blocks)
        result.push_back(block.block);
    return result;
}

std::vector<std::string> CrashTracker::suspects() const
{
    TraitSet traits;
    for (const auto &[trait, evidence] : m_evidence) {
        if (evidence.crashes.size() >= m_settings.suspectLimit)
            traits.insert(trait);
    }
    for (const Block &block : m_blocks)
        traits.insert(block.block.traits.begin(), block.block.traits.end());
    return std::vector<std::string>(traits.begin(), traits.end());
}

std::size_t CrashTracker::crashCount(const std::string &trait) const
{
    const auto found = m_evidence.find(trait);
    return found == m_evidence.end() ? 0 : found->second.crashes.size();
}

} // namespace rattanrill::policy
