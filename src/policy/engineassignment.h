#pragma once

#include <string>
#include <vector>

namespace rattanrill::policy {

/// Division of a model's engines among the entries, equal at all of them. Online work prefers the
/// entry's own engines. Suspects of different entries run on different ones, so that an innocent
/// one is not counted into the crash of another. With more entries than engines, several entries
/// share one.
class EngineAssignment
{
public:
    void setEntries(const std::string &self, std::vector<std::string> instances);
    /// Engines of this entry among \a engines, which are all engines of a model.
    std::vector<std::string> choose(std::vector<std::string> engines) const;
    /// Engines for suspects, first choice first: one of this entry alone, then those that no entry
    /// has as its first choice, for the time when the first is down, then the rest.
    std::vector<std::string> suspectOrder(std::vector<std::string> engines) const;

private:
    std::vector<std::string> m_instances;
    std::size_t m_self = 0;
};

} // namespace rattanrill::policy
