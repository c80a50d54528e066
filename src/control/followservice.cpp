#include "followservice.h"

#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::control {
namespace {

/// Granularity of the polls' waits.
constexpr absl::Duration duePeriod = absl::Milliseconds(20);
/// Longest wait that a poll may ask for.
constexpr absl::Duration maxWait = absl::Seconds(60);

/// Any instance can serve a poll, so a hint to the leader would only gather all entries there.
Failure pollFailure(Failure failure)
{
    if (failure.code == ErrorCode::NotLeader) {
        failure.code = ErrorCode::NoQuorum;
        failure.detail = "no leader confirmed the directory revision";
    }
    failure.run = EffectState::NotRun;
    return failure;
}

template <typename Polls>
void answerAll(const Polls &polls, const Outcome<std::string> &outcome)
{
    for (const auto &poll : polls)
        poll.reply(outcome);
}

} // namespace

FollowService::FollowService(replication::RaftNode &directory, TimerService &timers,
                             const Clock &clock)
    : m_directory(directory)
    , m_timers(timers)
    , m_clock(clock)
{}

void FollowService::start()
{
    m_directory.onApplied([weak = weak_from_this()](std::uint64_t) {
        if (const auto self = weak.lock())
            self->applied();
    });
    m_timer = m_timers.subscribeEvery(duePeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->confirmDue();
    });
}

void FollowService::poll(const wire::PollChangesRequest &request, peer::ResponseCallback reply)
{
    const absl::Duration wait =
            std::clamp(absl::Milliseconds(request.waitMs), absl::ZeroDuration(), maxWait);
    Polls polls;
    polls.push_back(Poll{std::move(reply), m_clock.now() + wait});
    confirm(request.afterRevision, polls);
}

void FollowService::confirm(std::uint64_t afterRevision, const Polls &polls)
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
    m_directory.linearizableRead(query, [self = shared_from_this(), afterRevision, appliedBatches,
                                         polls](const Outcome<std::string> &outcome) {
        self->confirmed(afterRevision, appliedBatches, polls, outcome);
    });
}

void FollowService::confirmed(std::uint64_t afterRevision, std::uint64_t appliedBatches,
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
                                        [now](const Poll &poll) { return poll.due <= now; });
    answerAll(Polls(polls.begin(), waiting), outcome);
    polls.erase(polls.begin(), waiting);
    if (!polls.empty())
        wait(afterRevision, appliedBatches, std::move(polls));
}

void FollowService::wait(std::uint64_t afterRevision, std::uint64_t appliedBatches, Polls polls)
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

void FollowService::applied()
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

/// Confirms again just before the answer, which then proves freshness as of now instead of as of
/// the arrival of the poll.
void FollowService::confirmDue()
{
    const absl::Time now = m_clock.now();
    std::map<std::uint64_t, Polls> due;
    {
        absl::MutexLock lock(&m_mutex);
        for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
            Polls &polls = entry->second;
            const auto expired = std::partition(polls.begin(), polls.end(),
                                                [now](const Poll &poll) { return poll.due > now; });
            if (expired != polls.end())
                std::move(expired, polls.end(), std::back_inserter(due[entry->first]));
            polls.erase(expired, polls.end());
            entry = polls.empty() ? m_waiting.erase(entry) : std::next(entry);
        }
    }
    for (const auto &[afterRevision, polls] : due)
        confirm(afterRevision, polls);
}

void FollowService::stop()
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
