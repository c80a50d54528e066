#pragma once

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/policy/upstreamlinks.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// Judges the links of this process to the upstreams, by what its caller records of calls, by
/// attempts to connect (probes) and by what established connections acknowledge.
///
/// Timers and attempts to connect share the ownership, so the monitor is held by a shared_ptr. Its
/// owner calls stop() before it lets go. Used on the event loop only.
class LinkMonitor : public std::enable_shared_from_this<LinkMonitor>
{
public:
    /// \a connections outlives the monitor.
    LinkMonitor(net::EventLoop &loop, net::ConnectionPool &connections);
    LinkMonitor(const LinkMonitor &) = delete;
    LinkMonitor &operator=(const LinkMonitor &) = delete;

    void setUpstreams(const std::vector<wire::FleetUpstream> &list);
    /// Ends the probing and drops the listeners. Attempts to connect that are under way still end
    /// by their own handlers.
    void stop();

    const policy::UpstreamLinks &links() const { return m_links; }
    /// See UpstreamCaller::isReachable().
    bool isReachable(const std::string &upstream) const;
    /// See UpstreamCaller::silentUpstreams().
    std::vector<std::string> silentUpstreams() const;
    /// Calls \a changed once from the event loop, when the state of the links has changed.
    void awaitLinkChange(std::function<void()> changed);
    /// See UpstreamCaller::probeSilent().
    void probeSilent(const std::string &upstream, std::function<void()> probed);

    /// A part of a response arrived from \a upstream.
    void recordReceived(const std::string &upstream);
    /// A new connection was established.
    void recordConnected();
    /// An established connection to \a upstream broke.
    void recordBroken(const std::string &upstream);
    /// No connection to \a upstream could be established.
    void recordNotConnected(const std::string &upstream);
    /// An attempt to connect to \a address, which began at \a began, is not answered in time.
    /// Returns what the established connections show.
    policy::LinkEvidence recordUnanswered(const std::string &upstream, const std::string &address,
                                          absl::Time began);

private:
    struct Probe
    {
        absl::Time began;
        /// Whether the time for the answer has passed.
        bool hasTimedOut = false;
    };

    /// Attempt to connect that was not answered in time.
    struct UnansweredConnect
    {
        std::string address;
        absl::Time began;
        policy::LinkEvidence evidence;
    };

    /// Applies \a change to the links, and probes them once attempts have failed.
    template <typename Change>
    void record(const Change &change);
    template <typename Change>
    void recordProbeFailure(const std::string &upstream, std::string_view result,
                            policy::LinkEvidence evidence, const Change &change);
    void recordEvidence(const std::string &upstream, policy::LinkEvidence evidence);
    /// Applies what established connections show by now to the upstreams that do not answer.
    void reviewEvidence();
    /// What the established connections to \a address show of the time after an attempt to connect
    /// \a sinceAttempt ago.
    policy::LinkEvidence evidenceAt(const std::string &address, absl::Duration sinceAttempt) const;
    /// Number of upstreams whose established connections showed \a evidence in the last moment.
    std::int64_t upstreamsWith(policy::LinkEvidence evidence) const;
    void logLinks() const;
    void notifyLinkChange();

    void continueProbing();
    /// Connects to the next upstream at which no attempt has failed or, if there is none, to the
    /// next one. Passes over the ones that are silent and acknowledge.
    void probeNext();
    /// Probes the next silent upstream, unless one was probed a moment ago.
    void probeInTurn();
    /// Probes further silent upstreams after one did not answer, which may be due to a cut.
    void probeFollowing();
    void probe(const wire::FleetUpstream &target);
    /// The answer may have arrived while this process was busy; its handler then runs first.
    void awaitLateAnswer(const wire::FleetUpstream &target);
    void handleProbe(const wire::FleetUpstream &target, const Probe &probe, bool isConnected);
    void notifyProbed(const std::string &upstream);
    void armTurnTimer();
    void stopTimer(TimerService::TimerId &timer);

    /// Whether a probe of \a upstream, which is silent, would tell something new: it is not known
    /// to be reachable, and no probe of it waits for a late answer. \a evidence is what its
    /// established connections show.
    bool needsProbe(const std::string &upstream, policy::LinkEvidence evidence) const;
    /// Posts \a probed, which may be null, and gives the turn to another silent upstream.
    void skipProbe(std::function<void()> probed);
    /// Whether a probe of \a upstream still waits after the time for its answer.
    bool hasProbeTimedOut(const std::string &upstream) const;
    bool hasSilentlyAcknowledged(const wire::FleetUpstream &upstream) const;
    bool isSilent(const std::string &upstream) const;
    std::size_t silentCount() const;
    /// Whether so many upstreams are silent that they may show a cut, and are probed in turn.
    bool takeTurns() const;
    /// Time for which an accepted probe replaces further ones outside of the turns.
    absl::Duration acceptedLifetime() const;
    /// Returns the silent upstream that has accepted a probe and whose last one was longest ago, or
    /// null. Passes over the ones that acknowledge or have failed.
    const wire::FleetUpstream *longestUnprobed() const;
    void removeUnknown(std::map<std::string, absl::Time> &times) const;

    net::EventLoop &m_loop;
    net::ConnectionPool &m_connections;
    policy::UpstreamLinks m_links;
    policy::LinkState m_lastState = policy::LinkState::Working;
    /// Upstreams that may get requests.
    std::vector<wire::FleetUpstream> m_upstreams;
    /// These and the ones that drain, which may still run requests, by id.
    std::map<std::string, wire::FleetUpstream> m_known;
    std::size_t m_nextProbe = 0;
    /// Upstreams to which a connection is being established without a request.
    std::map<std::string, Probe> m_pendingProbes;
    /// The last attempts to connect that were not answered, by upstream.
    std::map<std::string, UnansweredConnect> m_unansweredConnects;
    /// Called when the result of a probe is known, by upstream.
    std::map<std::string, std::vector<std::function<void()>>> m_probeListeners;
    /// When a probe was last accepted, or the upstream's system acknowledged something, by
    /// upstream. Without an entry once a later attempt to connect is not answered.
    std::map<std::string, absl::Time> m_reachedAt;
    /// When a probe was last accepted, by upstream. Without an entry once a later one is not.
    std::map<std::string, absl::Time> m_acceptedAt;
    /// When the silence of an upstream was last noticed. Without an entry once a byte arrives.
    std::map<std::string, absl::Time> m_silentSince;
    TimerService::TimerId m_probeTimer = 0;
    TimerService::TimerId m_evidenceTimer = 0;
    /// Runs until the next probe of a silent upstream may follow the last one.
    TimerService::TimerId m_turnTimer = 0;
    std::vector<std::function<void()>> m_linkListeners;
    bool m_isStopped = false;
};

} // namespace rattanrill::serving
