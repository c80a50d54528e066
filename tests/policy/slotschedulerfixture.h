#pragma once

#include "rattanrill/policy/slotscheduler.h"

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace rattanrill::policy {

inline const absl::Time start = absl::FromUnixSeconds(1000);

inline SlotUpstream upstream(const std::string &id, std::int64_t slots)
{
    return {id, "llm", id + ":1", "d", slots, false};
}

inline SlotUpstream upstreamOfVersion(const std::string &id, std::int64_t slots,
                                      const std::string &version)
{
    SlotUpstream result = upstream(id, slots);
    result.version = version;
    return result;
}

inline SlotTask online(const std::string &id, absl::Time deadline,
                       const std::string &workspace = "w")
{
    SlotTask task;
    task.id = id;
    task.service = "llm";
    task.workspace = workspace;
    task.deadline = deadline;
    return task;
}

inline SlotTask batch(const std::string &id, const std::string &workspace = "w")
{
    SlotTask task = online(id, absl::InfiniteFuture(), workspace);
    task.kind = TaskKind::Batch;
    return task;
}

/// Decisions of one call, by task.
struct SlotDecisions
{
    explicit SlotDecisions(const std::vector<SlotDecision> &decisions)
    {
        for (const SlotDecision &decision : decisions) {
            if (const auto *grant = std::get_if<GrantSlot>(&decision))
                granted[grant->task] = grant->upstream;
            if (const auto *rejection = std::get_if<RejectSlot>(&decision)) {
                rejected[rejection->task] = rejection->retryAfter;
                if (rejection->isVersionGone)
                    withoutVersion.insert(rejection->task);
            }
            if (const auto *preemption = std::get_if<PreemptSlot>(&decision))
                preempted.push_back(preemption->task);
        }
    }

    std::map<std::string, std::string> granted;
    std::map<std::string, absl::Duration> rejected;
    /// Rejected tasks whose version is gone.
    std::set<std::string> withoutVersion;
    std::vector<std::string> preempted;
};

struct SlotSchedulerFixture
{
    SlotDecisions decide(absl::Time now = start) { return SlotDecisions(scheduler.decide(now)); }

    SlotScheduler scheduler{SlotSchedulerSettings()};
};

} // namespace rattanrill::policy
