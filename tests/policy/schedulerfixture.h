#pragma once

#include "rattanrill/policy/scheduler.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// A scheduler with engines of one model whose reports follow its decisions at once.
struct SchedulerFixture
{
    explicit SchedulerFixture(SchedulerSettings settings = {})
        : scheduler(settings, 1)
    {
        scheduler.setEntries("entry", {"entry"});
    }

    void setEngines(int count, std::int64_t maxBatch = 8)
    {
        std::vector<EngineInfo> list;
        for (int i = 0; i < count; ++i) {
            list.push_back({"engine-" + std::to_string(i), "m", "d", false});
            engines[list.back().name].maxBatch = maxBatch;
        }
        scheduler.setEngines(now, list);
        report();
    }

    void report()
    {
        for (const auto &[name, load] : engines)
            scheduler.loadReported(now, name, load);
    }

    Task task(TaskKind kind, const std::string &workspace = "a")
    {
        Task made;
        made.id = nextWork++;
        made.workspace = workspace;
        made.kind = kind;
        made.model = "m";
        made.promptTokens = 10;
        made.maxTokens = 100;
        made.fingerprint = "f" + std::to_string(made.id);
        return made;
    }

    TaskId add(const Task &made)
    {
        scheduler.arrived(now, made);
        return made.id;
    }
    TaskId add(TaskKind kind, const std::string &workspace = "a")
    {
        return add(task(kind, workspace));
    }

    /// Decides and keeps track of what runs where; the next reports show it.
    std::vector<SchedulerDecision> decide()
    {
        std::vector<SchedulerDecision> made = scheduler.decide(now);
        for (const SchedulerDecision &decision : made) {
            if (const auto *start = std::get_if<StartTask>(&decision)) {
                running[start->task] = *start;
                ++engines[start->engine].running;
            }
        }
        return made;
    }

    /// Advances time in small steps with reports and decisions.
    std::vector<SchedulerDecision> advance(absl::Duration time)
    {
        std::vector<SchedulerDecision> all;
        for (const absl::Time end = now + time; now < end;) {
            now += absl::Milliseconds(20);
            report();
            for (const SchedulerDecision &decision : decide())
                all.push_back(decision);
        }
        return all;
    }

    void firstToken(TaskId id) { scheduler.firstToken(now, id, running.at(id).attempt); }

    void finish(TaskId id, std::int64_t tokens = 100)
    {
        const StartTask run = take(id);
        scheduler.finished(now, id, run.attempt, tokens);
    }

    void fail(TaskId id, AttemptFailure::Kind kind, std::int64_t delivered = 0)
    {
        const StartTask run = take(id);
        AttemptFailure failure;
        failure.kind = kind;
        failure.deliveredTokens = delivered;
        const bool ran = kind != AttemptFailure::Kind::Refused;
        failure.failure = ran ? mayHaveRun(ErrorCode::UpstreamFailed, "connection lost")
                              : notRun(ErrorCode::UpstreamUnavailable, "no connection");
        scheduler.failed(now, id, run.attempt, failure);
    }

    void carryOut(const PreemptTask &preempt, std::int64_t delivered)
    {
        take(preempt.task);
        const bool exported = preempt.method == PreemptMethod::ExportKv;
        scheduler.preempted(now, preempt.task, preempt.attempt, delivered, exported ? "kv" : "");
    }

    template <typename Kind>
    static std::vector<Kind> only(const std::vector<SchedulerDecision> &decisions)
    {
        std::vector<Kind> kept;
        for (const SchedulerDecision &decision : decisions) {
            if (const Kind *found = std::get_if<Kind>(&decision))
                kept.push_back(*found);
        }
        return kept;
    }

    Scheduler scheduler;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::map<std::string, EngineLoad> engines;
    std::map<TaskId, StartTask> running;
    TaskId nextWork = 1;

private:
    StartTask take(TaskId id)
    {
        const StartTask run = running.at(id);
        running.erase(id);
        --engines[run.engine].running;
        return run;
    }
};

} // namespace rattanrill::policy
