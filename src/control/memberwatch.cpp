#include "memberwatch.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::control {
namespace {

/// Period of the check for members whose heartbeats have stopped.
constexpr absl::Duration checkPeriod = absl::Milliseconds(200);
/// If more time passes between two checks, this process was suspended. Heartbeats of the members
/// may then still be unread in its sockets.
constexpr absl::Duration suspensionThreshold = absl::Seconds(1);
/// Members without recent heartbeats are removed only while the directory view is younger than
/// this, because a member in an older view may have been replaced since.
constexpr absl::Duration maxViewAge = absl::Seconds(2);
/// Bounds the memory for incarnations that have left: the set is cleared when it reaches this size,
/// which is far more than the number that leave within one member timeout.
constexpr std::size_t maxLeftIncarnations = 10000;

std::string encodeHeartbeatResponse(std::uint64_t revision)
{
    return wire::encode(wire::HeartbeatResponse{revision});
}

/// Returns true when the member is no longer in the directory or was replaced by another
/// incarnation.
bool isRemoved(const Outcome<std::string> &outcome)
{
    return outcome.ok() || outcome.failure().code == ErrorCode::NotFound
           || outcome.failure().code == ErrorCode::Conflict;
}

std::uint64_t revisionOf(const std::string &directoryResult)
{
    const auto result =
            outcomeOf([&] { return wire::decode<wire::DirectoryResult>(directoryResult); });
    return result.ok() ? result.value().revision : 0;
}

} // namespace

MemberWatch::MemberWatch(const ControlSettings &settings, const GroupHost &groups,
                         const directory::DirectorySubscriber &view, TimerService &timers,
                         const Clock &clock)
    : m_settings(settings)
    , m_groups(groups)
    , m_view(view)
    , m_timers(timers)
    , m_clock(clock)
    , m_graceStart(clock.now())
    , m_lastCheck(clock.now())
{}

void MemberWatch::start()
{
    m_timer = m_timers.subscribeEvery(checkPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->removeExpired();
    });
}

void MemberWatch::stop()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
}

void MemberWatch::heartbeat(const wire::HeartbeatRequest &request, peer::ResponseCallback reply)
{
    const replication::RaftNodeStatus status = m_groups.directory().status();
    if (status.role != replication::Role::Leader)
        return reply(m_groups.withPeerAddress(notRun(ErrorCode::NotLeader, status.leader)));
    if (!recordHeartbeat(request, status.term))
        return reply(notRun(ErrorCode::NotMember, "this incarnation has left the directory"));
    if (request.leaving)
        return leave(request.member, std::move(reply));
    if (isJoined(request.member))
        return reply(encodeHeartbeatResponse(m_view.view()->revision()));
    join(request.member, std::move(reply));
}

/// Records the heartbeat. Returns false for an incarnation that has left.
bool MemberWatch::recordHeartbeat(const wire::HeartbeatRequest &request, std::uint64_t term)
{
    const wire::Member &member = request.member;
    absl::MutexLock lock(&m_mutex);
    resetOnTermChange(term);
    if (request.leaving) {
        if (m_leftIncarnations.size() >= maxLeftIncarnations)
            m_leftIncarnations.clear();
        m_leftIncarnations.insert(member.incarnation);
        m_lastHeartbeats.erase(member.instance);
        return true;
    }
    if (m_leftIncarnations.count(member.incarnation) > 0)
        return false;
    m_lastHeartbeats[member.instance] =
            LastHeartbeat{member.incarnation, m_clock.now(), request.revisionInForce};
    return true;
}

bool MemberWatch::isJoined(const wire::Member &member) const
{
    const auto current = m_view.view()->member(member.instance);
    return current && current->incarnation == member.incarnation
           && current->peerAddress == member.peerAddress
           && current->httpAddress == member.httpAddress
           && current->failureDomain == member.failureDomain;
}

std::string MemberWatch::encodeCommand(wire::DirectoryOperation operation) const
{
    wire::DirectoryCommand command;
    command.unconditional = true;
    command.nowMs = absl::ToUnixMillis(m_clock.wallNow());
    command.operation = std::move(operation);
    return wire::encode(command);
}

void MemberWatch::join(const wire::Member &member, peer::ResponseCallback reply)
{
    const auto done = [self = shared_from_this(), member,
                       reply = std::move(reply)](const Outcome<std::string> &outcome) {
        if (!outcome.ok()) {
            log(LogLevel::Warning, "member-refused",
                {{"member", member.instance},
                 {"incarnation", member.incarnation},
                 {"code", name(outcome.failure().code)},
                 {"detail", outcome.failure().detail}});
            return reply(self->m_groups.withPeerAddress(outcome.failure()));
        }
        const std::uint64_t revision = revisionOf(outcome.value());
        log(LogLevel::Info, "member-joined",
            {{"member", member.instance},
             {"incarnation", member.incarnation},
             {"revision", revision}});
        reply(encodeHeartbeatResponse(revision));
    };
    m_groups.directory().propose(encodeCommand(wire::JoinMember{member}), done);
}

void MemberWatch::leave(const wire::Member &member, peer::ResponseCallback reply)
{
    remove(member, "leaving",
           [self = shared_from_this(),
            reply = std::move(reply)](const Outcome<std::string> &outcome) {
               if (!isRemoved(outcome))
                   return reply(self->m_groups.withPeerAddress(outcome.failure()));
               reply(encodeHeartbeatResponse(outcome.ok() ? revisionOf(outcome.value()) : 0));
           });
}

void MemberWatch::remove(const wire::Member &member, std::string_view reason,
                         std::function<void(const Outcome<std::string> &)> done)
{
    const auto finished = [member, reason = std::string(reason),
                           done = std::move(done)](const Outcome<std::string> &outcome) {
        log(isRemoved(outcome) ? LogLevel::Info : LogLevel::Warning, "member-removed",
            {{"member", member.instance},
             {"incarnation", member.incarnation},
             {"reason", reason},
             {"code", outcome.ok() ? std::string_view("ok") : name(outcome.failure().code)}});
        done(outcome);
    };
    const wire::RemoveMember operation{member.instance, member.incarnation};
    m_groups.directory().propose(encodeCommand(operation), finished);
}

void MemberWatch::resetOnTermChange(std::uint64_t term)
{
    if (term == m_term)
        return;
    m_term = term;
    m_graceStart = m_clock.now();
    m_lastHeartbeats.clear();
}

void MemberWatch::removeExpired()
{
    const replication::RaftNodeStatus status = m_groups.directory().status();
    const bool canRemove =
            status.role == replication::Role::Leader && m_view.viewAge() < maxViewAge;
    // No leader has term 0. While members cannot be removed, the change to this term discards the
    // heartbeats, so that each member gets a full timeout when removal becomes possible again.
    const std::vector<wire::Member> expired = expiredMembers(canRemove ? status.term : 0);
    if (!canRemove)
        return;
    for (const wire::Member &member : expired)
        remove(member, "silent", [](const Outcome<std::string> &) {});
}

std::vector<wire::Member> MemberWatch::expiredMembers(std::uint64_t term)
{
    const auto view = m_view.view();
    const absl::Time now = m_clock.now();
    std::vector<wire::Member> expired;
    absl::MutexLock lock(&m_mutex);
    resetOnTermChange(term);
    if (now - m_lastCheck > suspensionThreshold)
        m_graceStart = now;
    m_lastCheck = now;
    for (const auto &row : view->members()) {
        const auto found = m_lastHeartbeats.find(row.id);
        const bool hasHeartbeat = found != m_lastHeartbeats.end()
                                  && found->second.incarnation == row.record->incarnation;
        const absl::Time last =
                hasHeartbeat ? std::max(found->second.receivedAt, m_graceStart) : m_graceStart;
        if (now - last > m_settings.memberTimeout)
            expired.push_back(*row.record);
    }
    return expired;
}

std::vector<std::string> MemberWatch::membersBehind(std::uint64_t revision,
                                                    const directory::DirectoryView &view)
{
    std::vector<std::string> behind;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.members()) {
        const auto found = m_lastHeartbeats.find(row.id);
        const bool hasRevision = found != m_lastHeartbeats.end()
                                 && found->second.incarnation == row.record->incarnation
                                 && found->second.revisionInForce >= revision;
        if (!hasRevision)
            behind.push_back(row.id);
    }
    return behind;
}

} // namespace rattanrill::control
