#pragma once

#include <string>
#include <vector>

namespace rattanrill::policy {

/// Division of a model's engines among the entries, equal at all of them. Suspects run only on the
/// entry's own engines, so that suspects of two entries do not meet on an engine and an innocent
/// one is not counted into the crash of another. Online work prefers them. With more entries than
/// engines, several entries share one.
class EngineAssignment
{
public:
    void setEntries(const std::string &self, std::vector<std::string> instances);
    /// Engines of this entry among \a engines, which are all engines of a model.
    std::vector<std::string> choose(std::vector<std::string> engines) const;

private:
    std::vector<std::string> m_instances;
    std::size_t m_self = 0;
};

} // namespace rattanrill::policy
