#include "memberwatch.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::control {
namespace {

constexpr absl::Duration checkPeriod = absl::Milliseconds(200);
/// After a longer pause between two checks this process was itself stopped, and its members'
/// heartbeats may still wait in its sockets.
constexpr absl::Duration maxCheckGap = absl::Seconds(1);
/// A view older than this may show members that have changed since.
constexpr absl::Duration maxViewAge = absl::Seconds(2);
/// Bounds the memory of left incarnations; far more than leave within one member timeout.
constexpr std::size_t maxLeft = 10000;

std::string heartbeatAnswer(std::uint64_t revision)
{
    return wire::encode(wire::HeartbeatResponse{revision});
}

/// The member is gone, or another incarnation has taken its place.
bool isGone(const Outcome<std::string> &outcome)
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
    , m_graceFrom(clock.now())
    , m_lastCheck(clock.now())
{}

void MemberWatch::start()
{
    m_timer = m_timers.subscribeEvery(checkPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->removeSilent();
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
    if (!note(request, status.term))
        return reply(notRun(ErrorCode::NotMember, "this incarnation has left"));
    if (request.leaving)
        return leave(request.member, std::move(reply));
    if (isJoined(request.member))
        return reply(heartbeatAnswer(m_view.view()->revision()));
    join(request.member, std::move(reply));
}

/// Records the heartbeat; false for an incarnation that has left.
bool MemberWatch::note(const wire::HeartbeatRequest &request, std::uint64_t term)
{
    const wire::Member &member = request.member;
    absl::MutexLock lock(&m_mutex);
    observeTerm(term);
    if (request.leaving) {
        if (m_left.size() >= maxLeft)
            m_left.clear();
        m_left.insert(member.incarnation);
        m_seen.erase(member.instance);
        return true;
    }
    if (m_left.count(member.incarnation) > 0)
        return false;
    m_seen[member.instance] = Seen{member.incarnation, m_clock.now(), request.revisionInForce};
    return true;
}

bool MemberWatch::isJoined(const wire::Member &member) const
{
    const auto known = m_view.view()->member(member.instance);
    return known && known->incarnation == member.incarnation
           && known->peerAddress == member.peerAddress && known->httpAddress == member.httpAddress
           && known->failureDomain == member.failureDomain;
}

std::string MemberWatch::command(wire::DirectoryOperation operation) const
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
        reply(heartbeatAnswer(revision));
    };
    m_groups.directory().propose(command(wire::JoinMember{member}), done);
}

void MemberWatch::leave(const wire::Member &member, peer::ResponseCallback reply)
{
    remove(member, "leaving",
           [self = shared_from_this(),
            reply = std::move(reply)](const Outcome<std::string> &outcome) {
               if (!isGone(outcome))
                   return reply(self->m_groups.withPeerAddress(outcome.failure()));
               reply(heartbeatAnswer(outcome.ok() ? revisionOf(outcome.value()) : 0));
           });
}

void MemberWatch::remove(const wire::Member &member, std::string_view reason,
                         std::function<void(const Outcome<std::string> &)> done)
{
    const auto finished = [member, reason = std::string(reason),
                           done = std::move(done)](const Outcome<std::string> &outcome) {
        log(isGone(outcome) ? LogLevel::Info : LogLevel::Warning, "member-removed",
            {{"member", member.instance},
             {"incarnation", member.incarnation},
             {"reason", reason},
             {"code", outcome.ok() ? std::string_view("ok") : name(outcome.failure().code)}});
        done(outcome);
    };
    const wire::RemoveMember operation{member.instance, member.incarnation};
    m_groups.directory().propose(command(operation), finished);
}

void MemberWatch::observeTerm(std::uint64_t term)
{
    if (term == m_term)
        return;
    m_term = term;
    m_graceFrom = m_clock.now();
    m_seen.clear();
}

void MemberWatch::removeSilent()
{
    const replication::RaftNodeStatus status = m_groups.directory().status();
    const bool leads = status.role == replication::Role::Leader && m_view.age() < maxViewAge;
    const std::vector<wire::Member> silent = silentMembers(leads ? status.term : 0);
    if (!leads)
        return;
    for (const wire::Member &member : silent)
        remove(member, "silent", [](const Outcome<std::string> &) {});
}

std::vector<wire::Member> MemberWatch::silentMembers(std::uint64_t term)
{
    const auto view = m_view.view();
    const absl::Time now = m_clock.now();
    std::vector<wire::Member> silent;
    absl::MutexLock lock(&m_mutex);
    observeTerm(term);
    if (now - m_lastCheck > maxCheckGap)
        m_graceFrom = now;
    m_lastCheck = now;
    for (const auto &row : view->members()) {
        const auto seen = m_seen.find(row.id);
        const bool heard =
                seen != m_seen.end() && seen->second.incarnation == row.record->incarnation;
        const absl::Time last = heard ? std::max(seen->second.at, m_graceFrom) : m_graceFrom;
        if (now - last > m_settings.memberTimeout)
            silent.push_back(*row.record);
    }
    return silent;
}

std::vector<std::string> MemberWatch::lacking(std::uint64_t revision,
                                              const directory::DirectoryView &view)
{
    std::vector<std::string> lacking;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.members()) {
        const auto seen = m_seen.find(row.id);
        const bool reached = seen != m_seen.end()
                             && seen->second.incarnation == row.record->incarnation
                             && seen->second.revisionInForce >= revision;
        if (!reached)
            lacking.push_back(row.id);
    }
    return lacking;
}

} // namespace rattanrill::control
