#pragma once

#include <string>
#include <vector>

namespace rattanrill::policy {

/// Division of a model's engines among the entries. All entries compute the same division. An entry
/// prefers its own engines for online tasks. Suspects of different entries run on different
/// engines, so that a crash caused by the suspect of another entry does not count against a
/// request. With more entries than engines, several entries share an engine.
class EngineAssignment
{
public:
    void setEntries(const std::string &self, std::vector<std::string> instances);
    /// Returns the engines that this entry prefers. \a engines are all engines of a model.
    std::vector<std::string> preferredEngines(std::vector<std::string> engines) const;
    /// Returns \a engines in the order in which this entry uses them for suspects: the entry's
    /// first choice, which differs between entries; then the engines that are no entry's first
    /// choice, which are used while the first choice is down; then the others.
    std::vector<std::string> suspectOrder(std::vector<std::string> engines) const;

private:
    std::vector<std::string> m_instances;
    std::size_t m_self = 0;
};

} // namespace rattanrill::policy
