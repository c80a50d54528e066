#include "benchfleet.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <chrono>

namespace rattanrill::policy::bench {

namespace {

constexpr int maxCallerAttempts = 8;
/// Time to commit a small change in the batch partition or the directory, without the network delay
/// to it.
constexpr absl::Duration commitTime = absl::Milliseconds(3);
/// Delay until the long polls of the entries return a new crash record.
constexpr absl::Duration crashRecordDelay = absl::Milliseconds(100);
/// Largest error of the wall clock of an entry. Two entries can differ by twice this value.
constexpr absl::Duration maxClockError = absl::Milliseconds(10);
/// A job of jobItems items is added every jobInterval and is due jobDueAfter later.
constexpr absl::Duration jobInterval = absl::Seconds(5);
constexpr int jobItems = 60;
constexpr absl::Duration jobDueAfter = absl::Seconds(45);
constexpr std::int64_t prefixTokens = 256;
constexpr std::int64_t maxOnlineAnswerTokens = 600;
constexpr std::int64_t maxBatchAnswerTokens = 400;
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

/// Returns the hashes of the first 64, 128, ... 1024 bytes, which are the shared part of a prompt.
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
    std::vector<WorkspaceWeights> shares;
    for (std::size_t i = 0; i < m_plan.contracts.size(); ++i)
        shares.push_back({workspaceName(static_cast<int>(i)), m_plan.contracts[i].ratePerSecond,
                          m_deployment.shares[i]});
    for (Entry &entry : m_entries) {
        const double error = std::uniform_real_distribution<double>(-1, 1)(m_random);
        entry.policy->setClockOffset(maxClockError * error);
        entry.policy->setWorkspaces(shares);
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
    const double share =
            isResend ? std::uniform_real_distribution<double>(0, 1)(m_random) : planned.entryChoice;
    const std::size_t entry = chooseEntry(share);
    m_loop.after(m_deployment.clientDelay,
                 [this, request, callerAttempts, entry] { admit(request, callerAttempts, entry); });
}

std::size_t BenchFleet::chooseEntry(double share) const
{
    std::vector<std::size_t> alive;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].alive)
            alive.push_back(i);
    }
    const auto choice = static_cast<std::size_t>(share * static_cast<double>(alive.size()));
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
    Running running;
    running.entry = entry;
    running.index = request;
    running.callerAttempts = callerAttempts;
    running.answerTokens = planned.answerTokens;
    running.arrivedAt = m_loop.now();
    running.task.id = m_nextTask++;
    running.task.workspace = workspaceName(planned.workspace);
    running.task.model = "model";
    running.task.promptTokens = planned.promptTokens;
    running.task.maxTokens = maxOnlineAnswerTokens;
    running.task.prefixHashes = prefixHashes(planned.prefixGroup);
    running.task.fingerprint = concat("request-", request);
    const Task task = running.task;
    m_running[task.id] = std::move(running);
    m_entries[entry].policy->arrived(m_loop.now(), task);
    decide(entry);
}

void BenchFleet::onlineRejected(const Running &running, const Failure &failure)
{
    const PlannedRequest &planned = m_plan.online[static_cast<std::size_t>(running.index)];
    ++m_result.refusals[std::string(rattanrill::name(failure.code))];
    if (planned.poison) {
        if (running.callerAttempts < maxCallerAttempts)
            m_loop.after(callerResendDelay,
                         [this, request = running.index, attempts = running.callerAttempts] {
                             send(request, attempts + 1);
                         });
        return;
    }
    if (failure.code == ErrorCode::RequestQuarantined)
        ++m_result.bystandersQuarantined;
    if (!isCounted(running.index) || running.firstTokenReceived)
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
    if (next >= entry.wakeAt || next > m_options.times.end())
        return;
    entry.wakeAt = next;
    // The wake-up is 1 ns late. A time that was rounded down would otherwise cause a second
    // wake-up.
    m_loop.at(next + absl::Nanoseconds(1), [this, index, next] {
        if (!m_entries[index].alive || m_entries[index].wakeAt != next)
            return;
        m_entries[index].wakeAt = absl::InfiniteFuture();
        decide(index);
    });
}

void BenchFleet::execute(std::size_t entry, const StartTask &start)
{
    Running &running = m_running.at(start.task);
    running.attempt = start.attempt;
    running.engine = engineIndex(start.engine);
    if (running.task.kind == TaskKind::Online) {
        for (auto &[id, other] : m_running) {
            if (other.entry == entry && !other.preemptedFor.empty()
                && other.preemptedFor.back() == absl::InfinitePast())
                other.preemptedFor.back() = running.arrivedAt;
        }
    }
    EngineAttempt run;
    run.task = start.task;
    run.attempt = start.attempt;
    run.entry = static_cast<int>(entry);
    run.kind = running.task.kind;
    run.promptTokens = running.task.promptTokens;
    run.answerTokens = running.answerTokens;
    run.delivered = start.resumeAfter;
    run.imported = !start.kvHandle.empty();
    const bool online = run.kind == TaskKind::Online;
    run.prefix = online ? running.task.prefixHashes.back() : 0;
    run.prefixTokens = prefixTokens;
    run.poison = online && m_plan.online[static_cast<std::size_t>(running.index)].poison;
    BenchEngine &engine = *m_engines[static_cast<std::size_t>(running.engine)];
    m_loop.after(linkDelay(entry, running.engine), [&engine, run] { engine.submit(run); });
}

void BenchFleet::execute(std::size_t entry, const PreemptTask &preempt)
{
    Running &running = m_running.at(preempt.task);
    running.preemptedFor.push_back(absl::InfinitePast());
    ++m_result.preemptions;
    BenchEngine &engine = *m_engines[static_cast<std::size_t>(running.engine)];
    m_loop.after(linkDelay(entry, running.engine), [&engine, preempt] {
        engine.cancel(preempt.task, preempt.attempt, preempt.method == PreemptMethod::ExportKv);
    });
}

void BenchFleet::execute(std::size_t /*entry*/, const RejectTask &reject)
{
    const auto found = m_running.find(reject.task);
    if (found == m_running.end())
        return;
    if (found->second.task.kind == TaskKind::Online) {
        onlineRejected(found->second, reject.failure);
    } else {
        ++m_result.batchLost;
        if (reject.failure.code == ErrorCode::RequestQuarantined)
            ++m_result.bystandersQuarantined;
    }
    m_running.erase(found);
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
            Running running;
            running.entry = index;
            running.index = item;
            running.answerTokens = m_batch.item(item).answerTokens;
            running.delivered = m_batch.item(item).delivered;
            running.task = batchTask(item, m_nextTask++);
            running.task.deliveredTokens = running.delivered;
            const Task task = running.task;
            m_running[task.id] = std::move(running);
            leaser.policy->arrived(m_loop.now(), task);
        }
        decide(index);
    });
}

Task BenchFleet::batchTask(int item, TaskId id) const
{
    const BatchItem &leased = const_cast<BenchBatchPool &>(m_batch).item(item);
    Task task;
    task.id = id;
    task.workspace = workspaceName(leased.workspace);
    task.kind = TaskKind::Batch;
    task.model = "model";
    task.promptTokens = leased.promptTokens;
    task.maxTokens = maxBatchAnswerTokens;
    task.deadline = leased.due;
    task.fingerprint = concat("item-", item);
    return task;
}

} // namespace rattanrill::policy::bench
