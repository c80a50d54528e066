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

    Work work(WorkKind kind, const std::string &workspace = "a")
    {
        Work made;
        made.id = nextWork++;
        made.workspace = workspace;
        made.kind = kind;
        made.model = "m";
        made.promptTokens = 10;
        made.maxTokens = 100;
        made.fingerprint = "f" + std::to_string(made.id);
        return made;
    }

    WorkId add(const Work &made)
    {
        scheduler.arrived(now, made);
        return made.id;
    }
    WorkId add(WorkKind kind, const std::string &workspace = "a")
    {
        return add(work(kind, workspace));
    }

    /// Decides and keeps track of what runs where; the next reports show it.
    std::vector<Decision> decide()
    {
        std::vector<Decision> made = scheduler.decide(now);
        for (const Decision &decision : made) {
            if (const auto *start = std::get_if<StartWork>(&decision)) {
                running[start->work] = *start;
                ++engines[start->engine].running;
            }
        }
        return made;
    }

    /// Advances time in small steps with reports and decisions.
    std::vector<Decision> advance(absl::Duration time)
    {
        std::vector<Decision> all;
        for (const absl::Time end = now + time; now < end;) {
            now += absl::Milliseconds(20);
            report();
            for (const Decision &decision : decide())
                all.push_back(decision);
        }
        return all;
    }

    void firstToken(WorkId id) { scheduler.firstToken(now, id, running.at(id).attempt); }

    void finish(WorkId id, std::int64_t tokens = 100)
    {
        const StartWork run = take(id);
        scheduler.finished(now, id, run.attempt, tokens);
    }

    void fail(WorkId id, TryFailure::Kind kind, std::int64_t delivered = 0)
    {
        const StartWork run = take(id);
        TryFailure failure;
        failure.kind = kind;
        failure.deliveredTokens = delivered;
        const bool ran = kind != TryFailure::Kind::Refused;
        failure.failure = ran ? mayHaveRun(ErrorCode::UpstreamFailed, "connection lost")
                              : notRun(ErrorCode::UpstreamUnavailable, "no connection");
        scheduler.failed(now, id, run.attempt, failure);
    }

    void carryOut(const PreemptWork &preempt, std::int64_t delivered)
    {
        take(preempt.work);
        const bool exported = preempt.method == PreemptMethod::ExportKv;
        scheduler.preempted(now, preempt.work, preempt.attempt, delivered, exported ? "kv" : "");
    }

    template <typename Kind>
    static std::vector<Kind> only(const std::vector<Decision> &decisions)
    {
        std::vector<Kind> kept;
        for (const Decision &decision : decisions) {
            if (const Kind *found = std::get_if<Kind>(&decision))
                kept.push_back(*found);
        }
        return kept;
    }

    Scheduler scheduler;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::map<std::string, EngineLoad> engines;
    std::map<WorkId, StartWork> running;
    WorkId nextWork = 1;

private:
    StartWork take(WorkId id)
    {
        const StartWork run = running.at(id);
        running.erase(id);
        --engines[run.engine].running;
        return run;
    }
};

} // namespace rattanrill::policy
