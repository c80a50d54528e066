#include "rattanrill/policy/crashtracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattanrill::policy {

CrashTracker::CrashTracker(CrashTrackerSettings settings)
    : m_settings(settings)
{}

void CrashTracker::restore(absl::Time now, const std::vector<TraitSet> &blocks)
{
    m_evidence.clear();
    m_blocks.clear();
    for (const TraitSet &parts : blocks)
        m_blocks.push_back({parts, now, now});
}

bool CrashTracker::recordCrash(const RequestCrash &crash)
{
    bool isChanged = false;
    std::vector<std::string> conclusive;
    for (const std::string &part : crash.parts) {
        auto &crashes = m_evidence[part].crashes;
        if (!crashes.empty() && crash.sentAt <= crashes.back().crashedAt)
            continue;
        crashes.push_back(crash);
        if (crashes.size() > m_settings.crashLimit)
            crashes.pop_front();
        isChanged = isChanged || crashes.size() == m_settings.suspectLimit;
        if (isConclusive(m_evidence[part]))
            conclusive.push_back(part);
    }
    for (const std::string &part : conclusive)
        isChanged = addBlock(m_evidence[part]) || isChanged;
    limitParts();
    return isChanged;
}

bool CrashTracker::isConclusive(const Evidence &evidence) const
{
    std::set<std::string> upstreams;
    for (const RequestCrash &crash : evidence.crashes)
        upstreams.insert(crash.upstream);
    return evidence.crashes.size() >= m_settings.crashLimit
           && upstreams.size() >= m_settings.minUpstreams;
}

/// Returns the parts that each of the crashed requests had and that have not been cleared since the
/// first of them.
TraitSet CrashTracker::commonParts(const Evidence &evidence) const
{
    const auto &crashes = evidence.crashes;
    TraitSet common;
    for (const std::string &part : crashes.front().parts) {
        const bool isCommon =
                std::all_of(crashes.begin(), crashes.end(), [&part](const RequestCrash &crash) {
                    return std::find(crash.parts.begin(), crash.parts.end(), part)
                           != crash.parts.end();
                });
        if (isCommon && crashCount(part) >= crashes.size())
            common.insert(part);
    }
    return common;
}

/// Returns false when an existing block rejects the same requests.
bool CrashTracker::addBlock(const Evidence &evidence)
{
    TraitSet parts = commonParts(evidence);
    const auto isCovered = [&parts](const Block &block) {
        return std::includes(parts.begin(), parts.end(), block.parts.begin(), block.parts.end());
    };
    if (std::any_of(m_blocks.begin(), m_blocks.end(), isCovered))
        return false;
    m_blocks.push_back({std::move(parts), evidence.crashes.front().crashedAt,
                        evidence.crashes.back().crashedAt});
    if (m_blocks.size() > m_settings.maxBlocks)
        m_blocks.pop_front();
    return true;
}

void CrashTracker::limitParts()
{
    while (m_evidence.size() > m_settings.maxParts) {
        const auto oldest = std::min_element(m_evidence.begin(), m_evidence.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.crashes.back().crashedAt
                                                        < right.second.crashes.back().crashedAt;
                                             });
        m_evidence.erase(oldest);
    }
}

bool CrashTracker::recordBegun(const std::string &part, absl::Time beganAt)
{
    const std::vector<std::string> formerSuspects = suspects();
    const std::vector<TraitSet> formerBlocks = blocks();
    const auto found = m_evidence.find(part);
    if (found != m_evidence.end()) {
        auto &crashes = found->second.crashes;
        while (!crashes.empty() && crashes.front().crashedAt < beganAt)
            crashes.pop_front();
        if (crashes.empty())
            m_evidence.erase(found);
    }
    removeFromBlocks(part, beganAt);
    return formerSuspects != suspects() || formerBlocks != blocks();
}

void CrashTracker::removeFromBlocks(const std::string &part, absl::Time beganAt)
{
    for (auto block = m_blocks.begin(); block != m_blocks.end();) {
        if (block->firstCrashAt < beganAt)
            block->parts.erase(part);
        block = block->parts.empty() ? m_blocks.erase(block) : std::next(block);
    }
}

bool CrashTracker::expire(absl::Time now)
{
    const std::vector<std::string> formerSuspects = suspects();
    const std::vector<TraitSet> formerBlocks = blocks();
    for (auto entry = m_evidence.begin(); entry != m_evidence.end();) {
        const absl::Time last = entry->second.crashes.back().crashedAt;
        const bool isExpired = last + m_settings.evidenceLifetime < now;
        entry = isExpired ? m_evidence.erase(entry) : std::next(entry);
    }
    while (!m_blocks.empty() && m_blocks.front().createdAt + m_settings.blockTime < now)
        m_blocks.pop_front();
    return formerSuspects != suspects() || formerBlocks != blocks();
}

std::vector<TraitSet> CrashTracker::blocks() const
{
    std::vector<TraitSet> result;
    for (const Block &block : m_blocks)
        result.push_back(block.parts);
    return result;
}

std::vector<std::string> CrashTracker::suspects() const
{
    std::set<std::string> parts;
    for (const auto &[part, evidence] : m_evidence) {
        if (evidence.crashes.size() >= m_settings.suspectLimit)
            parts.insert(part);
    }
    for (const Block &block : m_blocks)
        parts.insert(block.parts.begin(), block.parts.end());
    return std::vector<std::string>(parts.begin(), parts.end());
}

std::size_t CrashTracker::crashCount(const std::string &part) const
{
    const auto found = m_evidence.find(part);
    return found == m_evidence.end() ? 0 : found->second.crashes.size();
}

} // namespace rattanrill::policy
