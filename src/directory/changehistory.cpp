#include "changehistory.h"

#include <algorithm>
#include <utility>

namespace rattanrill::directory {

void ChangeHistory::append(wire::RecordChange change)
{
    m_changes.push_back(std::move(change));
    if (m_changes.size() > m_limit) {
        m_droppedUpTo = m_changes.front().revision;
        m_changes.pop_front();
    }
}

std::vector<wire::RecordChange> ChangeHistory::after(std::uint64_t revision) const
{
    const auto first = std::upper_bound(m_changes.begin(), m_changes.end(), revision,
                                        [](std::uint64_t value, const wire::RecordChange &change) {
                                            return value < change.revision;
                                        });
    return std::vector<wire::RecordChange>(first, m_changes.end());
}

} // namespace rattanrill::directory
