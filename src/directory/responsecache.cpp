#include "responsecache.h"

#include <utility>

namespace rattanrill::directory {

const ResponseCache::Entry *ResponseCache::find(const std::string &requestId) const
{
    const auto position = m_positions.find(requestId);
    if (position == m_positions.end())
        return nullptr;
    return &m_entries[position->second - m_evictedCount];
}

void ResponseCache::add(Entry entry)
{
    if (m_entries.size() == m_limit) {
        m_positions.erase(m_entries.front().requestId);
        m_entries.pop_front();
        ++m_evictedCount;
    }
    m_positions.emplace(entry.requestId, m_evictedCount + m_entries.size());
    m_entries.push_back(std::move(entry));
}

} // namespace rattanrill::directory
