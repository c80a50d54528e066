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
namespace {

/// Time between two attempts to connect while the links may be lost, and between two to the same
/// upstream while it is silent.
constexpr absl::Duration probePeriod = absl::Milliseconds(250);
/// An attempt to connect that is neither accepted nor refused after this time has not reached the
/// upstream. Many times the round trip inside a region; a lost packet may exceed it, so one such
/// attempt proves nothing.
constexpr absl::Duration probeTimeout = absl::Milliseconds(50);
/// Time for which an accepted probe shows that its upstream can be reached.
constexpr absl::Duration reachabilityLifetime = absl::Milliseconds(500);

} // namespace

struct UpstreamCaller::Impl : std::enable_shared_from_this<UpstreamCaller::Impl>
{
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

    CallId callDirectly(const UpstreamTarget &target, net::RequestWriter writer,
                        net::CallHandlers handlers, const std::string &requestId)
    {
        const CallId id = nextId++;
        calls[id].id =
                connections.call(target.address, std::move(writer),
                                 observed(id, target.upstream, std::move(handlers)), requestId);
        return id;
    }

    /// Returns handlers that also record what the call tells about the links.
    net::CallHandlers observed(CallId id, const std::string &upstream, net::CallHandlers handlers)
    {
        net::CallHandlers result = std::move(handlers);
        result.onHead = [self = shared_from_this(),
                         onHead = std::move(result.onHead)](const net::ResponseHead &head) {
            self->record([](auto &links) { links.received(); });
            if (onHead)
                onHead(head);
        };
        result.onBody = [self = shared_from_this(),
                         onBody = std::move(result.onBody)](std::string_view bytes) {
            self->record([](auto &links) { links.received(); });
            if (onBody)
                onBody(bytes);
        };
        const auto isConnected = std::make_shared<bool>(false);
        result.mayBeSent = [self = shared_from_this(), isConnected,
                            mayBeSent = std::move(result.mayBeSent)] {
            *isConnected = true;
            self->record([](auto &links) { links.connected(); });
            return !mayBeSent || mayBeSent();
        };
        result.onEnd = [self = shared_from_this(), id, upstream, isConnected,
                        onEnd = std::move(result.onEnd)](net::CallStatus status) {
            self->calls.erase(id);
            if (status == net::CallStatus::Broken)
                self->record([&](auto &links) { links.broken(upstream); });
            if (status == net::CallStatus::NotConnected && !*isConnected)
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

    /// Applies \a change to the links, and probes them once attempts have failed.
    template <typename Change>
    void record(const Change &change)
    {
        change(links);
        if (std::exchange(lastState, links.state()) != links.state())
            notifyLinkChange();
        if (std::exchange(wasCutOff, links.isCutOff()) != links.isCutOff())
            logLinks();
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
            {{"canReceive", links.canReceive()},
             {"canConnect", links.canConnect()},
             {"broken", static_cast<std::int64_t>(links.brokenCount())},
             {"unreachable", static_cast<std::int64_t>(links.unreachableCount())},
             {"upstreams", static_cast<std::int64_t>(upstreams.size())},
             {"acknowledging", upstreamsWith(policy::LinkEvidence::Acknowledged)},
             {"notAcknowledging", upstreamsWith(policy::LinkEvidence::NotAcknowledged)},
             {"connectionsOpened", static_cast<std::int64_t>(connections.connectionsOpened())}});
    }

    /// Number of upstreams whose established connections showed \a evidence in the last moment.
    std::int64_t upstreamsWith(policy::LinkEvidence evidence) const
    {
        return std::count_if(upstreams.begin(), upstreams.end(), [&](const auto &upstream) {
            return evidenceOf(upstream.id, probePeriod) == evidence;
        });
    }

    policy::LinkEvidence evidenceOf(const std::string &upstream, absl::Duration sinceAttempt) const
    {
        const auto found = known.find(upstream);
        return found == known.end()
                       ? policy::LinkEvidence::Unknown
                       : linkEvidenceOf(connections.tcpStates(found->second.address), sinceAttempt);
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
    /// next one.
    void probeNext()
    {
        if (upstreams.empty() || isStopped)
            return;
        std::size_t chosen = nextProbe++ % upstreams.size();
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            const std::size_t candidate = (chosen + i) % upstreams.size();
            const std::string &id = upstreams[candidate].id;
            if (links.hasFailed(id) || pendingProbes.count(id) != 0)
                continue;
            chosen = candidate;
            break;
        }
        probe(upstreams[chosen]);
    }

    /// Connects to \a upstream, at which an established connection does not respond, unless this
    /// was done a moment ago.
    void probeSilent(const std::string &upstream, std::function<void()> probed)
    {
        const auto found = known.find(upstream);
        const bool isProbed = wasReached(upstream, probePeriod) || isUnanswered(upstream);
        if (found == known.end() || isStopped || isProbed) {
            if (probed)
                loop.post(std::move(probed));
            return;
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
        return found != pendingProbes.end() && found->second;
    }

    void probe(const wire::FleetUpstream &target)
    {
        const std::string &id = target.id;
        if (!pendingProbes.try_emplace(id, false).second)
            return;
        const TimerService::TimerId timer = loop.timers().subscribeOnce(
                probeTimeout, [self = shared_from_this(), id] { self->awaitLateAnswer(id); });
        connections.connect(target.address,
                            [self = shared_from_this(), id, timer](bool isConnected) {
                                self->loop.timers().unsubscribe(timer);
                                self->pendingProbes.erase(id);
                                self->handleProbe(id, isConnected);
                                self->notifyProbed(id);
                            });
    }

    /// The answer may have arrived while this process was busy; its handler then runs first.
    void awaitLateAnswer(const std::string &upstream)
    {
        loop.post([self = shared_from_this(), upstream] {
            const auto found = self->pendingProbes.find(upstream);
            if (found == self->pendingProbes.end())
                return;
            found->second = true;
            self->recordProbeFailure(upstream, "unanswered",
                                     [&](auto &current) { current.unanswered(upstream); });
            self->notifyProbed(upstream);
        });
    }

    void handleProbe(const std::string &upstream, bool isConnected)
    {
        if (isConnected) {
            reachedAt[upstream] = SystemClock::instance().now();
            return record([](auto &current) { current.connected(); });
        }
        // Established connections may live on while new ones are refused.
        recordProbeFailure(upstream, "not_connected",
                           [&](auto &current) { current.notConnected(upstream); });
    }

    template <typename Change>
    void recordProbeFailure(const std::string &upstream, std::string_view result,
                            const Change &change)
    {
        const bool isNewFailure = !links.hasFailed(upstream);
        if (isNewFailure)
            log(LogLevel::Info, "upstream-probe-failed",
                {{"upstream", upstream},
                 {"result", result},
                 {"evidence", name(evidenceOf(upstream, probeTimeout))}});
        record(change);
        // Failed attempts may follow each other without a pause, because each concerns another
        // upstream.
        if (isNewFailure && links.canConnect() && links.isSuspect())
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
        for (auto entry = reachedAt.begin(); entry != reachedAt.end();)
            entry = known.count(entry->first) == 0 ? reachedAt.erase(entry) : std::next(entry);
    }

    /// Whether \a upstream has accepted a probe not longer than \a age ago.
    bool wasReached(const std::string &upstream, absl::Duration age) const
    {
        const auto found = reachedAt.find(upstream);
        return found != reachedAt.end() && SystemClock::instance().now() - found->second <= age;
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
    /// Upstreams to which a connection is being established without a request, and whether the time
    /// for the answer has passed.
    std::map<std::string, bool> pendingProbes;
    /// Called when the result of a probe is known, by upstream.
    std::map<std::string, std::vector<std::function<void()>>> probeListeners;
    /// When a probe was last accepted, by upstream.
    std::map<std::string, absl::Time> reachedAt;
    TimerService::TimerId probeTimer = 0;
    bool wasCutOff = false;
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
           || m_impl->canReuseConnection(target, requestId);
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
    return m_impl->wasReached(upstream, reachabilityLifetime);
}

bool UpstreamCaller::isLost(const std::string &upstream) const
{
    return !m_impl->links.canReceive() && m_impl->links.hasFailed(upstream);
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
    return {};
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
}

} // namespace rattanrill::serving
