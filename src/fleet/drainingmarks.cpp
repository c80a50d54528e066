#include "drainingmarks.h"

#include <utility>

namespace rattanrill::fleet {
namespace {

/// Longer than an election and the first read of a new leader take.
constexpr absl::Duration maxMarkAge = absl::Seconds(10);

} // namespace

void DrainingMarks::record(const std::set<std::string> &upstreams, absl::Time now)
{
    for (const std::string &id : upstreams)
        m_marks[id] = now;
}

std::set<std::string> DrainingMarks::take(absl::Time now)
{
    std::set<std::string> result;
    for (const auto &[id, markedAt] : std::exchange(m_marks, {})) {
        if (now - markedAt <= maxMarkAge)
            result.insert(id);
    }
    return result;
}

} // namespace rattanrill::fleet
