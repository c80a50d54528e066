#include "rattanrill/serving/upstreamcaller.h"

#include "linkevidence.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

namespace rattanrill::serving {

using policy::LinkEvidence;

namespace {

/// Time between two attempts to connect while the links may be lost.
constexpr absl::Duration probePeriod = absl::Milliseconds(250);
/// An attempt to connect that is neither accepted nor refused after this time has not reached the
/// upstream. Many times the round trip inside a region; a lost packet may exceed it, so one such
/// attempt proves nothing.
constexpr absl::Duration probeTimeout = absl::Milliseconds(50);
/// Time between an accepted probe and the next one to the same upstream, while too few upstreams
/// are silent to take turns. Each probe takes a place in the accept queue of an upstream that
/// pauses.
constexpr absl::Duration acceptedProbePeriod = absl::Seconds(1);
/// Time between two probes of silent upstreams that take turns. A cut is found after this time and
/// two probe timeouts, which is less than the latency objective of 300 ms.
constexpr absl::Duration turnPeriod = absl::Milliseconds(150);
/// Time for which a result stays valid after the next probe is due.
constexpr absl::Duration reachabilityMargin = absl::Milliseconds(250);
/// Number of probes that wait for an answer at once after one was not answered. Together with it,
/// they show a cut.
constexpr std::size_t maxFollowingProbes = policy::UpstreamLinks::minUpstreams - 1;
/// Age up to which what an upstream's system has acknowledged or sent replaces a probe.
constexpr absl::Duration acknowledgementLifetime = absl::Milliseconds(100);
/// Time after its last notice for which an upstream counts as silent.
constexpr absl::Duration silenceLifetime = absl::Seconds(2);
/// Time between two reads of what established connections show.
constexpr absl::Duration evidencePeriod = absl::Milliseconds(50);

} // namespace

struct UpstreamCaller::Impl : std::enable_shared_from_this<UpstreamCaller::Impl>
{
    struct Probe
    {
        absl::Time began;
        /// Whether the time for the answer has passed.
        bool isUnanswered = false;
    };

    /// Attempt to connect that was not answered in time.
    struct UnansweredConnect
    {
        std::string address;
        absl::Time began;
        LinkEvidence evidence;
    };

    struct Call
    {
        bool isForwarded = false;
        /// Id in the pool of connections or at the forwarder.
        std::uint64_t id = 0;
    };

    Impl(net::EventLoop &loop, net::ConnectionPool &connections, ForwardingClient &forwarder)
        : loop(loop)
        , connections(connections)
        , forwarder(forwarder)
    {}

    /// Whether a connection is established on which a request may be sent now.
    bool canReuseConnection(const UpstreamTarget &target, const std::string &requestId) const
    {
        return links.canReceive() && connections.hasIdleConnection(target.address, requestId);
    }

    /// Whether one is established that may work, while it is not known whether the links are lost.
    bool canTryConnection(const UpstreamTarget &target, const std::string &requestId) const
    {
        return !links.isEstablishedLost() && !links.hasFailed(target.upstream)
               && connections.hasIdleConnection(target.address, requestId);
    }

    CallId callDirectly(const UpstreamTarget &target, net::RequestWriter writer,
                        net::CallHandlers handlers, const std::string &requestId)
    {
        const CallId id = nextId++;
        calls[id].id = connections.call(target.address, std::move(writer),
                                        observed(id, target, std::move(handlers)), requestId);
        return id;
    }

    /// Returns handlers that also record what the call tells about the links.
    net::CallHandlers observed(CallId id, const UpstreamTarget &target, net::CallHandlers handlers)
    {
        const std::string &upstream = target.upstream;
        net::CallHandlers result = std::move(handlers);
        result.onHead = [self = shared_from_this(), upstream,
                         onHead = std::move(result.onHead)](const net::ResponseHead &head) {
            self->recordReceived(upstream);
            if (onHead)
                onHead(head);
        };
        result.onBody = [self = shared_from_this(), upstream,
                         onBody = std::move(result.onBody)](std::string_view bytes) {
            self->recordReceived(upstream);
            if (onBody)
                onBody(bytes);
        };
        const auto isJudged = std::make_shared<bool>(false);
        result.onUnanswered = [self = shared_from_this(), isJudged, upstream,
                               address = target.address, began = SystemClock::instance().now()] {
            *isJudged = true;
            self->recordUnanswered(upstream, address, began);
        };
        result.mayBeSent = [self = shared_from_this(), isJudged,
                            mayBeSent = std::move(result.mayBeSent)] {
            *isJudged = true;
            self->record([](auto &links) { links.connected(); });
            return !mayBeSent || mayBeSent();
        };
        result.onEnd = [self = shared_from_this(), id, upstream, isJudged,
                        onEnd = std::move(result.onEnd)](net::CallStatus status) {
            self->calls.erase(id);
            if (status == net::CallStatus::Broken)
                self->record([&](auto &links) { links.broken(upstream); });
            if (status == net::CallStatus::NotConnected && !*isJudged)
                self->record([&](auto &links) { links.notConnected(upstream); });
            onEnd(status);
        };
        return result;
    }

    CallId callByForwarder(const UpstreamTarget &target, const net::RequestWriter &writer,
                           net::CallHandlers handlers, const std::string &requestId,
                           ForwardingOptions options)
    {
        const CallId id = nextId++;
        const ForwardedCall call{
                target.forwarderAddress, target.upstream,   target.address, requestId, writer(),
                target.timeout,          std::move(options)};
        handlers.onEnd = [self = shared_from_this(), id,
                          onEnd = std::move(handlers.onEnd)](net::CallStatus status) {
            self->calls.erase(id);
            onEnd(status);
        };
        calls[id] = {true, forwarder.call(call, std::move(handlers))};
        return id;
    }

    void recordReceived(const std::string &upstream)
    {
        silentSince.erase(upstream);
        record([](auto &current) { current.received(); });
    }

    /// Applies \a change to the links, and probes them once attempts have failed.
    template <typename Change>
    void record(const Change &change)
    {
        change(links);
        if (std::exchange(lastState, links.state()) != links.state()) {
            logLinks();
            notifyLinkChange();
        }
        if (links.isSuspect() && probeTimer == 0 && !isStopped) {
            probeNext();
            probeTimer = loop.timers().subscribeEvery(
                    probePeriod, [self = shared_from_this()] { self->continueProbing(); });
        }
    }

    void logLinks() const
    {
        log(links.isCutOff() ? LogLevel::Warning : LogLevel::Info,
            links.isCutOff() ? "upstream-links-lost" : "upstream-links-regained",
            {{"state", name(links.state())},
             {"canReceive", links.canReceive()},
             {"canConnect", links.canConnect()},
             {"broken", static_cast<std::int64_t>(links.brokenCount())},
             {"unreachable", static_cast<std::int64_t>(links.unreachableCount())},
             {"upstreams", static_cast<std::int64_t>(upstreams.size())},
             {"acknowledging", upstreamsWith(LinkEvidence::Acknowledged)},
             {"notAcknowledging", upstreamsWith(LinkEvidence::NotAcknowledged)},
             {"connectionsOpened", static_cast<std::int64_t>(connections.connectionsOpened())}});
    }

    /// Number of upstreams whose established connections showed \a evidence in the last moment.
    std::int64_t upstreamsWith(LinkEvidence evidence) const
    {
        return std::count_if(upstreams.begin(), upstreams.end(), [&](const auto &upstream) {
            return evidenceAt(upstream.address, probePeriod) == evidence;
        });
    }

    /// What the established connections to \a address show of the time after an attempt to connect
    /// \a sinceAttempt ago.
    LinkEvidence evidenceAt(const std::string &address, absl::Duration sinceAttempt) const
    {
        return linkEvidenceOf(connections.tcpStates(address), sinceAttempt);
    }

    void notifyLinkChange()
    {
        for (std::function<void()> &listener : std::exchange(linkListeners, {}))
            loop.post(std::move(listener));
    }

    void continueProbing()
    {
        if (links.isSuspect())
            return probeNext();
        loop.timers().unsubscribe(std::exchange(probeTimer, 0));
    }

    /// Connects to the next upstream at which no attempt has failed or, if there is none, to the
    /// next one. Passes over the ones that are silent and acknowledge.
    void probeNext()
    {
        if (upstreams.empty() || isStopped)
            return;
        const std::size_t first = nextProbe++ % upstreams.size();
        const wire::FleetUpstream *chosen = nullptr;
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            const wire::FleetUpstream &candidate = upstreams[(first + i) % upstreams.size()];
            const bool hasFailed = links.hasFailed(candidate.id);
            if ((hasFailed && chosen) || pendingProbes.count(candidate.id) != 0
                || hasSilentlyAcknowledged(candidate))
                continue;
            chosen = &candidate;
            if (!hasFailed)
                break;
        }
        if (chosen)
            probe(*chosen);
    }

    bool hasSilentlyAcknowledged(const wire::FleetUpstream &upstream) const
    {
        return silentSince.count(upstream.id) != 0
               && evidenceAt(upstream.address, acknowledgementLifetime)
                          == LinkEvidence::Acknowledged;
    }

    /// Whether \a upstream, which is silent, is known to be reachable or is being probed without an
    /// answer.
    bool isJudged(const wire::FleetUpstream &upstream)
    {
        const LinkEvidence evidence = evidenceAt(upstream.address, acknowledgementLifetime);
        if (evidence == LinkEvidence::Acknowledged)
            reachedAt[upstream.id] = SystemClock::instance().now();
        const bool isAccepted = evidence != LinkEvidence::NotAcknowledged && !links.isSuspect()
                                && isRecent(acceptedAt, upstream.id, acceptedLifetime());
        return evidence == LinkEvidence::Acknowledged || isAccepted || isUnanswered(upstream.id);
    }

    bool isSilent(const std::string &upstream) const
    {
        return isRecent(silentSince, upstream, silenceLifetime);
    }

    std::size_t silentCount() const
    {
        return static_cast<std::size_t>(
                std::count_if(silentSince.begin(), silentSince.end(),
                              [this](const auto &entry) { return isSilent(entry.first); }));
    }

    /// Whether so many upstreams are silent that they may show a cut, and are probed in turn.
    bool takeTurns() const { return silentCount() >= policy::UpstreamLinks::minUpstreams; }

    /// Time for which an accepted probe replaces further ones outside of the turns.
    absl::Duration acceptedLifetime() const
    {
        const std::size_t silent = silentCount();
        if (silent < policy::UpstreamLinks::minUpstreams)
            return acceptedProbePeriod;
        return acceptedProbePeriod + static_cast<std::int64_t>(silent) * turnPeriod;
    }

    bool isReachable(const std::string &upstream) const
    {
        return isRecent(reachedAt, upstream, acceptedLifetime() + reachabilityMargin);
    }

    /// Returns the silent upstream that has accepted a probe and whose last one was longest ago, or
    /// null. Passes over the ones that acknowledge or have failed.
    const wire::FleetUpstream *longestUnprobed() const
    {
        const wire::FleetUpstream *chosen = nullptr;
        for (const auto &[id, time] : acceptedAt) {
            const auto found = known.find(id);
            if (found == known.end() || !isSilent(id) || pendingProbes.count(id) != 0
                || links.hasFailed(id) || hasSilentlyAcknowledged(found->second))
                continue;
            if (!chosen || time < acceptedAt.at(chosen->id))
                chosen = &found->second;
        }
        return chosen;
    }

    /// Probes the next silent upstream, unless one was probed a moment ago.
    void probeInTurn()
    {
        if (turnTimer != 0 || isStopped || !takeTurns())
            return;
        if (const wire::FleetUpstream *upstream = longestUnprobed())
            probe(*upstream);
    }

    void armTurnTimer()
    {
        if (turnTimer != 0)
            return;
        turnTimer = loop.timers().subscribeOnce(turnPeriod, [self = shared_from_this()] {
            self->turnTimer = 0;
            self->probeInTurn();
        });
    }

    /// Probes further silent upstreams after one did not answer, which may be due to a cut.
    void probeFollowing()
    {
        if (links.isCutOff() || isStopped)
            return;
        auto waiting = static_cast<std::size_t>(
                std::count_if(pendingProbes.begin(), pendingProbes.end(),
                              [](const auto &entry) { return !entry.second.isUnanswered; }));
        for (; waiting < maxFollowingProbes; ++waiting) {
            const wire::FleetUpstream *upstream = longestUnprobed();
            if (!upstream)
                return;
            probe(*upstream);
        }
    }

    /// Connects to \a upstream, at which an established connection does not respond, unless it is
    /// judged already.
    void probeSilent(const std::string &upstream, std::function<void()> probed)
    {
        const auto found = known.find(upstream);
        if (found != known.end())
            silentSince[upstream] = SystemClock::instance().now();
        if (found == known.end() || isStopped || isJudged(found->second)) {
            if (probed)
                loop.post(std::move(probed));
            return probeInTurn();
        }
        if (probed)
            probeListeners[upstream].push_back(std::move(probed));
        probe(found->second);
    }

    void notifyProbed(const std::string &upstream)
    {
        auto listeners = probeListeners.extract(upstream);
        if (!listeners)
            return;
        for (std::function<void()> &listener : listeners.mapped())
            loop.post(std::move(listener));
    }

    bool isUnanswered(const std::string &upstream) const
    {
        const auto found = pendingProbes.find(upstream);
        return found != pendingProbes.end() && found->second.isUnanswered;
    }

    void probe(const wire::FleetUpstream &target)
    {
        const std::string &id = target.id;
        if (!pendingProbes.try_emplace(id, Probe{SystemClock::instance().now()}).second)
            return;
        armTurnTimer();
        const TimerService::TimerId timer =
                loop.timers().subscribeOnce(probeTimeout, [self = shared_from_this(), target] {
                    self->awaitLateAnswer(target);
                });
        connections.connect(target.address,
                            [self = shared_from_this(), target, timer](bool isConnected) {
                                self->loop.timers().unsubscribe(timer);
                                const Probe probe = self->pendingProbes[target.id];
                                self->pendingProbes.erase(target.id);
                                self->handleProbe(target, probe, isConnected);
                                self->notifyProbed(target.id);
                            });
    }

    /// The answer may have arrived while this process was busy; its handler then runs first.
    void awaitLateAnswer(const wire::FleetUpstream &target)
    {
        loop.post([self = shared_from_this(), target] {
            const auto found = self->pendingProbes.find(target.id);
            if (found == self->pendingProbes.end())
                return;
            found->second.isUnanswered = true;
            const LinkEvidence evidence =
                    self->recordUnanswered(target.id, target.address, found->second.began);
            if (evidence != LinkEvidence::Acknowledged)
                self->probeFollowing();
            self->notifyProbed(target.id);
        });
    }

    void handleProbe(const wire::FleetUpstream &target, const Probe &probe, bool isConnected)
    {
        if (isConnected) {
            acceptedAt[target.id] = reachedAt[target.id] = SystemClock::instance().now();
            return record([](auto &current) { current.connected(); });
        }
        acceptedAt.erase(target.id);
        if (probe.isUnanswered) {
            recordUnanswered(target.id, target.address, probe.began);
            return;
        }
        // Established connections may live on while new ones are refused.
        recordProbeFailure(target.id, "not_connected", evidenceAt(target.address, probeTimeout),
                           [&](auto &current) { current.notConnected(target.id); });
        probeFollowing();
    }

    /// An attempt to connect to \a address, which began at \a began, is not answered in time.
    /// Returns what the established connections show.
    LinkEvidence recordUnanswered(const std::string &upstream, const std::string &address,
                                  absl::Time began)
    {
        eraseUntil(acceptedAt, upstream, began);
        const LinkEvidence evidence = evidenceAt(address, SystemClock::instance().now() - began);
        unanswered[upstream] = {address, began, evidence};
        if (evidenceTimer == 0 && !isStopped)
            evidenceTimer = loop.timers().subscribeEvery(
                    evidencePeriod, [self = shared_from_this()] { self->reviewEvidence(); });
        recordEvidence(upstream, evidence);
        return evidence;
    }

    void recordEvidence(const std::string &upstream, LinkEvidence evidence)
    {
        if (evidence == LinkEvidence::Acknowledged)
            reachedAt[upstream] = SystemClock::instance().now();
        else
            eraseUntil(reachedAt, upstream, unanswered[upstream].began);
        recordProbeFailure(upstream, "unanswered", evidence,
                           [&](auto &current) { current.unanswered(upstream, evidence); });
    }

    /// Applies what established connections show by now to the upstreams that do not answer.
    void reviewEvidence()
    {
        std::map<std::string, LinkEvidence> changes;
        for (auto entry = unanswered.begin(); entry != unanswered.end();) {
            auto &[upstream, attempt] = *entry;
            const bool isOpen = links.hasFailed(upstream) || pendingProbes.count(upstream) != 0
                                || attempt.evidence == LinkEvidence::Pending;
            if (!isOpen) {
                entry = unanswered.erase(entry);
                continue;
            }
            const LinkEvidence evidence =
                    evidenceAt(attempt.address, SystemClock::instance().now() - attempt.began);
            // A lack of evidence takes nothing back.
            const bool isNews = evidence == LinkEvidence::Acknowledged
                                || evidence == LinkEvidence::NotAcknowledged
                                || attempt.evidence == LinkEvidence::Pending;
            if (isNews && std::exchange(attempt.evidence, evidence) != evidence)
                changes[upstream] = evidence;
            ++entry;
        }
        for (const auto &[upstream, evidence] : changes)
            recordEvidence(upstream, evidence);
        if (unanswered.empty())
            loop.timers().unsubscribe(std::exchange(evidenceTimer, 0));
    }

    template <typename Change>
    void recordProbeFailure(const std::string &upstream, std::string_view result,
                            LinkEvidence evidence, const Change &change)
    {
        const bool isNewFailure = !links.hasFailed(upstream);
        if (isNewFailure)
            log(LogLevel::Info, "upstream-probe-failed",
                {{"upstream", upstream}, {"result", result}, {"evidence", name(evidence)}});
        record(change);
        // Failed attempts may follow each other without a pause, because each concerns another
        // upstream.
        if (isNewFailure && links.hasFailed(upstream) && links.canConnect() && links.isSuspect())
            probeNext();
    }

    void setUpstreams(const std::vector<wire::FleetUpstream> &list)
    {
        upstreams.clear();
        known.clear();
        for (const wire::FleetUpstream &upstream : list) {
            known[upstream.id] = upstream;
            if (!upstream.draining)
                upstreams.push_back(upstream);
        }
        links.setUpstreamCount(upstreams.size());
        removeUnknown(reachedAt);
        removeUnknown(acceptedAt);
        removeUnknown(silentSince);
    }

    void removeUnknown(std::map<std::string, absl::Time> &times) const
    {
        for (auto entry = times.begin(); entry != times.end();)
            entry = known.count(entry->first) == 0 ? times.erase(entry) : std::next(entry);
    }

    /// Removes the time of \a upstream from \a times if it is not later than \a end.
    static void eraseUntil(std::map<std::string, absl::Time> &times, const std::string &upstream,
                           absl::Time end)
    {
        const auto found = times.find(upstream);
        if (found != times.end() && found->second <= end)
            times.erase(found);
    }

    /// Whether the time of \a upstream in \a times is not longer than \a age ago.
    static bool isRecent(const std::map<std::string, absl::Time> &times,
                         const std::string &upstream, absl::Duration age)
    {
        const auto found = times.find(upstream);
        return found != times.end() && SystemClock::instance().now() - found->second <= age;
    }

    net::EventLoop &loop;
    net::ConnectionPool &connections;
    ForwardingClient &forwarder;
    policy::UpstreamLinks links;
    /// Upstreams that may get requests.
    std::vector<wire::FleetUpstream> upstreams;
    /// These and the ones that drain, which may still run requests, by id.
    std::map<std::string, wire::FleetUpstream> known;
    std::map<CallId, Call> calls;
    CallId nextId = 1;
    std::size_t nextProbe = 0;
    /// Upstreams to which a connection is being established without a request.
    std::map<std::string, Probe> pendingProbes;
    /// The last attempts to connect that were not answered, by upstream.
    std::map<std::string, UnansweredConnect> unanswered;
    /// Called when the result of a probe is known, by upstream.
    std::map<std::string, std::vector<std::function<void()>>> probeListeners;
    /// When a probe was last accepted, or the upstream's system acknowledged something, by
    /// upstream. Without an entry once a later attempt to connect is not answered.
    std::map<std::string, absl::Time> reachedAt;
    /// When a probe was last accepted, by upstream. Without an entry once a later one is not.
    std::map<std::string, absl::Time> acceptedAt;
    /// When the silence of an upstream was last noticed. Without an entry once a byte arrives.
    std::map<std::string, absl::Time> silentSince;
    TimerService::TimerId probeTimer = 0;
    TimerService::TimerId evidenceTimer = 0;
    /// Runs until the next probe of a silent upstream may follow the last one.
    TimerService::TimerId turnTimer = 0;
    policy::LinkState lastState = policy::LinkState::Working;
    std::vector<std::function<void()>> linkListeners;
    bool isStopped = false;
};

UpstreamCaller::UpstreamCaller(net::EventLoop &loop, net::ConnectionPool &connections,
                               ForwardingClient &forwarder)
    : m_impl(std::make_shared<Impl>(loop, connections, forwarder))
{}

UpstreamCaller::~UpstreamCaller()
{
    stop();
}

void UpstreamCaller::setUpstreams(const std::vector<wire::FleetUpstream> &upstreams)
{
    m_impl->setUpstreams(upstreams);
}

bool UpstreamCaller::canCall(const UpstreamTarget &target, const std::string &requestId) const
{
    return !m_impl->links.isCutOff() || !target.forwarderAddress.empty()
           || m_impl->canReuseConnection(target, requestId)
           || m_impl->canTryConnection(target, requestId);
}

UpstreamCaller::CallId UpstreamCaller::call(const UpstreamTarget &target, net::RequestWriter writer,
                                            net::CallHandlers handlers,
                                            const std::string &requestId, ForwardingOptions options)
{
    const bool isForwarded = m_impl->links.isCutOff() && !target.forwarderAddress.empty()
                             && !m_impl->canReuseConnection(target, requestId);
    if (isForwarded)
        return m_impl->callByForwarder(target, writer, std::move(handlers), requestId,
                                       std::move(options));
    return m_impl->callDirectly(target, std::move(writer), std::move(handlers), requestId);
}

void UpstreamCaller::cancel(CallId call)
{
    const auto found = m_impl->calls.find(call);
    if (found == m_impl->calls.end())
        return;
    const Impl::Call cancelled = found->second;
    m_impl->calls.erase(found);
    if (cancelled.isForwarded)
        m_impl->forwarder.cancel(cancelled.id);
    else
        m_impl->connections.cancel(cancelled.id);
}

bool UpstreamCaller::isForwarded(CallId call) const
{
    const auto found = m_impl->calls.find(call);
    return found != m_impl->calls.end() && found->second.isForwarded;
}

void UpstreamCaller::probeSilent(const std::string &upstream, std::function<void()> probed)
{
    m_impl->probeSilent(upstream, std::move(probed));
}

bool UpstreamCaller::isReachable(const std::string &upstream) const
{
    return m_impl->isReachable(upstream);
}

bool UpstreamCaller::isLost(const std::string &upstream) const
{
    return m_impl->links.isEstablishedLost() && m_impl->links.hasFailed(upstream);
}

bool UpstreamCaller::isCutOff() const
{
    return m_impl->links.isCutOff();
}

policy::LinkState UpstreamCaller::linkState() const
{
    return m_impl->links.state();
}

void UpstreamCaller::awaitLinkChange(std::function<void()> changed)
{
    m_impl->linkListeners.push_back(std::move(changed));
}

std::vector<std::string> UpstreamCaller::silentUpstreams() const
{
    const absl::Time now = SystemClock::instance().now();
    std::vector<std::string> result;
    for (const auto &[upstream, noticedAt] : m_impl->silentSince) {
        if (now - noticedAt <= silenceLifetime)
            result.push_back(upstream);
    }
    return result;
}

bool UpstreamCaller::canReceive() const
{
    return m_impl->links.canReceive();
}

bool UpstreamCaller::isWitness(policy::ReleaseReason reason) const
{
    return reason == policy::ReleaseReason::Unreachable ? !isCutOff() : canReceive();
}

bool UpstreamCaller::hasOpenConnections(const std::string &address) const
{
    return m_impl->connections.hasOpenConnections(address);
}

void UpstreamCaller::stop()
{
    m_impl->isStopped = true;
    m_impl->probeListeners.clear();
    m_impl->linkListeners.clear();
    if (m_impl->probeTimer != 0)
        m_impl->loop.timers().unsubscribe(std::exchange(m_impl->probeTimer, 0));
    if (m_impl->evidenceTimer != 0)
        m_impl->loop.timers().unsubscribe(std::exchange(m_impl->evidenceTimer, 0));
    if (m_impl->turnTimer != 0)
        m_impl->loop.timers().unsubscribe(std::exchange(m_impl->turnTimer, 0));
}

} // namespace rattanrill::serving
