#pragma once

#include "rattanrill/policy/scheduler.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// A scheduler with engines of one model. Their load reports reflect each decision at once.
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
        Task newTask;
        newTask.id = nextTaskId++;
        newTask.workspace = workspace;
        newTask.kind = kind;
        newTask.model = "m";
        newTask.promptTokens = 10;
        newTask.maxTokens = 100;
        newTask.fingerprint = "f" + std::to_string(newTask.id);
        return newTask;
    }

    TaskId add(const Task &newTask)
    {
        scheduler.arrived(now, newTask);
        return newTask.id;
    }
    TaskId add(TaskKind kind, const std::string &workspace = "a")
    {
        return add(task(kind, workspace));
    }

    /// Calls decide() and adds the started tasks to \a running and to the next load reports.
    std::vector<SchedulerDecision> decide()
    {
        std::vector<SchedulerDecision> decisions = scheduler.decide(now);
        for (const SchedulerDecision &decision : decisions) {
            if (const auto *start = std::get_if<StartTask>(&decision)) {
                running[start->task] = *start;
                ++engines[start->engine].running;
            }
        }
        return decisions;
    }

    /// Advances the time in steps of 20 ms, each with load reports and a call of decide(). Returns
    /// all decisions.
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
        const StartTask run = removeRunning(id);
        scheduler.finished(now, id, run.attempt, tokens);
    }

    std::optional<EngineEjection> fail(TaskId id, AttemptFailure::Kind kind,
                                       std::int64_t delivered = 0)
    {
        const bool ran = kind != AttemptFailure::Kind::Refused;
        const Failure failure = ran ? mayHaveRun(ErrorCode::StreamBroken, "connection lost")
                                    : notRun(ErrorCode::UpstreamUnavailable, "no connection");
        return endFailedAttempt(id, AttemptFailure{kind, delivered, failure});
    }

    /// Has the engine respond to the attempt with a server error.
    std::optional<EngineEjection> respondWithError(TaskId id)
    {
        const Failure failure = mayHaveRun(ErrorCode::UpstreamFailed, "responded with status 500");
        return endFailedAttempt(id, AttemptFailure{AttemptFailure::Kind::Broken, 0, failure});
    }

    /// Reports that \a preempt was carried out after \a delivered tokens.
    void completePreemption(const PreemptTask &preempt, std::int64_t delivered)
    {
        removeRunning(preempt.task);
        const bool exported = preempt.method == PreemptMethod::ExportKv;
        scheduler.preempted(now, preempt.task, preempt.attempt, delivered, exported ? "kv" : "");
    }

    /// Returns the decisions of type \a Kind.
    template <typename Kind>
    static std::vector<Kind> filter(const std::vector<SchedulerDecision> &decisions)
    {
        std::vector<Kind> matching;
        for (const SchedulerDecision &decision : decisions) {
            if (const Kind *found = std::get_if<Kind>(&decision))
                matching.push_back(*found);
        }
        return matching;
    }

    Scheduler scheduler;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::map<std::string, EngineLoad> engines;
    std::map<TaskId, StartTask> running;
    TaskId nextTaskId = 1;

private:
    std::optional<EngineEjection> endFailedAttempt(TaskId id, const AttemptFailure &failure)
    {
        const StartTask run = removeRunning(id);
        return scheduler.failed(now, id, run.attempt, failure);
    }

    /// Removes a running task from \a running and from the next load reports.
    StartTask removeRunning(TaskId id)
    {
        const StartTask run = running.at(id);
        running.erase(id);
        --engines[run.engine].running;
        return run;
    }
};

} // namespace rattanrill::policy
