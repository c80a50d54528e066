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

/// Maintains the members of the directory from their heartbeats: adds new incarnations and removes
/// members whose heartbeats have stopped. Only the directory leader does this. It keeps the
/// heartbeats in memory only, so a new leader waits a full member timeout before it removes a
/// member.
class MemberWatch : public std::enable_shared_from_this<MemberWatch>
{
public:
    /// \a view is the directory view of this instance.
    MemberWatch(const ControlSettings &settings, const GroupHost &groups,
                const directory::DirectorySubscriber &view, TimerService &timers,
                const Clock &clock);

    void start();
    void stop();
    /// Replies with an encoded wire::HeartbeatResponse. Fails with NotLeader and the leader's peer
    /// address as detail, with NotMember for an incarnation that has left or was replaced, or like
    /// RaftNode::propose().
    void heartbeat(const wire::HeartbeatRequest &request, peer::ResponseCallback reply);
    /// Returns the members of \a view whose last heartbeat to this leader reported a revision in
    /// force below \a revision, and those from which it has received no heartbeat.
    std::vector<std::string> membersBehind(std::uint64_t revision,
                                           const directory::DirectoryView &view);
    /// Removes members without a heartbeat within the member timeout. Called by a timer.
    void removeExpired();

private:
    struct LastHeartbeat
    {
        std::string incarnation;
        absl::Time receivedAt;
        std::uint64_t revisionInForce = 0;
    };

    bool isJoined(const wire::Member &member) const;
    bool recordHeartbeat(const wire::HeartbeatRequest &request, std::uint64_t term);
    void join(const wire::Member &member, peer::ResponseCallback reply);
    void leave(const wire::Member &member, peer::ResponseCallback reply);
    void remove(const wire::Member &member, std::string_view reason,
                std::function<void(const Outcome<std::string> &)> done);
    /// Discards the heartbeats of an earlier term and restarts all member timeouts.
    void resetOnTermChange(std::uint64_t term) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    std::vector<wire::Member> expiredMembers(std::uint64_t term);
    std::string encodeCommand(wire::DirectoryOperation operation) const;

    const ControlSettings &m_settings;
    const GroupHost &m_groups;
    const directory::DirectorySubscriber &m_view;
    TimerService &m_timers;
    const Clock &m_clock;
    TimerService::TimerId m_timer = 0;

    absl::Mutex m_mutex;
    std::map<std::string, LastHeartbeat> m_lastHeartbeats ABSL_GUARDED_BY(m_mutex);
    /// Incarnations that have left. A heartbeat that arrives late must not add them again.
    std::set<std::string> m_leftIncarnations ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_term ABSL_GUARDED_BY(m_mutex) = 0;
    /// Earliest start of a member timeout: an earlier heartbeat counts as received at this time.
    /// Set when the term changes and after this process was suspended.
    absl::Time m_graceStart ABSL_GUARDED_BY(m_mutex);
    absl::Time m_lastCheck ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::control
