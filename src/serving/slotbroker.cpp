#include "rattanrill/serving/slotbroker.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace rattanrill::serving {
namespace {

/// Period of the check for requests and slots that have expired.
constexpr absl::Duration sweepPeriod = absl::Seconds(1);
/// Retry-After of a stream whose version is not known here. Another entry may know it.
constexpr absl::Duration unknownVersionRetryAfter = absl::Milliseconds(300);
constexpr std::size_t maxReportedStreams = 4096;
/// An instance that has just started may request slots before the list of live instances shows it.
/// One that was lost has been silent for longer than this.
constexpr absl::Duration minOrphanAge = absl::Milliseconds(1500);
/// Longest wait for a list of upstreams that was read after a resumption arrived: the period of the
/// reads, the duration of one and the wait of a poll.
constexpr absl::Duration maxListWait = absl::Seconds(2);
/// Number of prompt tokens that cost an upstream as much as one output token.
constexpr double promptTokensPerOutputToken = 100;

std::string taskId(const std::string &instance, const std::string &request)
{
    return concat(instance, "/", request);
}

} // namespace

SlotBroker::SlotBroker(TimerService &timers, const Clock &clock, SlotBrokerSettings settings)
    : m_timers(timers)
    , m_clock(clock)
    , m_settings(settings)
    , m_scheduler(settings.scheduler)
{
    m_sweepTimer = m_timers.subscribeEvery(sweepPeriod, [this] { sweep(); });
}

SlotBroker::~SlotBroker()
{
    m_timers.unsubscribe(m_sweepTimer);
    if (m_decisionTimer != 0)
        m_timers.unsubscribe(m_decisionTimer);
}

void SlotBroker::reset()
{
    const absl::Time now = m_clock.now();
    while (!m_online.empty()) {
        const std::string id = m_online.begin()->first;
        m_scheduler.cancel(id);
        removeRequest(id);
    }
    const auto batch = std::exchange(m_batch, {});
    for (const auto &[id, handlers] : batch)
        m_scheduler.cancel(id);
    m_scheduler.beginTakeover(now);
    m_scheduler.clearAccumulatedRequests(now);
    m_buckets.clear();
    m_resetAt = now;
    m_reporters.clear();
    if (m_deployment)
        setDeployment(m_deployment);
}

void SlotBroker::setDeployment(std::shared_ptr<const DeploymentIndex> deployment)
{
    m_deployment = std::move(deployment);
    const absl::Time now = m_clock.now();
    for (const Workspace &workspace : m_deployment->deployment().workspaces) {
        const policy::RateContract contract = contractOf(workspace);
        const auto [found, isNew] = m_buckets.try_emplace(workspace.name, initialBucket(contract));
        if (!isNew)
            found->second.setContract(now, contract);
    }
    applyWarmUp();
}

void SlotBroker::acquire(const wire::SlotRequest &request, ResponseCallback callback)
{
    const absl::Time now = m_clock.now();
    const std::string id = taskId(request.instance, request.requestId);
    // A repeated request has what it named at first.
    if (!request.again)
        recordLinks(request.instance, request.needsForwarder);
    const auto existing = m_online.find(id);
    if (request.again && existing != m_online.end()) {
        existing->second.callback = std::move(callback);
        if (const auto pendingResponse =
                    std::exchange(existing->second.pendingResponse, std::nullopt))
            return respond(id, *pendingResponse);
        return startWaitTimer(id);
    }
    removeRequest(id);
    OnlineRequest &online = m_online[id];
    online.instance = request.instance;
    online.workspace = request.workspace;
    online.stream = request.stream;
    online.service = request.service;
    online.failureDomain = request.failureDomain;
    online.chargesRate = request.chargesRate;
    online.needsForwarder = request.needsForwarder;
    online.requestedAt = now;
    online.expires = now + absl::Milliseconds(request.deadlineMs) + m_settings.reclaimDelay;
    online.callback = std::move(callback);
    std::optional<policy::StreamOrigin> origin;
    if (request.resumed) {
        origin = recordedOrigin(request);
        if (!origin && !onlyOrigin(request))
            return reject(id, wire::SlotOutcome::VersionUnknown, unknownVersionRetryAfter);
        if (!origin)
            return awaitRead(id, request);
        if (origin->service != request.service)
            return reject(id, wire::SlotOutcome::VersionGone, absl::ZeroDuration());
    }
    schedule(id, request, origin);
}

policy::SlotTask SlotBroker::taskOf(absl::Time now, const std::string &id,
                                    const wire::SlotRequest &request,
                                    const std::optional<policy::StreamOrigin> &origin) const
{
    policy::SlotTask task;
    task.id = id;
    task.service = request.service;
    task.workspace = request.workspace;
    task.failureDomain = request.failureDomain;
    // The links of the entry that forwards the call matter, which is chosen with the grant.
    task.sender = request.needsForwarder ? std::string() : request.instance;
    task.priority = static_cast<int>(request.priority);
    task.expectedTokens = 1 + static_cast<double>(request.outputTokens)
                          + static_cast<double>(request.promptTokens) / promptTokensPerOutputToken;
    task.deadline = now
                    + std::min(absl::Milliseconds(request.objectiveMs) * m_settings.maxWaitFraction,
                               absl::Milliseconds(request.deadlineMs));
    task.maxRetryAfter = absl::Milliseconds(request.deadlineMs) * m_settings.maxRetryAfterFraction;
    task.excluded = request.excluded;
    if (origin)
        task.version = origin->version;
    return task;
}

void SlotBroker::schedule(const std::string &id, const wire::SlotRequest &request,
                          const std::optional<policy::StreamOrigin> &origin)
{
    const absl::Time now = m_clock.now();
    if (const auto wait = tokenWait(now, request))
        return rejectOverRate(id, *wait);
    m_scheduler.request(now, taskOf(now, id, request, origin));
    decide();
    startWaitTimer(id);
}

/// Time after its last slot was granted within which callers resume a stream.
absl::Duration SlotBroker::resumptionWindow() const
{
    absl::Duration longest = absl::ZeroDuration();
    for (const Route &route : m_deployment->deployment().routes) {
        if (route.kind == RouteKind::Streaming)
            longest = std::max(longest, route.timeout);
    }
    return longest + m_settings.resumptionMargin;
}

std::optional<policy::StreamOrigin>
SlotBroker::recordedOrigin(const wire::SlotRequest &request) const
{
    if (request.versionKnown)
        return policy::StreamOrigin{request.service, request.version};
    return m_streamOrigins.find(request.stream);
}

/// Returns the origin of a stream without a record: it is known only if all upstreams of the
/// service had the same version for as long as callers resume streams.
std::optional<policy::StreamOrigin> SlotBroker::onlyOrigin(const wire::SlotRequest &request) const
{
    if (!m_deployment)
        return std::nullopt;
    const auto only = m_versions.onlyVersion(request.service, m_clock.now() - resumptionWindow());
    return only ? std::optional(policy::StreamOrigin{request.service, *only}) : std::nullopt;
}

/// Holds a resumption until the list has been read after its arrival. The list known now may be
/// older than the one of the process that began the stream, which may show another version.
void SlotBroker::awaitRead(const std::string &id, const wire::SlotRequest &request)
{
    const absl::Time now = m_clock.now();
    const absl::Duration wait = std::min(maxListWait, absl::Milliseconds(request.deadlineMs) / 2);
    m_awaitingRead[id] = {request, now, now + wait};
    startWaitTimer(id);
}

/// Decides on the resumptions whose arrival the list of upstreams now covers.
void SlotBroker::resumeAfterRead()
{
    std::vector<std::string> covered;
    for (const auto &[id, awaiting] : m_awaitingRead) {
        if (m_versions.isReadSince(awaiting.arrivedAt))
            covered.push_back(id);
    }
    for (const std::string &id : covered) {
        const auto found = m_awaitingRead.find(id);
        if (found == m_awaitingRead.end())
            continue;
        wire::SlotRequest request = found->second.request;
        request.deadlineMs -= absl::ToInt64Milliseconds(m_clock.now() - found->second.arrivedAt);
        m_awaitingRead.erase(found);
        const auto origin = onlyOrigin(request);
        if (origin)
            schedule(id, request, origin);
        else
            reject(id, wire::SlotOutcome::VersionUnknown, unknownVersionRetryAfter);
    }
}

std::optional<policy::StreamOrigin> SlotBroker::streamOrigin(const std::string &stream) const
{
    return m_streamOrigins.find(stream);
}

void SlotBroker::recordStream(const std::string &stream, const policy::StreamOrigin &origin)
{
    m_streamOrigins.record(m_clock.now(), stream, origin);
}

std::vector<policy::StreamRecord> SlotBroker::streamsSince(absl::Time since) const
{
    return m_streamOrigins.recordedSince(since, maxReportedStreams);
}

/// Responds with the outcome Waiting when no decision has been made after maxResponseDelay.
void SlotBroker::startWaitTimer(const std::string &id)
{
    const auto found = m_online.find(id);
    if (found == m_online.end() || !found->second.callback)
        return;
    if (found->second.waitTimer != 0)
        m_timers.unsubscribe(found->second.waitTimer);
    found->second.waitTimer = m_timers.subscribeOnce(m_settings.maxResponseDelay, [this, id] {
        const auto pending = m_online.find(id);
        if (pending == m_online.end())
            return;
        pending->second.waitTimer = 0;
        const auto awaiting = m_awaitingRead.find(id);
        if (awaiting != m_awaitingRead.end() && awaiting->second.until <= m_clock.now())
            return reject(id, wire::SlotOutcome::VersionUnknown, unknownVersionRetryAfter);
        wire::SlotResponse response;
        response.verdict = wire::SlotOutcome::Waiting;
        if (const ResponseCallback callback = std::exchange(pending->second.callback, nullptr))
            callback(response);
    });
}

/// Sends the outcome to the requester, or stores it until the requester repeats the request. A
/// request that was not granted is removed once its outcome has been sent.
void SlotBroker::respond(const std::string &id, wire::SlotResponse response)
{
    const auto found = m_online.find(id);
    if (found == m_online.end())
        return;
    if (const policy::TokenBucket *rateBucket = bucket(found->second.workspace))
        response.rateLevel = rateBucket->level(m_clock.now());
    m_awaitingRead.erase(id);
    OnlineRequest &online = found->second;
    online.isGranted = response.verdict == wire::SlotOutcome::Granted;
    if (online.waitTimer != 0)
        m_timers.unsubscribe(std::exchange(online.waitTimer, 0));
    const ResponseCallback callback = std::exchange(online.callback, nullptr);
    if (!callback) {
        online.pendingResponse = response;
        return;
    }
    if (!online.isGranted)
        m_online.erase(found);
    callback(response);
}

/// Removes a request. A requester that still waits for the outcome receives NoSlot.
void SlotBroker::removeRequest(const std::string &id)
{
    const auto found = m_online.find(id);
    if (found == m_online.end())
        return;
    m_awaitingRead.erase(id);
    if (found->second.waitTimer != 0)
        m_timers.unsubscribe(found->second.waitTimer);
    m_forwarders.release(found->second.forwarder);
    const ResponseCallback pending = std::exchange(found->second.callback, nullptr);
    m_online.erase(found);
    if (pending)
        pending(wire::SlotResponse());
}

void SlotBroker::release(const wire::SlotRelease &release)
{
    const std::string id = taskId(release.instance, release.requestId);
    // The record of the last grant is wrong if the upstream of an earlier one responded after all.
    if (!release.stream.empty())
        recordStream(release.stream, {release.service, release.version});
    if (release.upstream.empty())
        refundRate(id);
    removeRequest(id);
    if (release.forwarderFailed)
        m_forwarders.recordFailure(m_clock.now(), release.forwarder);
    if (release.isCutOff)
        recordLinks(release.instance, true);
    const auto reason = policy::releaseReasonFromName(release.end);
    releaseSlot(id, release.isWitness && reason ? *reason : policy::ReleaseReason::Cancelled,
                release.forwarder.empty() ? release.instance : release.forwarder);
    decide();
}

void SlotBroker::releaseSlot(const std::string &task, policy::ReleaseReason reason,
                             const std::string &observer)
{
    const auto ejection = m_scheduler.release(m_clock.now(), task, reason, observer);
    if (!ejection)
        return;
    ++m_ejectionCounts[reason];
    log(LogLevel::Info, "upstream-ejected",
        {{"upstream", ejection->upstream},
         {"observer", ejection->observer},
         {"failedObservers", static_cast<std::int64_t>(ejection->failedObservers)},
         {"task", task},
         {"reason", policy::name(reason)},
         {"ejectedMs", absl::ToInt64Milliseconds(ejection->length)},
         {"runningTasks", ejection->runningTasks}});
}

std::uint64_t SlotBroker::ejectionCount(policy::ReleaseReason reason) const
{
    const auto found = m_ejectionCounts.find(reason);
    return found == m_ejectionCounts.end() ? 0 : found->second;
}

void SlotBroker::adoptHeldSlots(const wire::HeldSlots &held)
{
    // A report may be repeated although it was received.
    const bool isFirstReport = m_reporters.insert(held.instance).second;
    for (const wire::RateCharge &charge : held.charges) {
        if (!isFromFormerBroker(charge))
            chargeRates({charge});
        else if (isFirstReport)
            addShare(charge);
    }
    const absl::Time now = m_clock.now();
    for (const wire::StreamVersion &stream : held.streams) {
        if (!m_streamOrigins.find(stream.stream))
            m_streamOrigins.record(now, stream.stream, {stream.service, stream.version});
    }
    for (const wire::HeldSlot &slot : held.places) {
        const std::string id = taskId(held.instance, slot.requestId);
        if (m_online.count(id) != 0)
            continue;
        policy::SlotTask task;
        task.id = id;
        task.service = slot.service;
        task.workspace = slot.workspace;
        task.sender = held.instance;
        m_scheduler.adopt(now, task, slot.upstream);
        if (!m_scheduler.contains(id))
            continue;
        OnlineRequest &online = m_online[id];
        online.instance = held.instance;
        online.workspace = slot.workspace;
        online.isGranted = true;
        online.requestedAt = now;
        online.expires = now + absl::Milliseconds(slot.deadlineMs) + m_settings.reclaimDelay;
    }
}

void SlotBroker::setLiveEntries(std::vector<policy::Forwarder> entries)
{
    const absl::Time orphanedBefore = m_clock.now() - minOrphanAge;
    std::set<std::string> live;
    for (const policy::Forwarder &entry : entries)
        live.insert(entry.instance);
    m_forwarders.setForwarders(std::move(entries));
    std::vector<std::string> orphaned;
    for (const auto &[id, online] : m_online) {
        if (live.count(online.instance) == 0 && online.requestedAt <= orphanedBefore)
            orphaned.push_back(id);
    }
    for (const std::string &id : orphaned) {
        removeRequest(id);
        m_scheduler.cancel(id);
    }
    if (!orphaned.empty())
        decide();
}

void SlotBroker::acquireBatch(const policy::SlotTask &task, BatchHandlers handlers)
{
    m_batch[task.id] = std::move(handlers);
    m_scheduler.request(m_clock.now(), task);
    decide();
}

void SlotBroker::releaseBatch(const std::string &task, policy::ReleaseReason reason,
                              const std::string &observer)
{
    m_batch.erase(task);
    releaseSlot(task, reason, observer);
    decide();
}

void SlotBroker::cancelBatch(const std::string &task)
{
    m_batch.erase(task);
    m_scheduler.cancel(task);
    decide();
}

/// A handler may request or release a slot while decisions are carried out. The nested call returns
/// at once; the outer call repeats until there are no more decisions.
void SlotBroker::decide()
{
    if (m_deciding)
        return;
    m_deciding = true;
    for (auto decisions = m_scheduler.decide(m_clock.now()); !decisions.empty();
         decisions = m_scheduler.decide(m_clock.now())) {
        for (const policy::SlotDecision &decision : decisions)
            std::visit([this](const auto &typedDecision) { applyDecision(typedDecision); },
                       decision);
    }
    m_deciding = false;
    armTimer();
}

void SlotBroker::applyDecision(const policy::GrantSlot &decision)
{
    const auto batch = m_batch.find(decision.task);
    if (batch != m_batch.end()) {
        const auto granted = batch->second.granted;
        return granted(decision);
    }
    const auto found = m_online.find(decision.task);
    if (found == m_online.end())
        return m_scheduler.cancel(decision.task);
    OnlineRequest &online = found->second;
    policy::TokenBucket *rateBucket = online.chargesRate ? bucket(online.workspace) : nullptr;
    if (rateBucket != nullptr) {
        const policy::RateGrant grant = rateBucket->take(m_clock.now(), 1);
        if (!grant.granted) {
            m_scheduler.cancel(decision.task);
            return rejectOverRate(decision.task, grant.wait);
        }
    }
    wire::SlotResponse response;
    response.verdict = wire::SlotOutcome::Granted;
    response.upstream = decision.upstream;
    response.address = decision.address;
    response.version = decision.version;
    if (online.needsForwarder) {
        const auto forwarder =
                chooseForwarder(online.instance, online.failureDomain, decision.upstream);
        response.forwarder = online.forwarder = forwarder ? forwarder->instance : std::string();
        response.forwarderAddress = forwarder ? forwarder->address : std::string();
    }
    if (!online.stream.empty())
        recordStream(online.stream, {online.service, decision.version});
    respond(decision.task, response);
}

void SlotBroker::applyDecision(const policy::RejectSlot &decision)
{
    reject(decision.task,
           decision.isVersionGone ? wire::SlotOutcome::VersionGone : wire::SlotOutcome::NoSlot,
           decision.retryAfter);
}

void SlotBroker::reject(const std::string &id, wire::SlotOutcome outcome, absl::Duration retryAfter)
{
    wire::SlotResponse response;
    response.verdict = outcome;
    response.retryAfterMs = absl::ToInt64Milliseconds(retryAfter);
    respond(id, response);
}

void SlotBroker::applyDecision(const policy::PreemptSlot &decision)
{
    const auto found = m_batch.find(decision.task);
    if (found == m_batch.end())
        return;
    const auto preempted = found->second.preempted;
    m_batch.erase(found);
    preempted();
}

void SlotBroker::rejectOverRate(const std::string &id, absl::Duration wait)
{
    // Retry-After is at most 60 s: with a low rate, the wait for a token can be much longer.
    reject(id, wire::SlotOutcome::OverRate, std::min(wait, absl::Seconds(60)));
}

void SlotBroker::armTimer()
{
    if (m_decisionTimer != 0)
        m_timers.unsubscribe(std::exchange(m_decisionTimer, 0));
    const absl::Time next = m_scheduler.nextDecision();
    if (next == absl::InfiniteFuture())
        return;
    const absl::Duration delay = std::max(next - m_clock.now(), absl::ZeroDuration());
    m_decisionTimer = m_timers.subscribeOnce(delay, [this] {
        m_decisionTimer = 0;
        decide();
    });
}

void SlotBroker::sweep()
{
    updateCold();
    const absl::Time now = m_clock.now();
    std::vector<std::string> expired;
    for (const auto &[id, online] : m_online) {
        if (online.expires < now)
            expired.push_back(id);
    }
    for (const std::string &id : expired) {
        log(LogLevel::Warning, "place-expired",
            {{"work", id}, {"instance", m_online.at(id).instance}});
        removeRequest(id);
        m_scheduler.cancel(id);
    }
    // nextDecision() does not take into account when ejections and the grace period of a takeover
    // end, so decide() is also called periodically.
    decide();
    logLoads();
}

void SlotBroker::logLoads() const
{
    for (const policy::ServiceLoad &load : m_scheduler.serviceLoads(m_clock.now()))
        log(LogLevel::Debug, "service-load",
            {{"service", load.service},
             {"running", load.running},
             {"spread", load.spread},
             {"highestPace", load.highestPace}});
}

} // namespace rattanrill::serving
