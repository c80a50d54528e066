#include "itemrun.h"

#include "rattanrill/base/logger.h"

#include "absl/strings/str_join.h"

#include <utility>

/// The waits of ItemRun: for a slot, for the end of a block and after a failed attempt.
namespace rattanrill::jobs {
namespace {

/// Time without progress after which an item no longer waits for the version that wrote its output,
/// or at a service, if no upstream there is usable: they may be listed and still be unreachable.
/// Long against the ejection of an upstream that fails for a moment.
constexpr absl::Duration maxStall = absl::Seconds(10);

/// Time between two checks whether an item that crashes upstreams may run again. An item that waits
/// for a slot keeps its trial by these checks, see serving::CrashGuard::isBlocked().
constexpr absl::Duration holdPeriod = absl::Seconds(1);

} // namespace

bool ItemRun::isStalled() const
{
    return stalledFor() >= maxStall;
}

std::string ItemRun::requestSender() const
{
    return m_context.upstreams.isCutOff() ? std::string() : m_context.instance;
}

/// Selects a service of the route by weight, among those that have upstreams for the item.
std::string ItemRun::chooseService() const
{
    const policy::SlotScheduler &scheduler = m_context.broker.scheduler();
    return serving::selectService(*route(), m_item.id, [&](const std::string &service) {
        return isStalled() ? scheduler.hasUsableUpstream(m_context.clock.now(), service,
                                                         requestSender(), std::nullopt)
                           : scheduler.slotCount(service) > 0;
    });
}

/// Whether the item waits for an upstream of the version that wrote its output.
bool ItemRun::needsVersion(const std::string &service) const
{
    if (!m_position.lastId() || m_restarts)
        return false;
    return !isStalled()
           || m_context.broker.scheduler().hasUsableUpstream(m_context.clock.now(), service,
                                                             requestSender(), m_outputVersion);
}

ItemRun::SlotNeeds ItemRun::slotNeeds() const
{
    SlotNeeds needs;
    needs.service = chooseService();
    needs.sender = requestSender();
    if (needsVersion(needs.service))
        needs.version = m_outputVersion;
    needs.priority = route()->priority;
    needs.completionObjective = route()->completionObjective;
    return needs;
}

void ItemRun::updateRequest()
{
    if (m_state == State::Waiting && !(slotNeeds() == m_requested))
        acquireSlot();
}

ItemWait ItemRun::waitsFor() const
{
    switch (m_state) {
    case State::Idle:
        return ItemWait::Configuration;
    case State::Running:
        return ItemWait::Response;
    case State::BackingOff:
        if (isHeld())
            return ItemWait::BlockEnd;
        return m_backoffTimer != 0 ? ItemWait::Backoff : ItemWait::FailureStored;
    case State::Waiting:
    case State::Ended:
        break;
    }
    return ItemWait::Slot;
}

StalledItem ItemRun::stall() const
{
    return {m_job->id,
            m_item.id,
            waitsFor(),
            stalledFor(),
            m_attempts,
            m_requested.service,
            m_requested.version.value_or(std::string()),
            m_requested.sender};
}

void ItemRun::acquireSlot()
{
    if (endIfGivenUp())
        return;
    // A leader that takes over now must know each failure, or the item has further attempts.
    if (m_storedServerErrors < m_serverErrors) {
        m_state = State::BackingOff;
        return;
    }
    if (isBlocked())
        return hold();
    endHold();
    m_requested = slotNeeds();
    policy::SlotTask task;
    task.id = taskId();
    task.service = m_requested.service;
    task.workspace = m_job->workspace;
    task.failureDomain = m_context.failureDomain;
    task.sender = m_requested.sender;
    task.kind = policy::TaskKind::Batch;
    task.priority = m_requested.priority;
    task.expectedTokens = static_cast<double>(m_item.tokens);
    task.deadline = m_context.clock.now() + (m_requested.completionObjective - age());
    task.priorRunTime = m_priorRunTime;
    task.version = m_requested.version;
    m_state = State::Waiting;
    serving::SlotBroker::BatchHandlers handlers;
    handlers.granted = [self = shared_from_this()](const policy::GrantSlot &grant) {
        self->handleSlotGranted(grant);
    };
    handlers.preempted = [self = shared_from_this()] { self->handleSlotPreempted(); };
    m_context.broker.acquireBatch(task, std::move(handlers));
}

bool ItemRun::isBlocked() const
{
    return m_context.crashGuard.isBlocked(m_traits.all(), policy::TaskKind::Batch);
}

void ItemRun::hold()
{
    // The item may have requested a slot before it was blocked.
    m_context.broker.cancelBatch(taskId());
    if (!isHeld()) {
        m_heldSince = m_context.clock.now();
        log(LogLevel::Warning, "item-held",
            {{"job", m_job->id},
             {"item", m_item.id},
             {"traits", absl::StrJoin(m_traits.all(), ",")},
             {"run", m_attempts}});
    }
    if (m_trialTimer == 0)
        m_trialTimer =
                m_context.loop.timers().subscribeEvery(holdPeriod, [self = shared_from_this()] {
                    if (self->m_state == State::Waiting)
                        self->isBlocked();
                });
    retryAfter(holdPeriod);
}

void ItemRun::endHold()
{
    if (!isHeld())
        return;
    log(LogLevel::Info, "item-released",
        {{"job", m_job->id},
         {"item", m_item.id},
         {"heldMs", absl::ToInt64Milliseconds(m_context.clock.now() - *m_heldSince)},
         {"run", m_attempts}});
    m_heldSince.reset();
}

void ItemRun::retryAfter(absl::Duration delay)
{
    m_state = State::BackingOff;
    cancelTimer(m_backoffTimer);
    m_backoffTimer = m_context.loop.timers().subscribeOnce(delay, [self = shared_from_this()] {
        self->m_backoffTimer = 0;
        if (self->m_state == State::BackingOff)
            self->acquireSlot();
    });
}

} // namespace rattanrill::jobs
