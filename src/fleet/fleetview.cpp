#include "rattanrill/fleet/fleetview.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// A process that was silent for this many member timeouts is forgotten.
constexpr int forgetTimeouts = 10;
/// Voters of the store group that are waited for, and how long.
constexpr std::size_t wantedFounders = 3;
constexpr absl::Duration founderWait = absl::Seconds(3);

bool sameUpstream(const wire::FleetUpstream &left, const wire::FleetUpstream &right)
{
    return left.id == right.id && left.service == right.service && left.address == right.address
           && left.failureDomain == right.failureDomain && left.slots == right.slots
           && left.draining == right.draining;
}

bool sameMember(const wire::FleetMemberStatus &left, const wire::FleetMemberStatus &right)
{
    return left.member.replica == right.member.replica
           && left.member.peerAddress == right.member.peerAddress && left.alive == right.alive
           && left.leadsStores == right.leadsStores;
}

} // namespace

FleetView::FleetView(absl::Duration memberTimeout)
    : m_memberTimeout(memberTimeout)
{}

void FleetView::beginTerm(std::uint64_t term, absl::Time now)
{
    m_term = term;
    m_sequence = 1;
    m_begunAt = now;
    m_hasAllMembers = false;
    m_upstreamsKnown = false;
    m_upstreams.clear();
    m_members.clear();
    m_storeTerm = 0;
    m_storeReplicas.clear();
}

void FleetView::setRecords(const wire::FleetSnapshot &records)
{
    const bool isNew = records.configurationVersion != m_records.configurationVersion
                       || records.retiringStores != m_records.retiringStores
                       || records.storeFounders != m_records.storeFounders;
    if (!isNew)
        return;
    // A query that names the known version brings no document.
    const bool hasDocument = records.configurationVersion != m_records.configurationVersion;
    const std::string document = hasDocument ? records.configuration : m_records.configuration;
    m_records = records;
    m_records.configuration = document;
    changed();
}

void FleetView::setUpstreams(std::vector<wire::FleetUpstream> upstreams)
{
    const bool isSame = m_upstreamsKnown
                        && std::equal(upstreams.begin(), upstreams.end(), m_upstreams.begin(),
                                      m_upstreams.end(), sameUpstream);
    m_upstreamsKnown = true;
    if (isSame)
        return;
    m_upstreams = std::move(upstreams);
    changed();
}

void FleetView::recordHeartbeat(const wire::FleetSyncRequest &request, absl::Time now)
{
    if (request.self.instance.empty())
        return;
    if (request.leaving) {
        if (m_members.erase(request.self.instance) > 0)
            changed();
        return;
    }
    const bool leadsStores = request.leadsStores && request.storeTerm >= m_storeTerm;
    if (leadsStores)
        noteStoreLeader(request);
    Known &known = m_members[request.self.instance];
    wire::FleetMemberStatus live;
    live.member = request.self;
    live.alive = true;
    live.leadsStores = leadsStores;
    if (!sameMember(known.live, live))
        changed();
    known.live = std::move(live);
    known.heardAt = now;
}

/// A leader that is cut off or gone is not alive for a while yet; the one of the highest term
/// counts.
void FleetView::noteStoreLeader(const wire::FleetSyncRequest &request)
{
    m_storeTerm = request.storeTerm;
    if (m_storeReplicas != request.storeReplicas) {
        m_storeReplicas = request.storeReplicas;
        changed();
    }
    for (auto &[instance, known] : m_members) {
        if (known.live.leadsStores && instance != request.self.instance) {
            known.live.leadsStores = false;
            changed();
        }
    }
}

void FleetView::expire(absl::Time now)
{
    if (!m_hasAllMembers && now - m_begunAt > m_memberTimeout) {
        m_hasAllMembers = true;
        changed();
    }
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        Known &known = entry->second;
        const absl::Duration silent = now - known.heardAt;
        if (known.live.alive && silent > m_memberTimeout) {
            known.live.alive = false;
            known.live.leadsStores = false;
            changed();
        }
        const bool isForgotten = silent > m_memberTimeout * forgetTimeouts;
        entry = isForgotten ? m_members.erase(entry) : std::next(entry);
        if (isForgotten)
            changed();
    }
}

bool FleetView::isCurrent(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm == m_term && request.viewSequence == m_sequence;
}

bool FleetView::isRetiring(const std::string &replica) const
{
    const auto &retiring = m_records.retiringStores;
    return std::find(retiring.begin(), retiring.end(), replica) != retiring.end();
}

wire::FleetSyncResponse FleetView::makeResponse(const wire::FleetSyncRequest &request) const
{
    wire::FleetSyncResponse response;
    response.viewTerm = m_term;
    response.viewSequence = m_sequence;
    response.configurationVersion = m_records.configurationVersion;
    if (request.configurationVersion != m_records.configurationVersion)
        response.configuration = m_records.configuration;
    if (isCurrent(request))
        return response;
    for (const auto &[instance, known] : m_members) {
        wire::FleetMemberStatus live = known.live;
        const std::string &replica = live.member.replica;
        live.retiring = isRetiring(replica);
        live.holdsCopy = std::find(m_storeReplicas.begin(), m_storeReplicas.end(), replica)
                         != m_storeReplicas.end();
        response.members.push_back(std::move(live));
    }
    response.membersSettled = m_hasAllMembers;
    response.storeFounders = m_records.storeFounders;
    response.upstreamsKnown = m_upstreamsKnown;
    response.upstreams = m_upstreams;
    return response;
}

std::vector<VoterCandidate> FleetView::voterCandidates(wire::MemberRole role) const
{
    std::vector<VoterCandidate> candidates;
    for (const auto &[instance, known] : m_members) {
        const wire::FleetMember &member = known.live.member;
        if (m_hasAllMembers && member.role == role)
            candidates.push_back({member.replica, member.failureDomain, known.live.alive,
                                  isRetiring(member.replica)});
    }
    return candidates;
}

std::vector<std::string> FleetView::storeFounders(absl::Time now) const
{
    std::vector<std::string> founders;
    if (!m_records.storeFounders.empty())
        return founders;
    for (const auto &[instance, known] : m_members) {
        const bool isStore = known.live.member.role == wire::MemberRole::Store;
        if (isStore && known.live.alive && founders.size() < wantedFounders)
            founders.push_back(known.live.member.replica);
    }
    const bool hasWaited = now - m_begunAt >= founderWait;
    if (founders.size() < wantedFounders && !hasWaited)
        founders.clear();
    return founders;
}

} // namespace rattanrill::fleet
