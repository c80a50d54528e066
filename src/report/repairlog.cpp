#include "repairlog.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <algorithm>

namespace rattanrill::report {
namespace {

/// Number of the latest events that are kept. The counts include all events.
constexpr std::size_t maxRetainedEvents = 200;

constexpr std::array<EnumName<Repair>, 7> repairNames = {{
        {Repair::Election, "elections"},
        {Repair::ReplicasChanged, "replicas_changed"},
        {Repair::MemberReplaced, "members_replaced"},
        {Repair::LeaseExpired, "leases_expired"},
        {Repair::RequestHeld, "requests_held"},
        {Repair::UpstreamCrashed, "upstreams_crashed"},
        {Repair::ReplicaStopped, "replicas_stopped"},
}};

/// How a log event counts as a repair.
struct EventRule
{
    std::string_view event;
    Repair repair;
    /// Lines with equal values in these fields report the same event, whichever instance logged
    /// it. When empty, each line is a separate event.
    std::vector<std::string> identityFields;
    /// Lines in which this field is empty or missing are ignored. When empty, no line is ignored.
    std::string requiredField;
    /// Field that holds the number of events that the line reports. When empty, each line
    /// reports one event.
    std::string countField;
};

const std::vector<EventRule> &eventRules()
{
    static const std::vector<EventRule> rules = {
            {"leader-changed", Repair::Election, {"group", "term"}, "leader", ""},
            {"raft-role", Repair::Election, {"group", "term"}, "leader", ""},
            {"replicas-changed", Repair::ReplicasChanged, {"group", "voters", "learners"}, "", ""},
            {"member-joined", Repair::MemberReplaced, {"member", "incarnation"}, "", ""},
            {"member-removed", Repair::MemberReplaced, {"member", "incarnation"}, "", ""},
            {"lease-expired", Repair::LeaseExpired, {}, "", "items"},
            {"batch-items-lost", Repair::LeaseExpired, {}, "", "items"},
            {"request-held", Repair::RequestHeld, {"fingerprint"}, "", ""},
            {"upstream-crashed", Repair::UpstreamCrashed, {}, "", ""},
            {"replica-stopped", Repair::ReplicaStopped, {"instance", "group"}, "", ""},
    };
    return rules;
}

std::string textOf(const Json &line, const std::string &key)
{
    const auto member = line.find(key);
    if (member == line.end())
        return {};
    return member->is_string() ? member->get<std::string>() : dumpJson(*member);
}

const EventRule *ruleOf(const std::string &event)
{
    for (const EventRule &rule : eventRules()) {
        if (rule.event == event)
            return &rule;
    }
    return nullptr;
}

std::string identityOf(const EventRule &rule, const Json &line)
{
    std::string identity(name(rule.repair));
    // Two kinds of events report an election, so its identity does not contain the kind: an
    // election that both report counts once.
    if (rule.repair != Repair::Election)
        identity += concat(" ", rule.event);
    for (const std::string &key : rule.identityFields)
        identity += concat(" ", textOf(line, key));
    return identity;
}

std::int64_t countOf(const EventRule &rule, const Json &line)
{
    const auto member = line.find(rule.countField);
    const bool counted =
            !rule.countField.empty() && member != line.end() && member->is_number_integer();
    return counted ? member->get<std::int64_t>() : 1;
}

absl::Time timeOf(const Json &line)
{
    absl::Time time = absl::UnixEpoch();
    std::string error;
    absl::ParseTime(absl::RFC3339_full, textOf(line, "time"), &time, &error);
    return time;
}

std::string detailOf(const Json &line)
{
    static const std::set<std::string> commonFields = {"time",    "level",    "event",
                                                       "program", "instance", "failureDomain"};
    std::string detail = textOf(line, "event");
    for (const auto &[key, value] : line.items()) {
        if (commonFields.count(key) == 0)
            detail += concat(" ", key, "=", textOf(line, key));
    }
    return detail;
}

} // namespace

std::string_view name(Repair repair)
{
    return nameOf(repairNames, repair);
}

void RepairLog::read(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (line.empty())
            continue;
        ++m_lines;
        const Json json = Json::parse(line, nullptr, false);
        if (json.is_object())
            readLine(json);
        else
            ++m_unreadable;
    }
}

void RepairLog::readLine(const Json &line)
{
    const EventRule *rule = ruleOf(textOf(line, "event"));
    if (rule == nullptr)
        return;
    if (!rule->requiredField.empty() && textOf(line, rule->requiredField).empty())
        return;
    if (!rule->identityFields.empty() && !m_seen.insert(identityOf(*rule, line)).second)
        return;
    m_counts[rule->repair] += countOf(*rule, line);
    const absl::Time at = timeOf(line);
    m_events.emplace(at, RepairEvent{at, rule->repair, textOf(line, "instance"), detailOf(line)});
    if (m_events.size() > maxRetainedEvents)
        m_events.erase(m_events.begin());
}

std::vector<RepairEvent> RepairLog::events() const
{
    std::vector<RepairEvent> events;
    events.reserve(m_events.size());
    for (const auto &[at, event] : m_events)
        events.push_back(event);
    return events;
}

} // namespace rattanrill::report
