#include "rattanrill/fleet/viewchanges.h"

namespace rattanrill::fleet {

ViewChanges::ViewChanges(std::size_t maxKeys)
    : m_maxKeys(maxKeys)
{}

void ViewChanges::reset(std::uint64_t sequence)
{
    m_completeSince = sequence;
    m_sequences.clear();
    m_order.clear();
}

void ViewChanges::record(const std::string &key, std::uint64_t sequence)
{
    const auto [found, isNew] = m_sequences.try_emplace(key, sequence);
    if (!isNew) {
        m_order.erase({found->second, key});
        found->second = sequence;
    }
    m_order.emplace(sequence, key);
    if (m_order.size() <= m_maxKeys)
        return;
    const auto oldest = m_order.begin();
    m_completeSince = oldest->first;
    m_sequences.erase(oldest->second);
    m_order.erase(oldest);
}

std::vector<std::string> ViewChanges::keysSince(std::uint64_t sequence) const
{
    std::vector<std::string> keys;
    for (auto entry = m_order.lower_bound({sequence + 1, ""}); entry != m_order.end(); ++entry)
        keys.push_back(entry->second);
    return keys;
}

} // namespace rattanrill::fleet
