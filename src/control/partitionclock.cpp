#include "partitionclock.h"

#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"

namespace rattanrill::control {
namespace {

/// A partition counts as working for this long after its last command: longer than leases and
/// backoff delays, so that none is left when it ends.
constexpr absl::Duration workingTime = absl::Minutes(2);
/// Retention is counted in days, so an idle partition needs few log entries.
constexpr absl::Duration idlePeriod = absl::Minutes(1);

} // namespace

PartitionClock::PartitionClock(const ControlSettings &settings, const GroupHost &groups,
                               TimerService &timers, const Clock &clock)
    : m_settings(settings)
    , m_groups(groups)
    , m_timers(timers)
    , m_clock(clock)
{}

void PartitionClock::start()
{
    m_timer = m_timers.subscribeEvery(m_settings.advanceTime, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->tick();
    });
}

void PartitionClock::stop()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
}

void PartitionClock::noteWork(const std::string &group)
{
    absl::MutexLock lock(&m_mutex);
    m_states[group].lastWork = m_clock.now();
}

void PartitionClock::tick()
{
    for (int partition = 0; partition < m_settings.partitions; ++partition) {
        const std::string group = controlclient::batchGroup(partition);
        if (isDue(group, m_groups.leads(group)))
            advance(group);
    }
}

bool PartitionClock::isDue(const std::string &group, bool leads)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    State &state = m_states[group];
    // A new leader does not know the work of the one before.
    if (leads && !state.leads)
        state.lastWork = now;
    state.leads = leads;
    const bool works = now - state.lastWork < workingTime;
    const bool due = works || now - state.lastAdvance >= idlePeriod;
    if (!leads || state.pending || !due)
        return false;
    state.pending = true;
    state.lastAdvance = now;
    return true;
}

void PartitionClock::advance(const std::string &group)
{
    wire::BatchCommand command;
    command.nowMs = absl::ToUnixMillis(m_clock.wallNow());
    command.operation = wire::AdvanceTime{};
    m_groups.find(group)->propose(wire::encode(command),
                                  [weak = weak_from_this(), group](const Outcome<std::string> &) {
                                      if (const auto self = weak.lock()) {
                                          absl::MutexLock lock(&self->m_mutex);
                                          self->m_states[group].pending = false;
                                      }
                                  });
}

} // namespace rattanrill::control
