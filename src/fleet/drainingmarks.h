#pragma once

#include "absl/time/time.h"

#include <map>
#include <set>
#include <string>

namespace rattanrill::fleet {

/// Remembers for a short time which upstreams the platform's list showed as draining. An older mark
/// says nothing: the upstream may have been restarted under its id.
class DrainingMarks
{
public:
    /// Records that \a upstreams, by id, were draining at \a now.
    void record(const std::set<std::string> &upstreams, absl::Time now);
    /// Returns and removes all marks, without those that are too old.
    std::set<std::string> take(absl::Time now);

private:
    std::map<std::string, absl::Time> m_marks;
};

} // namespace rattanrill::fleet
