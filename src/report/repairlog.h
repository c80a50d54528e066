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
    RequestHeld,
    UpstreamCrashed,
    ReplicaStopped,
};

std::string_view name(Repair repair);

struct RepairEvent
{
    absl::Time at;
    Repair repair = Repair::Election;
    std::string instance;
    /// Event name and the fields that are specific to the event, as "key=value".
    std::string detail;
};

/// Failures and automatic repairs of the fleet, collected from the JSON log lines of its processes.
/// An event that several instances log, such as an election, is counted once.
class RepairLog
{
public:
    /// Adds the lines of one log file. Lines that are not JSON objects are counted and skipped.
    void read(std::string_view text);

    const std::map<Repair, std::int64_t> &counts() const { return m_counts; }
    /// The newest events (at most 200), oldest first.
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
