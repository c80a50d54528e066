#pragma once

#include <string>
#include <vector>

namespace rattanrill::policy {

/// Which engines this entry uses to run suspects. Every engine belongs to one entry, so that
/// suspects of two entries do not meet on an engine and an innocent one is not counted into the
/// crash of another. With more entries than engines, several entries share one.
class SuspectEngines
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
