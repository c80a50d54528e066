#pragma once

#include "controlsettings.h"
#include "grouphost.h"

#include "rattanrill/base/timerservice.h"
#include "rattanrill/directory/directorysubscriber.h"
#include "rattanrill/peer/transport.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::control {

/// Members of the directory by their heartbeats: joins new incarnations and removes silent ones.
/// Works on the directory leader only; heartbeats are kept in its memory, so a new leader waits a
/// full member timeout before it removes anybody.
class MemberWatch : public std::enable_shared_from_this<MemberWatch>
{
public:
    /// \a view is this instance's own copy of the directory.
    MemberWatch(const ControlSettings &settings, const GroupHost &groups,
                const directory::DirectorySubscriber &view, TimerService &timers,
                const Clock &clock);

    void start();
    void stop();
    /// Answers with an encoded wire::HeartbeatResponse. Fails with NotLeader, with the leader's
    /// peer address as detail, with NotMember for an incarnation that has left or was replaced, or
    /// as RaftNode::propose().
    void heartbeat(const wire::HeartbeatRequest &request, peer::ResponseCallback reply);
    /// Members whose last heartbeat to this leader reported less than \a revision, or none.
    std::vector<std::string> lacking(std::uint64_t revision, const directory::DirectoryView &view);
    /// Removes members that have been silent; a timer calls it.
    void removeSilent();

private:
    struct Seen
    {
        std::string incarnation;
        absl::Time at;
        std::uint64_t revisionInForce = 0;
    };

    bool isJoined(const wire::Member &member) const;
    bool note(const wire::HeartbeatRequest &request, std::uint64_t term);
    void join(const wire::Member &member, peer::ResponseCallback reply);
    void leave(const wire::Member &member, peer::ResponseCallback reply);
    void remove(const wire::Member &member, std::string_view reason,
                std::function<void(const Outcome<std::string> &)> done);
    void observeTerm(std::uint64_t term) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::vector<wire::Member> silentMembers(std::uint64_t term);
    std::string command(wire::DirectoryOperation operation) const;

    const ControlSettings &m_settings;
    const GroupHost &m_groups;
    const directory::DirectorySubscriber &m_view;
    TimerService &m_timers;
    const Clock &m_clock;
    TimerService::TimerId m_timer = 0;

    absl::Mutex m_mutex;
    std::map<std::string, Seen> m_seen ABSL_GUARDED_BY(m_mutex);
    /// Incarnations that have left, so that a late heartbeat does not join them again.
    std::set<std::string> m_left ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_term ABSL_GUARDED_BY(m_mutex) = 0;
    /// Silence counts from here at the earliest.
    absl::Time m_graceFrom ABSL_GUARDED_BY(m_mutex);
    absl::Time m_lastCheck ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::control
