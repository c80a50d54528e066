#include "pollchangesservice.h"

#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::control {
namespace {

/// Period of the check for polls whose deadline has passed.
constexpr absl::Duration deadlineCheckPeriod = absl::Milliseconds(20);
/// Maximum time that a poll can wait; a longer requested wait is shortened to it.
constexpr absl::Duration maxPollWait = absl::Seconds(60);

/// Replaces NotLeader by NoQuorum: every instance can serve a poll, and a failure that names the
/// leader would make all entries poll the leader.
Failure pollFailure(Failure failure)
{
    if (failure.code == ErrorCode::NotLeader) {
        failure.code = ErrorCode::NoQuorum;
        failure.detail = "no leader confirmed the directory revision";
    }
    failure.effect = EffectState::NotRun;
    return failure;
}

template <typename Polls>
void replyToAll(const Polls &polls, const Outcome<std::string> &outcome)
{
    for (const auto &poll : polls)
        poll.reply(outcome);
}

} // namespace

PollChangesService::PollChangesService(replication::RaftNode &directory, TimerService &timers,
                                       const Clock &clock)
    : m_directory(directory)
    , m_timers(timers)
    , m_clock(clock)
{}

void PollChangesService::start()
{
    m_directory.onApplied([weak = weak_from_this()](std::uint64_t) {
        if (const auto self = weak.lock())
            self->handleApplied();
    });
    m_timer = m_timers.subscribeEvery(deadlineCheckPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->confirmExpiredPolls();
    });
}

void PollChangesService::poll(const wire::PollChangesRequest &request, peer::ResponseCallback reply)
{
    const absl::Duration wait =
            std::clamp(absl::Milliseconds(request.waitMs), absl::ZeroDuration(), maxPollWait);
    Polls polls;
    polls.push_back(Poll{std::move(reply), m_clock.now() + wait});
    confirmPolls(request.afterRevision, polls);
}

void PollChangesService::confirmPolls(std::uint64_t afterRevision, const Polls &polls)
{
    std::uint64_t appliedBatches = 0;
    bool stopped = false;
    {
        absl::MutexLock lock(&m_mutex);
        appliedBatches = m_appliedBatches;
        stopped = m_stopped;
    }
    if (stopped)
        return replyToAll(polls, notRun(ErrorCode::Stopped, "control instance is stopping"));
    const std::string query = wire::encode(wire::DirectoryQuery{afterRevision});
    m_directory.readOnAnyReplica(query, [self = shared_from_this(), afterRevision, appliedBatches,
                                         polls](const Outcome<std::string> &outcome) {
        self->handleConfirmation(afterRevision, appliedBatches, polls, outcome);
    });
}

void PollChangesService::handleConfirmation(std::uint64_t afterRevision,
                                            std::uint64_t appliedBatches, Polls polls,
                                            const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return replyToAll(polls, pollFailure(outcome.failure()));
    const auto response =
            outcomeOf([&] { return wire::decode<wire::PollChangesResponse>(outcome.value()); });
    if (!response.ok())
        return replyToAll(polls, notRun(ErrorCode::Internal, response.failure().detail));
    if (response.value().revision > afterRevision)
        return replyToAll(polls, outcome);
    const absl::Time now = m_clock.now();
    const auto waiting = std::partition(polls.begin(), polls.end(),
                                        [now](const Poll &poll) { return poll.deadline <= now; });
    replyToAll(Polls(polls.begin(), waiting), outcome);
    polls.erase(polls.begin(), waiting);
    if (!polls.empty())
        enqueue(afterRevision, appliedBatches, std::move(polls));
}

void PollChangesService::enqueue(std::uint64_t afterRevision, std::uint64_t appliedBatches,
                                 Polls polls)
{
    {
        absl::MutexLock lock(&m_mutex);
        if (!m_stopped && appliedBatches == m_appliedBatches) {
            Polls &waiting = m_waiting[afterRevision];
            std::move(polls.begin(), polls.end(), std::back_inserter(waiting));
            return;
        }
    }
    confirmPolls(afterRevision, polls);
}

void PollChangesService::handleApplied()
{
    std::map<std::uint64_t, Polls> waiting;
    {
        absl::MutexLock lock(&m_mutex);
        ++m_appliedBatches;
        waiting.swap(m_waiting);
    }
    for (const auto &[afterRevision, polls] : waiting)
        confirmPolls(afterRevision, polls);
}

/// Polls whose deadline has passed are confirmed once more before the reply, so that the response
/// proves freshness at the time of the reply and not only at the arrival of the poll.
void PollChangesService::confirmExpiredPolls()
{
    const absl::Time now = m_clock.now();
    std::map<std::uint64_t, Polls> due;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
            Polls &polls = entry->second;
            const auto expired =
                    std::partition(polls.begin(), polls.end(),
                                   [now](const Poll &poll) { return poll.deadline > now; });
            if (expired != polls.end())
                std::move(expired, polls.end(), std::back_inserter(due[entry->first]));
            polls.erase(expired, polls.end());
            entry = polls.empty() ? m_waiting.erase(entry) : std::next(entry);
        }
    }
    for (const auto &[afterRevision, polls] : due)
        confirmPolls(afterRevision, polls);
}

void PollChangesService::stop()
{
    std::map<std::uint64_t, Polls> waiting;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopped = true;
        waiting.swap(m_waiting);
    }
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
    for (const auto &[afterRevision, polls] : waiting)
        replyToAll(polls, notRun(ErrorCode::Stopped, "control instance is stopping"));
}

} // namespace rattanrill::control
