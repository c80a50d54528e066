#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::report {

enum class Repair {
    Election,
    ReplicasChanged,
    MemberReplaced,
    LeaseExpired,
    RequestQuarantined,
    UpstreamCrashed,
    ReplicaStopped,
};

std::string_view name(Repair repair);

struct RepairEvent
{
    absl::Time at;
    Repair repair = Repair::Election;
    std::string instance;
    /// The fields of the log line that tell what it was about.
    std::string detail;
};

/// What the fleet did to repair itself, from the JSON log lines of its processes. An event that
/// several instances log, such as an election, counts once.
class RepairLog
{
public:
    /// Takes the lines of one file. Lines that are not JSON objects are counted and skipped.
    void read(std::string_view text);

    const std::map<Repair, std::int64_t> &counts() const { return m_counts; }
    /// The newest events, oldest first.
    std::vector<RepairEvent> events() const;
    std::int64_t lines() const { return m_lines; }
    std::int64_t unreadableLines() const { return m_unreadable; }

private:
    void readLine(const Json &line);

    std::map<Repair, std::int64_t> m_counts;
    std::set<std::string> m_seen;
    std::multimap<absl::Time, RepairEvent> m_events;
    std::int64_t m_lines = 0;
    std::int64_t m_unreadable = 0;
};

} // namespace rattanrill::report
