#include "partitionclock.h"

#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"

namespace rattanrill::control {
namespace {

/// A partition counts as active for this time after its last command. The time should be longer
/// than leases and backoff delays, so that all of them have ended when the partition becomes idle.
/// A longer lease or delay may end up to idlePeriod late.
constexpr absl::Duration activePeriod = absl::Minutes(2);
/// Period of AdvanceTime commands in an idle partition. Retention periods last days, so a long
/// period is sufficient and keeps the Raft log short.
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
    m_timer = m_timers.subscribeEvery(m_settings.advanceTimePeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->advanceDuePartitions();
    });
}

void PartitionClock::stop()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
}

void PartitionClock::recordCommand(const std::string &group)
{
    absl::MutexLock lock(&m_mutex);
    m_states[group].lastCommand = m_clock.now();
}

void PartitionClock::advanceDuePartitions()
{
    for (int partition = 0; partition < m_settings.partitions; ++partition) {
        const std::string group = controlclient::batchGroupName(partition);
        if (tryBeginAdvance(group, m_groups.isLeader(group)))
            advance(group);
    }
}

bool PartitionClock::tryBeginAdvance(const std::string &group, bool isLeader)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    State &state = m_states[group];
    // A new leader has no record of the commands that the previous leader received.
    if (isLeader && !state.isLeader)
        state.lastCommand = now;
    state.isLeader = isLeader;
    const bool isActive = now - state.lastCommand < activePeriod;
    const bool due = isActive || now - state.lastAdvance >= idlePeriod;
    if (!isLeader || state.pending || !due)
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
