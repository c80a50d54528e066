#pragma once

#include "benchadmission.h"
#include "benchbatchpool.h"
#include "benchengine.h"
#include "benchloop.h"
#include "benchpolicy.h"
#include "benchresult.h"
#include "benchscenario.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattanrill::policy::bench {

/// Delay after which a caller sends a failed request again.
constexpr absl::Duration callerResendDelay = absl::Milliseconds(500);

std::string engineName(int index);

struct RunOptions
{
    Scenario scenario = Scenario::Nominal;
    PolicyKind policy = PolicyKind::Rattanrill;
    bool withBatch = true;
    RunTimes times;
    std::uint64_t seed = 1;
    /// Overrides the deployment's value, to show the effect of the setting.
    std::optional<double> onlineTailWeight;
};

/// Simulates one run: callers, entries with their policies, engines, the batch pool and the crash
/// records of the directory. They exchange messages that take the deployment's delays.
class BenchFleet : public EngineListener
{
public:
    BenchFleet(const Deployment &deployment, const RunOptions &options);

    BenchResult run();

private:
    struct Entry
    {
        std::string name;
        int domain = 0;
        bool alive = true;
        bool leasing = false;
        /// Time of the next scheduled call of decide().
        absl::Time nextDecisionAt = absl::InfiniteFuture();
        std::unique_ptr<BenchPolicy> policy;
    };
    /// A request or leased batch item at an entry.
    struct TaskState
    {
        Task task;
        std::size_t entry = 0;
        /// Index of the request in the plan, or of the batch item in the pool.
        int index = 0;
        int callerAttempts = 0;
        std::int64_t outputTokens = 0;
        std::int64_t delivered = 0;
        absl::Time arrivedAt;
        /// For each preemption, the arrival of the online task that it made room for; InfinitePast
        /// until that task starts.
        std::vector<absl::Time> preemptedFor;
        int engine = -1;
        int attempt = 0;
        bool firstTokenReceived = false;
    };

    // Set-up
    void createEngines();
    void createEntries();
    void scheduleLoad();
    void scheduleBatchJobs();
    void scheduleDisturbance();
    void countIdealGrants();
    SchedulerSettings settingsOf(const Entry &entry) const;
    std::vector<EngineInfo> engineList() const;
    std::vector<std::string> entryNames() const;

    // Callers
    void send(int request, int callerAttempts);
    void admit(int request, int callerAttempts, std::size_t entry);
    void refusedByRate(int request, bool ownerMoving);
    void arrive(int request, int callerAttempts, std::size_t entry);
    void onlineRejected(const TaskState &state, const Failure &failure);
    std::size_t chooseEntry(double position) const;

    // Entries
    void decide(std::size_t entry);
    void execute(std::size_t entry, const StartTask &start);
    void execute(std::size_t entry, const PreemptTask &preempt);
    void execute(std::size_t entry, const RejectTask &reject);
    void execute(std::size_t entry, const RecordCrash &record);
    void leaseBatch(std::size_t entry);
    Task batchTask(int item, TaskId id) const;

    // Engines
    void admitted(int engine, const EngineAttempt &run) override;
    void firstToken(int engine, const EngineAttempt &run) override;
    void token(int engine, const EngineAttempt &run, absl::Duration gap) override;
    void finished(int engine, const EngineAttempt &run) override;
    void cancelled(int engine, const EngineAttempt &run) override;
    void crashed(int engine, const std::vector<EngineAttempt> &lost) override;
    void refused(int engine, const EngineAttempt &run) override;
    void cacheEvent(int engine, const CacheEvent &event) override;
    void report(int engine);
    void sample(const BenchEngine &engine);
    void fail(int engine, const EngineAttempt &run, AttemptFailure::Kind kind,
              absl::Duration delay);
    /// Runs \a event at the entry of \a run after the delay of the link and then calls decide() for
    /// the entry. Does nothing if the entry is lost or the attempt is no longer the current one of
    /// its task.
    template <typename Event>
    void deliver(int engine, const EngineAttempt &run, Event event);

    // Faults
    /// Stops an engine for good. Its connections are reset or, if not \a reset, hang until they
    /// time out.
    void loseUpstream(int engine, bool reset);
    void loseEntry(std::size_t entry);
    void loseDomain(int domain);
    void updateLists();

    absl::Duration linkDelay(std::size_t entry, int engine) const;
    absl::Duration entryLinkDelay(std::size_t from, std::size_t to) const;
    bool isMeasured(absl::Time time) const;
    bool isCounted(int request) const;

    const Deployment &m_deployment;
    RunOptions m_options;
    LoadPlan m_plan;
    BenchLoop m_loop;
    BenchAdmission m_admission;
    BenchBatchPool m_batch;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<BenchEngine>> m_engines;
    std::vector<int> m_engineDomain;
    /// Engines that the directory still lists.
    std::vector<bool> m_listed;
    /// Dead engines whose connections hang instead of being reset.
    std::vector<bool> m_hanging;
    std::vector<Entry> m_entries;
    std::unordered_map<TaskId, TaskState> m_tasks;
    TaskId m_nextTask = 1;
    std::map<std::string, std::set<std::string>> m_crashRecords;
    BenchResult m_result;
};

} // namespace rattanrill::policy::bench
