#include "incarnationlog.h"

#include <algorithm>

namespace rattanrill::directory {

bool IncarnationLog::isReplaced(const std::string &instance, const std::string &incarnation) const
{
    const auto ofInstance = [&](const Entry &entry) { return entry.instance == instance; };
    const auto newest = std::find_if(m_entries.rbegin(), m_entries.rend(), ofInstance);
    if (newest == m_entries.rend() || newest->incarnation == incarnation)
        return false;
    const auto same = [&](const Entry &entry) {
        return entry.instance == instance && entry.incarnation == incarnation;
    };
    return std::any_of(m_entries.begin(), m_entries.end(), same);
}

void IncarnationLog::add(const std::string &instance, const std::string &incarnation)
{
    const auto same = [&](const Entry &entry) {
        return entry.instance == instance && entry.incarnation == incarnation;
    };
    if (std::any_of(m_entries.begin(), m_entries.end(), same))
        return;
    m_entries.push_back({instance, incarnation});
    if (m_entries.size() > m_limit)
        m_entries.pop_front();
}

} // namespace rattanrill::directory
