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

/// A caller whose request failed sends it again after this.
constexpr absl::Duration callerResend = absl::Milliseconds(500);

std::string engineName(int index);

struct RunOptions
{
    Scenario scenario = Scenario::Nominal;
    PolicyKind policy = PolicyKind::Ours;
    bool withBatch = true;
    RunTimes times;
    std::uint64_t seed = 1;
    /// Instead of the deployment's, to see the effect of the setting.
    std::optional<double> onlineTailWeight;
};

/// One run: callers, entries with their policies, engines, the batch pool and the directory's crash
/// records, connected by messages with the deployment's delays.
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
        absl::Time wakeAt = absl::InfiniteFuture();
        std::unique_ptr<BenchPolicy> policy;
    };
    struct Running
    {
        Task task;
        std::size_t entry = 0;
        /// Index in the plan or of the batch item.
        int index = 0;
        int callerTries = 0;
        std::int64_t answerTokens = 0;
        std::int64_t delivered = 0;
        absl::Time arrivedAt;
        std::vector<absl::Time> preemptedFor;
        int engine = -1;
        int attempt = 0;
        bool gotFirstToken = false;
    };

    // Set-up
    void createEngines();
    void createEntries();
    void scheduleLoad();
    void scheduleBatchJobs();
    void scheduleDisturbance();
    void countIdeal();
    SchedulerSettings settingsOf(const Entry &entry) const;
    std::vector<EngineInfo> engineList() const;
    std::vector<std::string> entryNames() const;

    // Callers
    void send(int request, int callerTries);
    void admit(int request, int callerTries, std::size_t entry);
    void refusedByRate(int request, bool ownerMoving);
    void arrive(int request, int callerTries, std::size_t entry);
    void onlineEnded(const Running &running, const Failure &failure);
    std::size_t balance(double share) const;

    // Entries
    void decide(std::size_t entry);
    void carryOut(std::size_t entry, const StartTask &start);
    void carryOut(std::size_t entry, const PreemptTask &preempt);
    void carryOut(std::size_t entry, const RejectTask &refuse);
    void carryOut(std::size_t entry, const RecordCrash &record);
    void leaseBatch(std::size_t entry);
    Task batchWork(int item, TaskId id) const;

    // Engines
    void admitted(int engine, const EngineTry &run) override;
    void firstToken(int engine, const EngineTry &run) override;
    void token(int engine, const EngineTry &run, absl::Duration gap) override;
    void finished(int engine, const EngineTry &run) override;
    void cancelled(int engine, const EngineTry &run) override;
    void crashed(int engine, const std::vector<EngineTry> &lost) override;
    void refused(int engine, const EngineTry &run) override;
    void cacheEvent(int engine, const CacheEvent &event) override;
    void report(int engine);
    void sample(const BenchEngine &engine);
    void fail(int engine, const EngineTry &run, AttemptFailure::Kind kind, absl::Duration delay);
    /// Runs \a event at the entry of \a run after the link's delay, then decides, when the try is
    /// still current.
    template <typename Event>
    void deliver(int engine, const EngineTry &run, Event event);

    // Faults
    void loseUpstream(int engine, bool reset);
    void loseEntry(std::size_t entry);
    void loseDomain(int domain);
    void listChanged();

    absl::Duration link(std::size_t entry, int engine) const;
    absl::Duration entryLink(std::size_t from, std::size_t to) const;
    bool measured(absl::Time time) const;
    bool counts(int request) const;

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
    std::unordered_map<TaskId, Running> m_running;
    TaskId m_nextWork = 1;
    std::map<std::string, std::set<std::string>> m_crashRecords;
    BenchResult m_result;
};

} // namespace rattanrill::policy::bench
