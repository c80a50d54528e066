#include "rattanrill/fleet/distributedview.h"

#include "rattanrill/fleet/upstreamlist.h"

#include <utility>

namespace rattanrill::fleet {
namespace {

bool isEntry(const wire::FleetMemberStatus &status)
{
    return status.member.role == wire::MemberRole::Entry;
}

bool isLiveEntry(const wire::FleetMemberStatus &status)
{
    return isEntry(status) && status.alive;
}

bool sameStatus(const wire::FleetMemberStatus &left, const wire::FleetMemberStatus &right)
{
    return left.member.replica == right.member.replica
           && left.member.peerAddress == right.member.peerAddress && left.alive == right.alive
           && left.leadsStores == right.leadsStores && left.retiring == right.retiring
           && left.holdsCopy == right.holdsCopy;
}

} // namespace

void DistributedView::reset(std::uint64_t term, std::uint64_t sequence)
{
    *this = DistributedView();
    m_term = term;
    m_sequence = sequence;
    m_sharedSequence = sequence;
    m_memberChanges.reset(sequence);
    m_upstreamChanges.reset(sequence);
}

void DistributedView::putMember(const wire::FleetMemberStatus &status)
{
    const auto [found, isNew] = m_members.try_emplace(status.member.instance);
    if (!isNew && sameStatus(found->second, status))
        return;
    m_liveEntries += (isLiveEntry(status) ? 1 : 0) - (isLiveEntry(found->second) ? 1 : 0);
    found->second = status;
    m_memberChanges.record(status.member.instance, m_sequence);
    if (!isEntry(status))
        m_sharedSequence = m_sequence;
}

void DistributedView::removeMember(const std::string &instance)
{
    const auto found = m_members.find(instance);
    if (found == m_members.end())
        return;
    m_liveEntries -= isLiveEntry(found->second) ? 1 : 0;
    if (!isEntry(found->second))
        m_sharedSequence = m_sequence;
    m_members.erase(found);
    m_memberChanges.record(instance, m_sequence);
}

void DistributedView::setUpstreams(std::vector<wire::FleetUpstream> upstreams, std::uint64_t term)
{
    const std::vector<std::string> changed = changedUpstreamKeys(m_upstreams, upstreams);
    const bool isNewTerm = !m_upstreamsKnown || m_upstreamsTerm != term;
    if (isNewTerm)
        m_listSequence = m_sequence;
    m_upstreams = std::move(upstreams);
    m_upstreamsKnown = true;
    m_upstreamsTerm = term;
    m_drainingMarks.clear();
    for (const std::string &key : changed)
        m_upstreamChanges.record(key, m_sequence);
    if (isNewTerm || !changed.empty())
        m_sharedSequence = m_sequence;
}

void DistributedView::setDrainingMarks(std::set<std::string> upstreams)
{
    if (upstreams == m_drainingMarks)
        return;
    m_drainingMarks = std::move(upstreams);
    m_sharedSequence = m_sequence;
}

void DistributedView::setMembersSettled(bool settled)
{
    if (std::exchange(m_membersSettled, settled) != settled)
        m_sharedSequence = m_sequence;
}

void DistributedView::setStoreFounders(const std::vector<std::string> &replicas)
{
    if (replicas == m_storeFounders)
        return;
    m_storeFounders = replicas;
    m_sharedSequence = m_sequence;
}

void DistributedView::setOpenRetirements(const std::vector<std::string> &replicas)
{
    if (replicas == m_openRetirements)
        return;
    m_openRetirements = replicas;
    m_sharedSequence = m_sequence;
}

void DistributedView::setEvacuatedDomains(const std::vector<std::string> &failureDomains)
{
    if (failureDomains == m_evacuatedDomains)
        return;
    m_evacuatedDomains = failureDomains;
    m_sharedSequence = m_sequence;
}

std::int64_t DistributedView::liveEntries() const
{
    return m_reportedLiveEntries < 0 ? m_liveEntries : m_reportedLiveEntries;
}

bool DistributedView::isCurrent(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm == m_term && request.viewSequence >= m_sharedSequence;
}

bool DistributedView::isBehind(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm > m_term
           || (request.viewTerm == m_term && request.viewSequence > m_sequence);
}

void DistributedView::fill(wire::FleetSyncResponse &response,
                           const wire::FleetSyncRequest &request) const
{
    response.viewTerm = m_term;
    response.viewSequence = m_sequence;
    response.liveEntries = liveEntries();
    if (request.viewTerm == m_term && request.viewSequence == m_sequence)
        return;
    response.membersSettled = m_membersSettled;
    response.storeFounders = m_storeFounders;
    response.openRetirements = m_openRetirements;
    response.evacuatedDomains = m_evacuatedDomains;
    response.upstreamsKnown = m_upstreamsKnown;
    response.upstreamsTerm = m_upstreamsTerm;
    response.drainingUpstreams.assign(m_drainingMarks.begin(), m_drainingMarks.end());
    // Older processes count the entries in the list.
    const bool includesEntries =
            request.self.role == wire::MemberRole::Store || !request.acceptsChanges;
    const bool hasBase = request.acceptsChanges && request.viewTerm == m_term
                         && request.viewSequence >= m_listSequence
                         && m_memberChanges.isCompleteSince(request.viewSequence)
                         && m_upstreamChanges.isCompleteSince(request.viewSequence);
    if (hasBase)
        fillChanges(response, request.viewSequence, includesEntries);
    else
        fillAll(response, includesEntries);
}

void DistributedView::fillAll(wire::FleetSyncResponse &response, bool includesEntries) const
{
    for (const auto &[instance, status] : m_members) {
        if (includesEntries || !isEntry(status))
            response.members.push_back(status);
    }
    response.upstreams = m_upstreams;
}

void DistributedView::fillChanges(wire::FleetSyncResponse &response, std::uint64_t since,
                                  bool includesEntries) const
{
    response.containsChangesOnly = true;
    for (const std::string &instance : m_memberChanges.keysSince(since)) {
        const auto found = m_members.find(instance);
        if (found == m_members.end())
            response.removedMembers.push_back(instance);
        else if (includesEntries || !isEntry(found->second))
            response.members.push_back(found->second);
    }
    const std::vector<std::string> keys = m_upstreamChanges.keysSince(since);
    const std::set<std::string> changed(keys.begin(), keys.end());
    std::set<std::string> removed = changed;
    for (const wire::FleetUpstream &upstream : m_upstreams) {
        if (changed.count(upstreamKey(upstream)) == 0)
            continue;
        response.upstreams.push_back(upstream);
        removed.erase(upstreamKey(upstream));
    }
    response.removedUpstreams.assign(removed.begin(), removed.end());
}

} // namespace rattanrill::fleet
