#include "rattanrill/fleet/fleetview.h"

#include "rattanrill/fleet/upstreamlist.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// A process is removed after this many member timeouts without a heartbeat.
constexpr int timeoutsUntilRemoval = 10;
/// The store group is bootstrapped as soon as this many stores are alive.
constexpr std::size_t targetStoreVoters = 3;
/// With fewer live stores, the store group is bootstrapped this long after the start of the term.
constexpr absl::Duration bootstrapTimeout = absl::Seconds(3);

bool samePrompt(const wire::BlockedPrompt &left, const wire::BlockedPrompt &right)
{
    return left.parts == right.parts && left.trialsLeft == right.trialsLeft
           && left.trialProcess == right.trialProcess;
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
    m_termStartedAt = now;
    m_membersComplete = false;
    m_promptSequence = 1;
    m_suspectPromptParts.clear();
    m_upstreamsKnown = false;
    m_upstreamsReadAt = absl::InfinitePast();
    m_upstreams.clear();
    m_drainingMarks.clear();
    m_members.clear();
    m_storeTerm = 0;
    m_storeReplicas.clear();
}

void FleetView::setRecords(const wire::FleetSnapshot &records)
{
    const bool isSamePrompts = std::equal(
            records.blockedPrompts.begin(), records.blockedPrompts.end(),
            m_records.blockedPrompts.begin(), m_records.blockedPrompts.end(), samePrompt);
    if (!isSamePrompts) {
        m_records.blockedPrompts = records.blockedPrompts;
        ++m_promptSequence;
    }
    const bool isNew = records.configurationVersion != m_records.configurationVersion
                       || records.retiringStores != m_records.retiringStores
                       || records.storeFounders != m_records.storeFounders;
    if (!isNew)
        return;
    // The result of a query for the version that is already known contains no document.
    const bool hasDocument = records.configurationVersion != m_records.configurationVersion;
    const std::string document = hasDocument ? records.configuration : m_records.configuration;
    m_records = records;
    m_records.configuration = document;
    incrementSequence();
}

void FleetView::setUpstreams(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt)
{
    const bool isSame = m_upstreamsKnown && sameUpstreams(upstreams, m_upstreams);
    m_upstreamsKnown = true;
    m_upstreamsReadAt = readAt;
    if (isSame)
        return;
    m_upstreams = std::move(upstreams);
    m_drainingMarks.clear();
    incrementSequence();
}

void FleetView::applyPage(const std::vector<wire::FleetUpstream> &upstreams)
{
    if (!m_upstreamsKnown) {
        std::set<std::string> marks = drainingIds(upstreams);
        marks.insert(m_drainingMarks.begin(), m_drainingMarks.end());
        return setDrainingMarks(std::move(marks));
    }
    if (mergeUpstreams(m_upstreams, upstreams))
        incrementSequence();
}

void FleetView::setDrainingMarks(std::set<std::string> upstreams)
{
    if (upstreams == m_drainingMarks)
        return;
    m_drainingMarks = std::move(upstreams);
    incrementSequence();
}

void FleetView::setSuspectPromptParts(std::vector<std::string> parts)
{
    if (parts == m_suspectPromptParts)
        return;
    m_suspectPromptParts = std::move(parts);
    ++m_promptSequence;
}

void FleetView::recordHeartbeat(const wire::FleetSyncRequest &request, absl::Time now)
{
    if (request.self.instance.empty())
        return;
    if (request.leaving) {
        if (m_members.erase(request.self.instance) > 0)
            incrementSequence();
        return;
    }
    const bool leadsStores = request.leadsStores && request.storeTerm >= m_storeTerm;
    if (leadsStores)
        updateStoreLeader(request);
    MemberEntry &memberEntry = m_members[request.self.instance];
    wire::FleetMemberStatus status;
    status.member = request.self;
    status.alive = true;
    status.leadsStores = leadsStores;
    if (!sameMember(memberEntry.status, status))
        incrementSequence();
    memberEntry.status = std::move(status);
    memberEntry.lastHeartbeatAt = now;
}

/// A former leader of the store group that is partitioned or has stopped counts as alive until the
/// member timeout. Therefore only the leader of the highest term is reported as the store leader.
void FleetView::updateStoreLeader(const wire::FleetSyncRequest &request)
{
    m_storeTerm = request.storeTerm;
    if (m_storeReplicas != request.storeReplicas) {
        m_storeReplicas = request.storeReplicas;
        incrementSequence();
    }
    for (auto &[instance, memberEntry] : m_members) {
        if (memberEntry.status.leadsStores && instance != request.self.instance) {
            memberEntry.status.leadsStores = false;
            incrementSequence();
        }
    }
}

void FleetView::expire(absl::Time now)
{
    if (!m_membersComplete && now - m_termStartedAt > m_memberTimeout) {
        m_membersComplete = true;
        incrementSequence();
    }
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        MemberEntry &memberEntry = entry->second;
        const absl::Duration sinceHeartbeat = now - memberEntry.lastHeartbeatAt;
        if (memberEntry.status.alive && sinceHeartbeat > m_memberTimeout) {
            memberEntry.status.alive = false;
            memberEntry.status.leadsStores = false;
            incrementSequence();
        }
        const bool isExpired = sinceHeartbeat > m_memberTimeout * timeoutsUntilRemoval;
        entry = isExpired ? m_members.erase(entry) : std::next(entry);
        if (isExpired)
            incrementSequence();
    }
}

bool FleetView::isCurrent(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm == m_term && request.viewSequence == m_sequence;
}

bool FleetView::hasCurrentPrompts(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm == m_term && request.promptSequence == m_promptSequence;
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
    response.promptSequence = m_promptSequence;
    response.promptsIncluded = !hasCurrentPrompts(request);
    if (response.promptsIncluded) {
        response.blockedPrompts = m_records.blockedPrompts;
        response.suspectPromptParts = m_suspectPromptParts;
    }
    if (isCurrent(request))
        return response;
    for (const auto &[instance, memberEntry] : m_members) {
        wire::FleetMemberStatus status = memberEntry.status;
        const std::string &replica = status.member.replica;
        status.retiring = isRetiring(replica);
        status.holdsCopy = std::find(m_storeReplicas.begin(), m_storeReplicas.end(), replica)
                           != m_storeReplicas.end();
        response.members.push_back(std::move(status));
    }
    response.membersSettled = m_membersComplete;
    response.storeFounders = m_records.storeFounders;
    response.upstreamsKnown = m_upstreamsKnown;
    response.upstreams = m_upstreams;
    response.drainingUpstreams.assign(m_drainingMarks.begin(), m_drainingMarks.end());
    return response;
}

std::vector<VoterCandidate> FleetView::voterCandidates(wire::MemberRole role) const
{
    std::vector<VoterCandidate> candidates;
    for (const auto &[instance, memberEntry] : m_members) {
        const wire::FleetMember &member = memberEntry.status.member;
        if (m_membersComplete && member.role == role)
            candidates.push_back({member.replica, member.failureDomain, memberEntry.status.alive,
                                  isRetiring(member.replica)});
    }
    return candidates;
}

std::vector<std::string> FleetView::initialStoreVoters(absl::Time now) const
{
    std::vector<std::string> voters;
    if (!m_records.storeFounders.empty())
        return voters;
    for (const auto &[instance, memberEntry] : m_members) {
        const bool isStore = memberEntry.status.member.role == wire::MemberRole::Store;
        if (isStore && memberEntry.status.alive && voters.size() < targetStoreVoters)
            voters.push_back(memberEntry.status.member.replica);
    }
    const bool timedOut = now - m_termStartedAt >= bootstrapTimeout;
    if (voters.size() < targetStoreVoters && !timedOut)
        voters.clear();
    return voters;
}

} // namespace rattanrill::fleet
