#include "linkmonitor.h"

#include "linkevidence.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <iterator>
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

/// Removes the time of \a upstream from \a times if it is not later than \a end.
void eraseUntil(std::map<std::string, absl::Time> &times, const std::string &upstream,
                absl::Time end)
{
    const auto found = times.find(upstream);
    if (found != times.end() && found->second <= end)
        times.erase(found);
}

/// Whether the time of \a upstream in \a times is not longer than \a age ago.
bool isRecent(const std::map<std::string, absl::Time> &times, const std::string &upstream,
              absl::Duration age)
{
    const auto found = times.find(upstream);
    return found != times.end() && SystemClock::instance().now() - found->second <= age;
}

} // namespace

LinkMonitor::LinkMonitor(net::EventLoop &loop, net::ConnectionPool &connections)
    : m_loop(loop)
    , m_connections(connections)
{}

void LinkMonitor::setUpstreams(const std::vector<wire::FleetUpstream> &list)
{
    m_upstreams.clear();
    m_known.clear();
    for (const wire::FleetUpstream &upstream : list) {
        m_known[upstream.id] = upstream;
        if (!upstream.draining)
            m_upstreams.push_back(upstream);
    }
    m_links.setUpstreamCount(m_upstreams.size());
    removeUnknown(m_reachedAt);
    removeUnknown(m_acceptedAt);
    removeUnknown(m_silentSince);
}

void LinkMonitor::removeUnknown(std::map<std::string, absl::Time> &times) const
{
    for (auto entry = times.begin(); entry != times.end();)
        entry = m_known.count(entry->first) == 0 ? times.erase(entry) : std::next(entry);
}

void LinkMonitor::stop()
{
    m_isStopped = true;
    m_probeListeners.clear();
    m_linkListeners.clear();
    stopTimer(m_probeTimer);
    stopTimer(m_evidenceTimer);
    stopTimer(m_turnTimer);
}

void LinkMonitor::stopTimer(TimerService::TimerId &timer)
{
    if (timer != 0)
        m_loop.timers().unsubscribe(std::exchange(timer, 0));
}

void LinkMonitor::awaitLinkChange(std::function<void()> changed)
{
    m_linkListeners.push_back(std::move(changed));
}

std::vector<std::string> LinkMonitor::silentUpstreams() const
{
    const absl::Time now = SystemClock::instance().now();
    std::vector<std::string> result;
    for (const auto &[upstream, noticedAt] : m_silentSince) {
        if (now - noticedAt <= silenceLifetime)
            result.push_back(upstream);
    }
    return result;
}

void LinkMonitor::recordReceived(const std::string &upstream)
{
    m_silentSince.erase(upstream);
    record([](auto &links) { links.received(); });
}

void LinkMonitor::recordConnected()
{
    record([](auto &links) { links.connected(); });
}

void LinkMonitor::recordBroken(const std::string &upstream)
{
    record([&](auto &links) { links.broken(upstream); });
}

void LinkMonitor::recordNotConnected(const std::string &upstream)
{
    record([&](auto &links) { links.notConnected(upstream); });
}

void LinkMonitor::probeSilent(const std::string &upstream, std::function<void()> probed)
{
    const auto found = m_known.find(upstream);
    if (found != m_known.end())
        m_silentSince[upstream] = SystemClock::instance().now();
    if (found == m_known.end() || m_isStopped)
        return skipProbe(std::move(probed));
    const LinkEvidence evidence = evidenceAt(found->second.address, acknowledgementLifetime);
    if (evidence == LinkEvidence::Acknowledged)
        m_reachedAt[upstream] = SystemClock::instance().now();
    if (!needsProbe(upstream, evidence))
        return skipProbe(std::move(probed));
    if (probed)
        m_probeListeners[upstream].push_back(std::move(probed));
    probe(found->second);
}

bool LinkMonitor::needsProbe(const std::string &upstream, LinkEvidence evidence) const
{
    if (evidence == LinkEvidence::Acknowledged || hasProbeTimedOut(upstream))
        return false;
    const bool isAccepted = evidence != LinkEvidence::NotAcknowledged && !m_links.isSuspect()
                            && isRecent(m_acceptedAt, upstream, acceptedLifetime());
    return !isAccepted;
}

void LinkMonitor::skipProbe(std::function<void()> probed)
{
    if (probed)
        m_loop.post(std::move(probed));
    probeInTurn();
}

bool LinkMonitor::hasProbeTimedOut(const std::string &upstream) const
{
    const auto found = m_pendingProbes.find(upstream);
    return found != m_pendingProbes.end() && found->second.hasTimedOut;
}

template <typename Change>
void LinkMonitor::record(const Change &change)
{
    change(m_links);
    if (std::exchange(m_lastState, m_links.state()) != m_links.state()) {
        logLinks();
        notifyLinkChange();
    }
    if (m_links.isSuspect() && m_probeTimer == 0 && !m_isStopped) {
        probeNext();
        m_probeTimer = m_loop.timers().subscribeEvery(
                probePeriod, [self = shared_from_this()] { self->continueProbing(); });
    }
}

void LinkMonitor::logLinks() const
{
    log(m_links.isCutOff() ? LogLevel::Warning : LogLevel::Info,
        m_links.isCutOff() ? "upstream-links-lost" : "upstream-links-regained",
        {{"state", name(m_links.state())},
         {"canReceive", m_links.canReceive()},
         {"canConnect", m_links.canConnect()},
         {"broken", static_cast<std::int64_t>(m_links.brokenCount())},
         {"unreachable", static_cast<std::int64_t>(m_links.unreachableCount())},
         {"upstreams", static_cast<std::int64_t>(m_upstreams.size())},
         {"acknowledging", upstreamsWith(LinkEvidence::Acknowledged)},
         {"notAcknowledging", upstreamsWith(LinkEvidence::NotAcknowledged)},
         {"connectionsOpened", static_cast<std::int64_t>(m_connections.connectionsOpened())}});
}

std::int64_t LinkMonitor::upstreamsWith(LinkEvidence evidence) const
{
    return std::count_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto &upstream) {
        return evidenceAt(upstream.address, probePeriod) == evidence;
    });
}

LinkEvidence LinkMonitor::evidenceAt(const std::string &address, absl::Duration sinceAttempt) const
{
    return linkEvidenceOf(m_connections.tcpStates(address), sinceAttempt);
}

void LinkMonitor::notifyLinkChange()
{
    for (std::function<void()> &listener : std::exchange(m_linkListeners, {}))
        m_loop.post(std::move(listener));
}

void LinkMonitor::continueProbing()
{
    if (m_links.isSuspect())
        return probeNext();
    m_loop.timers().unsubscribe(std::exchange(m_probeTimer, 0));
}

void LinkMonitor::probeNext()
{
    if (m_upstreams.empty() || m_isStopped)
        return;
    const std::size_t first = m_nextProbe++ % m_upstreams.size();
    const wire::FleetUpstream *chosen = nullptr;
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        const wire::FleetUpstream &candidate = m_upstreams[(first + i) % m_upstreams.size()];
        const bool hasFailed = m_links.hasFailed(candidate.id);
        if ((hasFailed && chosen) || m_pendingProbes.count(candidate.id) != 0
            || hasSilentlyAcknowledged(candidate))
            continue;
        chosen = &candidate;
        if (!hasFailed)
            break;
    }
    if (chosen)
        probe(*chosen);
}

bool LinkMonitor::hasSilentlyAcknowledged(const wire::FleetUpstream &upstream) const
{
    return m_silentSince.count(upstream.id) != 0
           && evidenceAt(upstream.address, acknowledgementLifetime) == LinkEvidence::Acknowledged;
}

bool LinkMonitor::isSilent(const std::string &upstream) const
{
    return isRecent(m_silentSince, upstream, silenceLifetime);
}

std::size_t LinkMonitor::silentCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_silentSince.begin(), m_silentSince.end(),
                          [this](const auto &entry) { return isSilent(entry.first); }));
}

bool LinkMonitor::takeTurns() const
{
    return silentCount() >= policy::UpstreamLinks::minUpstreams;
}

absl::Duration LinkMonitor::acceptedLifetime() const
{
    const std::size_t silent = silentCount();
    if (silent < policy::UpstreamLinks::minUpstreams)
        return acceptedProbePeriod;
    return acceptedProbePeriod + static_cast<std::int64_t>(silent) * turnPeriod;
}

bool LinkMonitor::isReachable(const std::string &upstream) const
{
    return isRecent(m_reachedAt, upstream, acceptedLifetime() + reachabilityMargin);
}

const wire::FleetUpstream *LinkMonitor::longestUnprobed() const
{
    const wire::FleetUpstream *chosen = nullptr;
    for (const auto &[id, time] : m_acceptedAt) {
        const auto found = m_known.find(id);
        if (found == m_known.end() || !isSilent(id) || m_pendingProbes.count(id) != 0
            || m_links.hasFailed(id) || hasSilentlyAcknowledged(found->second))
            continue;
        if (!chosen || time < m_acceptedAt.at(chosen->id))
            chosen = &found->second;
    }
    return chosen;
}

void LinkMonitor::probeInTurn()
{
    if (m_turnTimer != 0 || m_isStopped || !takeTurns())
        return;
    if (const wire::FleetUpstream *upstream = longestUnprobed())
        probe(*upstream);
}

void LinkMonitor::armTurnTimer()
{
    if (m_turnTimer != 0)
        return;
    m_turnTimer = m_loop.timers().subscribeOnce(turnPeriod, [self = shared_from_this()] {
        self->m_turnTimer = 0;
        self->probeInTurn();
    });
}

void LinkMonitor::probeFollowing()
{
    if (m_links.isCutOff() || m_isStopped)
        return;
    auto waiting = static_cast<std::size_t>(
            std::count_if(m_pendingProbes.begin(), m_pendingProbes.end(),
                          [](const auto &entry) { return !entry.second.hasTimedOut; }));
    for (; waiting < maxFollowingProbes; ++waiting) {
        const wire::FleetUpstream *upstream = longestUnprobed();
        if (!upstream)
            return;
        probe(*upstream);
    }
}

void LinkMonitor::notifyProbed(const std::string &upstream)
{
    auto listeners = m_probeListeners.extract(upstream);
    if (!listeners)
        return;
    for (std::function<void()> &listener : listeners.mapped())
        m_loop.post(std::move(listener));
}

void LinkMonitor::probe(const wire::FleetUpstream &target)
{
    const std::string &id = target.id;
    if (!m_pendingProbes.try_emplace(id, Probe{SystemClock::instance().now()}).second)
        return;
    armTurnTimer();
    const TimerService::TimerId timer = m_loop.timers().subscribeOnce(
            probeTimeout, [self = shared_from_this(), target] { self->awaitLateAnswer(target); });
    m_connections.connect(target.address,
                          [self = shared_from_this(), target, timer](bool isConnected) {
                              self->m_loop.timers().unsubscribe(timer);
                              const Probe probe = self->m_pendingProbes[target.id];
                              self->m_pendingProbes.erase(target.id);
                              self->handleProbe(target, probe, isConnected);
                              self->notifyProbed(target.id);
                          });
}

void LinkMonitor::awaitLateAnswer(const wire::FleetUpstream &target)
{
    m_loop.post([self = shared_from_this(), target] {
        const auto found = self->m_pendingProbes.find(target.id);
        if (found == self->m_pendingProbes.end())
            return;
        found->second.hasTimedOut = true;
        const LinkEvidence evidence =
                self->recordUnanswered(target.id, target.address, found->second.began);
        if (evidence != LinkEvidence::Acknowledged)
            self->probeFollowing();
        self->notifyProbed(target.id);
    });
}

void LinkMonitor::handleProbe(const wire::FleetUpstream &target, const Probe &probe,
                              bool isConnected)
{
    if (isConnected) {
        m_acceptedAt[target.id] = m_reachedAt[target.id] = SystemClock::instance().now();
        return record([](auto &current) { current.connected(); });
    }
    m_acceptedAt.erase(target.id);
    if (probe.hasTimedOut) {
        recordUnanswered(target.id, target.address, probe.began);
        return;
    }
    // Established connections may live on while new ones are refused.
    recordProbeFailure(target.id, "not_connected", evidenceAt(target.address, probeTimeout),
                       [&](auto &current) { current.notConnected(target.id); });
    probeFollowing();
}

LinkEvidence LinkMonitor::recordUnanswered(const std::string &upstream, const std::string &address,
                                           absl::Time began)
{
    eraseUntil(m_acceptedAt, upstream, began);
    const LinkEvidence evidence = evidenceAt(address, SystemClock::instance().now() - began);
    m_unansweredConnects[upstream] = {address, began, evidence};
    if (m_evidenceTimer == 0 && !m_isStopped)
        m_evidenceTimer = m_loop.timers().subscribeEvery(
                evidencePeriod, [self = shared_from_this()] { self->reviewEvidence(); });
    recordEvidence(upstream, evidence);
    return evidence;
}

void LinkMonitor::recordEvidence(const std::string &upstream, LinkEvidence evidence)
{
    if (evidence == LinkEvidence::Acknowledged)
        m_reachedAt[upstream] = SystemClock::instance().now();
    else
        eraseUntil(m_reachedAt, upstream, m_unansweredConnects[upstream].began);
    recordProbeFailure(upstream, "unanswered", evidence,
                       [&](auto &current) { current.unanswered(upstream, evidence); });
}

void LinkMonitor::reviewEvidence()
{
    std::map<std::string, LinkEvidence> changes;
    for (auto entry = m_unansweredConnects.begin(); entry != m_unansweredConnects.end();) {
        auto &[upstream, attempt] = *entry;
        const bool isOpen = m_links.hasFailed(upstream) || m_pendingProbes.count(upstream) != 0
                            || attempt.evidence == LinkEvidence::Pending;
        if (!isOpen) {
            entry = m_unansweredConnects.erase(entry);
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
    if (m_unansweredConnects.empty())
        m_loop.timers().unsubscribe(std::exchange(m_evidenceTimer, 0));
}

template <typename Change>
void LinkMonitor::recordProbeFailure(const std::string &upstream, std::string_view result,
                                     LinkEvidence evidence, const Change &change)
{
    const bool isNewFailure = !m_links.hasFailed(upstream);
    if (isNewFailure)
        log(LogLevel::Info, "upstream-probe-failed",
            {{"upstream", upstream}, {"result", result}, {"evidence", name(evidence)}});
    record(change);
    // Failed attempts may follow each other without a pause, because each concerns another
    // upstream.
    if (isNewFailure && m_links.hasFailed(upstream) && m_links.canConnect() && m_links.isSuspect())
        probeNext();
}

} // namespace rattanrill::serving
