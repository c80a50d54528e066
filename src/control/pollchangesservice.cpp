#include "pollchangesservice.h"

#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::control {
namespace {

/// Period of the check for polls whose deadline has passed.
constexpr absl::Duration deadlineCheckPeriod = absl::Milliseconds(20);
/// Upper bound of the wait that a poll requests.
constexpr absl::Duration maxWait = absl::Seconds(60);

/// Replaces NotLeader by NoQuorum: every instance can serve a poll, and with the leader's address
/// all entries would poll the leader.
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
void answerAll(const Polls &polls, const Outcome<std::string> &outcome)
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
            self->confirmExpired();
    });
}

void PollChangesService::poll(const wire::PollChangesRequest &request, peer::ResponseCallback reply)
{
    const absl::Duration wait =
            std::clamp(absl::Milliseconds(request.waitMs), absl::ZeroDuration(), maxWait);
    Polls polls;
    polls.push_back(Poll{std::move(reply), m_clock.now() + wait});
    confirm(request.afterRevision, polls);
}

void PollChangesService::confirm(std::uint64_t afterRevision, const Polls &polls)
{
    std::uint64_t appliedBatches = 0;
    bool stopped = false;
    {
        absl::MutexLock lock(&m_mutex);
        appliedBatches = m_appliedBatches;
        stopped = m_stopped;
    }
    if (stopped)
        return answerAll(polls, notRun(ErrorCode::Stopped, "control instance is stopping"));
    const std::string query = wire::encode(wire::DirectoryQuery{afterRevision});
    m_directory.readOnAnyReplica(query, [self = shared_from_this(), afterRevision, appliedBatches,
                                         polls](const Outcome<std::string> &outcome) {
        self->handleConfirmed(afterRevision, appliedBatches, polls, outcome);
    });
}

void PollChangesService::handleConfirmed(std::uint64_t afterRevision, std::uint64_t appliedBatches,
                                         Polls polls, const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return answerAll(polls, pollFailure(outcome.failure()));
    const auto response =
            outcomeOf([&] { return wire::decode<wire::PollChangesResponse>(outcome.value()); });
    if (!response.ok())
        return answerAll(polls, notRun(ErrorCode::Internal, response.failure().detail));
    if (response.value().revision > afterRevision)
        return answerAll(polls, outcome);
    const absl::Time now = m_clock.now();
    const auto waiting = std::partition(polls.begin(), polls.end(),
                                        [now](const Poll &poll) { return poll.deadline <= now; });
    answerAll(Polls(polls.begin(), waiting), outcome);
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
    confirm(afterRevision, polls);
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
        confirm(afterRevision, polls);
}

/// Confirms the polls whose deadline has passed once more before they are answered, so that the
/// answer proves freshness as of now instead of as of the arrival of the poll.
void PollChangesService::confirmExpired()
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
        confirm(afterRevision, polls);
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
        answerAll(polls, notRun(ErrorCode::Stopped, "control instance is stopping"));
}

} // namespace rattanrill::control
