#include "engineassignment.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

using Position = std::vector<std::string>::iterator;

void rotateBy(Position begin, Position end, std::size_t places)
{
    if (begin != end)
        std::rotate(begin, begin + static_cast<std::ptrdiff_t>(places) % (end - begin), end);
}

} // namespace

void EngineAssignment::setEntries(const std::string &self, std::vector<std::string> instances)
{
    std::sort(instances.begin(), instances.end());
    const auto own = std::find(instances.begin(), instances.end(), self);
    m_self = own == instances.end() ? 0 : static_cast<std::size_t>(own - instances.begin());
    m_instances = std::move(instances);
}

std::vector<std::string> EngineAssignment::choose(std::vector<std::string> engines) const
{
    std::sort(engines.begin(), engines.end());
    if (m_instances.size() <= 1)
        return engines;
    if (engines.empty())
        return {};
    if (engines.size() < m_instances.size())
        return {engines[m_self % engines.size()]};
    std::vector<std::string> own;
    for (std::size_t i = m_self; i < engines.size(); i += m_instances.size())
        own.push_back(engines[i]);
    return own;
}

std::vector<std::string> EngineAssignment::suspectOrder(std::vector<std::string> engines) const
{
    std::sort(engines.begin(), engines.end());
    const std::size_t entries = std::max<std::size_t>(m_instances.size(), 1);
    const std::size_t firsts = std::min(entries, engines.size());
    const auto spares = engines.begin() + static_cast<std::ptrdiff_t>(firsts);
    rotateBy(engines.begin(), spares, m_self);
    rotateBy(spares, engines.end(), m_self);
    if (firsts > 1)
        std::rotate(engines.begin() + 1, spares, engines.end());
    return engines;
}

} // namespace rattanrill::policy
