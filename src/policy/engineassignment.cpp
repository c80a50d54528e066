#include "engineassignment.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

using Iterator = std::vector<std::string>::iterator;

void rotateBy(Iterator begin, Iterator end, std::size_t count)
{
    if (begin != end)
        std::rotate(begin, begin + static_cast<std::ptrdiff_t>(count) % (end - begin), end);
}

} // namespace

void EngineAssignment::setEntries(const std::string &self, std::vector<std::string> instances)
{
    std::sort(instances.begin(), instances.end());
    const auto found = std::find(instances.begin(), instances.end(), self);
    m_self = found == instances.end() ? 0 : static_cast<std::size_t>(found - instances.begin());
    m_instances = std::move(instances);
}

std::vector<std::string> EngineAssignment::preferredEngines(std::vector<std::string> engines) const
{
    std::sort(engines.begin(), engines.end());
    if (m_instances.size() <= 1)
        return engines;
    if (engines.empty())
        return {};
    if (engines.size() < m_instances.size())
        return {engines[m_self % engines.size()]};
    std::vector<std::string> preferred;
    for (std::size_t i = m_self; i < engines.size(); i += m_instances.size())
        preferred.push_back(engines[i]);
    return preferred;
}

std::vector<std::string> EngineAssignment::suspectOrder(std::vector<std::string> engines) const
{
    std::sort(engines.begin(), engines.end());
    const std::size_t entries = std::max<std::size_t>(m_instances.size(), 1);
    const std::size_t firstChoiceCount = std::min(entries, engines.size());
    const auto sparesBegin = engines.begin() + static_cast<std::ptrdiff_t>(firstChoiceCount);
    rotateBy(engines.begin(), sparesBegin, m_self);
    rotateBy(sparesBegin, engines.end(), m_self);
    if (firstChoiceCount > 1)
        std::rotate(engines.begin() + 1, sparesBegin, engines.end());
    return engines;
}

} // namespace rattanrill::policy
