#include "benchfleet.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <chrono>

namespace rattanrill::policy::bench {

namespace {

/// Maximum number of times that a caller sends the request that crashes engines. Other requests are
/// not sent again after a rejection.
constexpr int maxCallerAttempts = 8;
/// Time to commit a small change in the batch partition or the directory, without the network delay
/// to it.
constexpr absl::Duration commitTime = absl::Milliseconds(3);
/// Delay until the long polls of the entries return a new crash record.
constexpr absl::Duration crashRecordDelay = absl::Milliseconds(100);
/// Largest error of the wall clock of an entry. The clocks of two entries can differ by twice this
/// value.
constexpr absl::Duration maxClockError = absl::Milliseconds(10);
/// A job of jobItems items is added every jobInterval and is due jobDueAfter later.
constexpr absl::Duration jobInterval = absl::Seconds(5);
constexpr int jobItems = 60;
constexpr absl::Duration jobDueAfter = absl::Seconds(45);
/// Length of the shared part of a prompt, in tokens.
constexpr std::int64_t prefixTokens = 256;
constexpr std::int64_t maxOnlineOutputTokens = 600;
constexpr std::int64_t maxBatchOutputTokens = 400;
constexpr int sharedPrefixHashes = 5;

AdmissionKind admissionOf(PolicyKind policy)
{
    if (policy == PolicyKind::FirstComeFirstServed)
        return AdmissionKind::None;
    const bool shares = policy == PolicyKind::StaticRateShare;
    return shares ? AdmissionKind::StaticShare : AdmissionKind::Owner;
}

std::vector<std::string> names(std::string_view prefix, int count)
{
    std::vector<std::string> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        list.push_back(concat(prefix, i));
    return list;
}

std::string workspaceName(int index)
{
    return concat("workspace-", index);
}

int engineIndex(const std::string &name)
{
    return std::stoi(name.substr(name.find('-') + 1));
}

/// Returns synthetic values in place of the hashes of the first 64, 128, ... 1024 bytes of a
/// prompt. They are equal for all prompts of a group.
std::vector<std::uint64_t> prefixHashes(int group)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(sharedPrefixHashes);
    for (int i = 0; i < sharedPrefixHashes; ++i)
        hashes.push_back(stableHash(concat("prefix-", group), static_cast<std::uint64_t>(i)));
    return hashes;
}

} // namespace

std::string engineName(int index)
{
    return concat("engine-", index);
}

BenchFleet::BenchFleet(const Deployment &deployment, const RunOptions &options)
    : m_deployment(deployment)
    , m_options(options)
    , m_plan(makePlan(deployment, options.scenario, options.times, options.seed))
    , m_admission(admissionOf(options.policy), m_plan.contracts,
                  names("entry-", deployment.entries))
    , m_batch(deployment, options.seed + 77)
    , m_random(options.seed + 99)
{
    m_result.workspaces.resize(m_plan.contracts.size());
    createEngines();
    createEntries();
    scheduleLoad();
    if (options.withBatch)
        scheduleBatchJobs();
    scheduleDisturbance();
}

BenchResult BenchFleet::run()
{
    m_loop.runUntil(m_options.times.end());
    countIdealGrants();
    for (const std::unique_ptr<BenchEngine> &engine : m_engines)
        m_result.computedTokens += engine->prefilledTokens() + engine->decodedTokens();
    std::tie(m_result.batchLate, m_result.batchDue) = m_batch.pastDue(m_options.times.end());
    return std::move(m_result);
}

// Set-up

void BenchFleet::createEngines()
{
    for (int i = 0; i < m_deployment.engines; ++i) {
        m_engines.push_back(std::make_unique<BenchEngine>(i, m_deployment.engine, m_loop, *this));
        m_engineDomain.push_back(i % m_deployment.domains);
        m_listed.push_back(true);
        m_hanging.push_back(false);
        const absl::Duration phase = m_deployment.engine.reportInterval * i / m_deployment.engines;
        m_loop.after(phase, [this, i] { report(i); });
    }
}

void BenchFleet::createEntries()
{
    m_entries.resize(static_cast<std::size_t>(m_deployment.entries));
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        Entry &entry = m_entries[i];
        entry.name = concat("entry-", i);
        entry.domain = static_cast<int>(i) % m_deployment.domains;
        entry.policy = makePolicy(m_options.policy, settingsOf(entry), m_options.seed * 10 + i);
    }
    std::vector<WorkspaceWeights> weights;
    for (std::size_t i = 0; i < m_plan.contracts.size(); ++i)
        weights.push_back({workspaceName(static_cast<int>(i)), m_plan.contracts[i].ratePerSecond,
                           m_deployment.shares[i]});
    for (Entry &entry : m_entries) {
        const double error = std::uniform_real_distribution<double>(-1, 1)(m_random);
        entry.policy->setClockOffset(maxClockError * error);
        entry.policy->setWorkspaces(weights);
        entry.policy->setEntries(entry.name, entryNames());
        entry.policy->setEngines(m_loop.now(), engineList());
    }
}

SchedulerSettings BenchFleet::settingsOf(const Entry &entry) const
{
    SchedulerSettings settings;
    settings.failureDomain = concat("domain-", entry.domain);
    settings.onlineTailWeight = m_options.onlineTailWeight.value_or(m_deployment.onlineTailWeight);
    settings.loadReportDelay = m_deployment.engine.reportInterval + m_deployment.engine.reportLag;
    return settings;
}

std::vector<EngineInfo> BenchFleet::engineList() const
{
    std::vector<EngineInfo> list;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_listed[i])
            list.push_back({engineName(static_cast<int>(i)), "model",
                            concat("domain-", m_engineDomain[i]), false});
    }
    return list;
}

std::vector<std::string> BenchFleet::entryNames() const
{
    std::vector<std::string> list;
    for (const Entry &entry : m_entries) {
        if (entry.alive)
            list.push_back(entry.name);
    }
    return list;
}

void BenchFleet::scheduleLoad()
{
    for (std::size_t i = 0; i < m_plan.online.size(); ++i) {
        const int request = static_cast<int>(i);
        m_loop.at(m_plan.online[i].at, [this, request] { send(request, 1); });
    }
}

void BenchFleet::scheduleBatchJobs()
{
    int workspace = 0;
    for (absl::Time at = absl::UnixEpoch() + jobInterval; at < m_options.times.end();
         at += jobInterval) {
        m_loop.at(at, [this, workspace] {
            m_batch.addJob(workspace, jobItems, m_loop.now() + jobDueAfter);
        });
        workspace = (workspace + 1) % static_cast<int>(m_plan.contracts.size());
    }
}

void BenchFleet::scheduleDisturbance()
{
    const absl::Time at = m_options.times.disturbance();
    if (m_options.scenario == Scenario::LostUpstream)
        m_loop.at(at, [this] { loseUpstream(1, true); });
    if (m_options.scenario == Scenario::LostDomain)
        m_loop.at(at, [this] { loseDomain(0); });
}

void BenchFleet::countIdealGrants()
{
    std::vector<TokenBucket> ideal;
    for (const RateContract &contract : m_plan.contracts)
        ideal.emplace_back(contract, absl::UnixEpoch());
    for (std::size_t i = 0; i < m_plan.online.size(); ++i) {
        const PlannedRequest &request = m_plan.online[i];
        const auto workspace = static_cast<std::size_t>(request.workspace);
        const bool granted = ideal[workspace].take(request.at, 1).granted;
        if (!isCounted(static_cast<int>(i)))
            continue;
        ++m_result.workspaces[workspace].demand;
        m_result.workspaces[workspace].withinRate += granted ? 1 : 0;
    }
}

// Callers

void BenchFleet::send(int request, int callerAttempts)
{
    const PlannedRequest &planned = m_plan.online[static_cast<std::size_t>(request)];
    const bool isResend = callerAttempts > 1;
    const double position =
            isResend ? std::uniform_real_distribution<double>(0, 1)(m_random) : planned.entryChoice;
    const std::size_t entry = chooseEntry(position);
    m_loop.after(m_deployment.clientDelay,
                 [this, request, callerAttempts, entry] { admit(request, callerAttempts, entry); });
}

std::size_t BenchFleet::chooseEntry(double position) const
{
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].alive)
            alive.push_back(i);
    }
    const auto choice = static_cast<std::size_t>(position * static_cast<double>(alive.size()));
    return alive[std::min(choice, alive.size() - 1)];
}

void BenchFleet::admit(int request, int callerAttempts, std::size_t entry)
{
    const auto workspace =
            static_cast<std::size_t>(m_plan.online[static_cast<std::size_t>(request)].workspace);
    if (m_admission.isOwnerMoving(m_loop.now(), workspace)) {
        refusedByRate(request, true);
        return;
    }
    const std::size_t owner = m_admission.owner(workspace, entry);
    const absl::Duration delay =
            owner == entry ? absl::ZeroDuration() : entryLinkDelay(entry, owner);
    ++m_result.requests;
    m_result.admissionMessages += owner == entry ? 0 : 2;
    m_loop.after(delay, [this, request, callerAttempts, entry, workspace, delay] {
        const RateGrant grant = m_admission.take(m_loop.now(), workspace, entry);
        if (!grant.granted) {
            refusedByRate(request, false);
            return;
        }
        m_result.workspaces[workspace].admitted.push_back(m_loop.now() + grant.wait);
        m_loop.after(std::max(delay, grant.wait), [this, request, callerAttempts, entry] {
            arrive(request, callerAttempts, entry);
        });
    });
}

void BenchFleet::refusedByRate(int request, bool ownerMoving)
{
    if (!isCounted(request))
        return;
    const int workspace = m_plan.online[static_cast<std::size_t>(request)].workspace;
    WorkspaceResult &result = m_result.workspaces[static_cast<std::size_t>(workspace)];
    ++(ownerMoving ? result.refusedOwnerMoving : result.refused);
    ++m_result.refusals[ownerMoving ? "rate_unknown" : "rate_limited"];
}

void BenchFleet::arrive(int request, int callerAttempts, std::size_t entry)
{
    if (!m_entries[entry].alive) {
        m_loop.after(callerResendDelay, [=] { send(request, callerAttempts + 1); });
        return;
    }
    const PlannedRequest &planned = m_plan.online[static_cast<std::size_t>(request)];
    TaskState state;
    state.entry = entry;
    state.index = request;
    state.callerAttempts = callerAttempts;
    state.outputTokens = planned.outputTokens;
    state.arrivedAt = m_loop.now();
    state.task.id = m_nextTask++;
    state.task.workspace = workspaceName(planned.workspace);
    state.task.model = "model";
    state.task.promptTokens = planned.promptTokens;
    state.task.maxTokens = maxOnlineOutputTokens;
    state.task.prefixHashes = prefixHashes(planned.prefixGroup);
    state.task.fingerprint = concat("request-", request);
    const Task task = state.task;
    m_tasks[task.id] = std::move(state);
    m_entries[entry].policy->arrived(m_loop.now(), task);
    decide(entry);
}

void BenchFleet::onlineRejected(const TaskState &state, const Failure &failure)
{
    const PlannedRequest &planned = m_plan.online[static_cast<std::size_t>(state.index)];
    ++m_result.refusals[std::string(rattanrill::name(failure.code))];
    if (planned.poison) {
        if (state.callerAttempts < maxCallerAttempts)
            m_loop.after(callerResendDelay,
                         [this, request = state.index, attempts = state.callerAttempts] {
                             send(request, attempts + 1);
                         });
        return;
    }
    if (failure.code == ErrorCode::RequestQuarantined)
        ++m_result.bystandersQuarantined;
    if (!isCounted(state.index) || state.firstTokenReceived)
        return;
    ++m_result.workspaces[static_cast<std::size_t>(planned.workspace)].refused;
}

// Entries

void BenchFleet::decide(std::size_t index)
{
    Entry &entry = m_entries[index];
    const auto begin = std::chrono::steady_clock::now();
    const std::vector<SchedulerDecision> decisions = entry.policy->decide(m_loop.now());
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
    m_result.policySeconds += elapsed.count();
    m_result.decisions += decisions.size();
    for (const SchedulerDecision &decision : decisions)
        std::visit([&](const auto &alternative) { execute(index, alternative); }, decision);
    leaseBatch(index);
    const absl::Time next = entry.policy->nextDecision();
    if (next >= entry.nextDecisionAt || next > m_options.times.end())
        return;
    entry.nextDecisionAt = next;
    // The call is 1 ns late. A time that was rounded down would otherwise cause a second call.
    m_loop.at(next + absl::Nanoseconds(1), [this, index, next] {
        if (!m_entries[index].alive || m_entries[index].nextDecisionAt != next)
            return;
        m_entries[index].nextDecisionAt = absl::InfiniteFuture();
        decide(index);
    });
}

void BenchFleet::execute(std::size_t entry, const StartTask &start)
{
    TaskState &state = m_tasks.at(start.task);
    state.attempt = start.attempt;
    state.engine = engineIndex(start.engine);
    if (state.task.kind == TaskKind::Online) {
        // Attributes the preemptions at this entry that have no online task yet to this one.
        for (auto &[id, other] : m_tasks) {
            if (other.entry == entry && !other.preemptedFor.empty()
                && other.preemptedFor.back() == absl::InfinitePast())
                other.preemptedFor.back() = state.arrivedAt;
        }
    }
    EngineAttempt run;
    run.task = start.task;
    run.attempt = start.attempt;
    run.entry = static_cast<int>(entry);
    run.kind = state.task.kind;
    run.promptTokens = state.task.promptTokens;
    run.outputTokens = state.outputTokens;
    run.delivered = start.resumeAfter;
    run.imported = !start.kvHandle.empty();
    const bool online = run.kind == TaskKind::Online;
    run.prefix = online ? state.task.prefixHashes.back() : 0;
    run.prefixTokens = prefixTokens;
    run.poison = online && m_plan.online[static_cast<std::size_t>(state.index)].poison;
    BenchEngine &engine = *m_engines[static_cast<std::size_t>(state.engine)];
    m_loop.after(linkDelay(entry, state.engine), [&engine, run] { engine.submit(run); });
}

void BenchFleet::execute(std::size_t entry, const PreemptTask &preempt)
{
    TaskState &state = m_tasks.at(preempt.task);
    state.preemptedFor.push_back(absl::InfinitePast());
    ++m_result.preemptions;
    BenchEngine &engine = *m_engines[static_cast<std::size_t>(state.engine)];
    m_loop.after(linkDelay(entry, state.engine), [&engine, preempt] {
        engine.cancel(preempt.task, preempt.attempt, preempt.method == PreemptMethod::ExportKv);
    });
}

void BenchFleet::execute(std::size_t /*entry*/, const RejectTask &reject)
{
    const auto found = m_tasks.find(reject.task);
    if (found == m_tasks.end())
        return;
    if (found->second.task.kind == TaskKind::Online) {
        onlineRejected(found->second, reject.failure);
    } else {
        ++m_result.batchLost;
        if (reject.failure.code == ErrorCode::RequestQuarantined)
            ++m_result.bystandersQuarantined;
    }
    m_tasks.erase(found);
}

void BenchFleet::execute(std::size_t /*entry*/, const RecordCrash &record)
{
    m_loop.after(crashRecordDelay, [this, record] {
        std::set<std::string> &engines = m_crashRecords[record.fingerprint];
        engines.insert(record.engine);
        const std::vector<std::string> list(engines.begin(), engines.end());
        for (Entry &entry : m_entries) {
            if (entry.alive)
                entry.policy->applyCrashRecord(m_loop.now(), record.fingerprint, list);
        }
    });
}

void BenchFleet::leaseBatch(std::size_t index)
{
    Entry &entry = m_entries[index];
    if (!m_options.withBatch || entry.leasing)
        return;
    if (entry.policy->batchCapacity(m_loop.now()) == 0)
        return;
    entry.leasing = true;
    m_loop.after(m_deployment.interDomainDelay * 2 + commitTime, [this, index] {
        Entry &leaser = m_entries[index];
        leaser.leasing = false;
        if (!leaser.alive)
            return;
        const std::size_t capacity = leaser.policy->batchCapacity(m_loop.now());
        for (std::size_t i = 0; i < capacity; ++i) {
            const int item = m_batch.lease(m_loop.now());
            TaskState state;
            state.entry = index;
            state.index = item;
            state.outputTokens = m_batch.item(item).outputTokens;
            state.delivered = m_batch.item(item).delivered;
            state.task = batchTask(item, m_nextTask++);
            state.task.deliveredTokens = state.delivered;
            const Task task = state.task;
            m_tasks[task.id] = std::move(state);
            leaser.policy->arrived(m_loop.now(), task);
        }
        decide(index);
    });
}

Task BenchFleet::batchTask(int item, TaskId id) const
{
    // item() has no const overload; the item is not changed here.
    const BatchItem &leased = const_cast<BenchBatchPool &>(m_batch).item(item);
    Task task;
    task.id = id;
    task.workspace = workspaceName(leased.workspace);
    task.kind = TaskKind::Batch;
    task.model = "model";
    task.promptTokens = leased.promptTokens;
    task.maxTokens = maxBatchOutputTokens;
    task.deadline = leased.due;
    task.fingerprint = concat("item-", item);
    return task;
}

} // namespace rattanrill::policy::bench
