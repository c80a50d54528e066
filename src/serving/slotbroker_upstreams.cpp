#include "rattanrill/serving/slotbroker.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

/// What a SlotBroker knows of the upstreams and of the links to them.
namespace rattanrill::serving {
namespace {

constexpr std::array<EnumName<ReportSource>, 2> reportSourceNames = {{
        {ReportSource::OwnResponse, "response"},
        {ReportSource::OtherProcess, "report"},
}};

/// Time after which no slot that was granted before an upstream was known as draining can lead to a
/// request: a broker grants by a list that is at most 2 s old, and a connection takes up to 1 s.
constexpr absl::Duration maxGrantDelay = absl::Seconds(3);

} // namespace

void SlotBroker::setUpstreams(const std::vector<wire::FleetUpstream> &upstreams,
                              const CapacityShare &share, absl::Time readAt)
{
    const bool hasNewRate = share.rateFraction != m_share.rateFraction;
    m_share = share;
    if (hasNewRate && m_deployment)
        setDeployment(m_deployment);
    m_upstreams.clear();
    m_listedCold.clear();
    m_listReadAt = readAt;
    for (const wire::FleetUpstream &upstream : upstreams) {
        const std::int64_t slots = std::max<std::int64_t>(upstream.slots, 1);
        std::optional<std::int64_t> ownSlots;
        if (share.slotFraction < 1)
            ownSlots = static_cast<std::int64_t>(
                    std::ceil(static_cast<double>(slots) * share.slotFraction));
        m_upstreams.push_back({upstream.id, upstream.service, upstream.address,
                               upstream.failureDomain, slots, upstream.draining, upstream.version,
                               ownSlots});
        if (upstream.coldRemainingMs >= 0)
            m_listedCold[upstream.id] = upstream.coldRemainingMs;
    }
    recordDraining(upstreams);
    m_versions.setUpstreams(m_clock.now(), m_upstreams, readAt);
    endLeaving(readAt);
    applyUpstreams();
    resumeAfterRead();
}

void SlotBroker::confirmUpstreams(absl::Time readAt)
{
    m_versions.confirm(readAt);
    if (endLeaving(readAt))
        applyUpstreams();
    resumeAfterRead();
}

/// Ends the announcements that the current list disproves. Returns false when there are none.
bool SlotBroker::endLeaving(absl::Time readAt)
{
    const auto endedLeaving = m_leaving.update(m_upstreams, readAt);
    for (const policy::EndedLeaving &ended : endedLeaving)
        log(LogLevel::Info, "upstream-leaving-ended",
            {{"upstream", ended.upstream}, {"reason", policy::name(ended.reason)}});
    return !endedLeaving.empty();
}

void SlotBroker::setEvacuatedDomains(const std::vector<std::string> &failureDomains)
{
    std::set<std::string> domains(failureDomains.begin(), failureDomains.end());
    if (domains == m_evacuatedDomains)
        return;
    m_evacuatedDomains = std::move(domains);
    applyUpstreams();
}

/// Passes the list to the scheduler. An upstream that announced that it leaves, or whose failure
/// domain is evacuated, gets no tasks, like one that the list shows as draining.
void SlotBroker::applyUpstreams()
{
    std::vector<policy::SlotUpstream> list = m_upstreams;
    m_evacuatedUpstreams.clear();
    for (policy::SlotUpstream &upstream : list) {
        if (m_evacuatedDomains.count(upstream.failureDomain) != 0)
            m_evacuatedUpstreams.insert(upstream.id);
        upstream.leaving = upstream.leaving || isLeaving(upstream.id, upstream.address);
    }
    m_scheduler.setUpstreams(list);
    applyWarmUp();
    decide();
}

void SlotBroker::reportLoad(const wire::UpstreamLoad &load, ReportSource source)
{
    const absl::Time now = m_clock.now();
    if (load.leaving && recordLeaving(load, source))
        applyUpstreams();
    if (load.requests >= 0)
        m_scheduler.loadReported(now, load.upstream, load.requests);
    reportCold(load);
    if (load.pace != 0)
        m_scheduler.paceReported(now, load.upstream, load.pace);
    if (load.requestLimit < 0)
        return;
    std::optional<double> limit;
    if (load.requestLimit > 0)
        limit = load.requestLimit * m_share.limitFraction;
    if (!m_scheduler.limitReported(now, load.upstream, limit))
        return;
    log(LogLevel::Info, "upstream-limit-changed",
        {{"upstream", load.upstream},
         {"requestLimit", load.requestLimit},
         {"limitFraction", m_share.limitFraction}});
    decide();
}

/// Returns true when the upstream did not count as leaving before.
bool SlotBroker::recordLeaving(const wire::UpstreamLoad &load, ReportSource source)
{
    const absl::Time announcedAt = m_clock.now() - absl::Milliseconds(load.leavingAgeMs);
    if (!m_leaving.record(announcedAt, load.upstream, load.address))
        return false;
    log(LogLevel::Info, "upstream-leaving",
        {{"upstream", load.upstream},
         {"address", load.address},
         {"source", nameOf(reportSourceNames, source)},
         {"ageMs", load.leavingAgeMs}});
    if (m_leavingListener)
        m_leavingListener(load.address);
    return true;
}

bool SlotBroker::isLeaving(const std::string &id, const std::string &address) const
{
    return m_evacuatedUpstreams.count(id) != 0 || m_leaving.isLeaving(id, address)
           || isNewlyDraining(id, address);
}

void SlotBroker::recordDraining(const std::vector<wire::FleetUpstream> &upstreams)
{
    const auto former = std::exchange(m_draining, {});
    for (const wire::FleetUpstream &upstream : upstreams) {
        if (!upstream.draining)
            continue;
        const auto found = former.find(upstream.id);
        const bool isKnown = found != former.end() && found->second.address == upstream.address;
        m_draining[upstream.id] = {upstream.address, isKnown ? found->second.since : m_clock.now()};
    }
}

/// An upstream that has drained for longer may have restarted, which the process that granted the
/// slot may know earlier.
bool SlotBroker::isNewlyDraining(const std::string &id, const std::string &address) const
{
    const auto found = m_draining.find(id);
    return found != m_draining.end() && found->second.address == address
           && m_clock.now() - found->second.since <= maxGrantDelay;
}

absl::Time SlotBroker::announcedLeavingAt(const std::string &upstream) const
{
    return m_leaving.announcedAt(upstream);
}

void SlotBroker::onUpstreamLeaving(std::function<void(const std::string &address)> listener)
{
    m_leavingListener = std::move(listener);
}

void SlotBroker::clearAccumulatedRequests()
{
    m_scheduler.clearAccumulatedRequests(m_clock.now());
}

bool SlotBroker::hasRequestLimit(const std::string &upstream) const
{
    return m_scheduler.requestLimit(m_clock.now(), upstream).has_value();
}

std::optional<policy::Forwarder> SlotBroker::chooseForwarder(const std::string &sender,
                                                             const std::string &failureDomain,
                                                             const std::string &upstream)
{
    const absl::Time now = m_clock.now();
    return m_forwarders.choose(now, sender, failureDomain, [&](const policy::Forwarder &forwarder) {
        return !m_scheduler.isEjectedFor(now, upstream, forwarder.instance);
    });
}

void SlotBroker::releaseForwarder(const std::string &instance, bool hasFailed)
{
    m_forwarders.release(instance);
    if (hasFailed)
        m_forwarders.recordFailure(m_clock.now(), instance);
}

void SlotBroker::recordLinks(const std::string &instance, bool isCutOff)
{
    const absl::Time now = m_clock.now();
    m_forwarders.recordLinks(now, instance, isCutOff);
    if (isCutOff)
        m_scheduler.discardReports(now, instance);
}

} // namespace rattanrill::serving
