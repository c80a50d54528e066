#include "rattanrill/fleet/fleetview.h"

#include "rattanrill/fleet/upstreamlist.h"

#include "absl/algorithm/container.h"

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
           && left.trialProcess == right.trialProcess && left.trialNumber == right.trialNumber
           && left.isLostTrialReplaced == right.isLostTrialReplaced
           && left.isForItem == right.isForItem
           && left.crashedItemTrials == right.crashedItemTrials;
}

bool sameMember(const wire::FleetMember &left, const wire::FleetMember &right)
{
    return left.replica == right.replica && left.peerAddress == right.peerAddress;
}

bool sameRetirement(const wire::StoreRetirement &left, const wire::StoreRetirement &right)
{
    return left.instance == right.instance && left.replica == right.replica
           && left.completed == right.completed;
}

bool sameEvacuation(const wire::DomainEvacuation &left, const wire::DomainEvacuation &right)
{
    return left.failureDomain == right.failureDomain && left.isEvacuated == right.isEvacuated;
}

std::vector<std::string> evacuatedDomains(const wire::FleetSnapshot &records)
{
    std::vector<std::string> failureDomains;
    for (const wire::DomainEvacuation &evacuation : records.evacuations) {
        if (evacuation.isEvacuated)
            failureDomains.push_back(evacuation.failureDomain);
    }
    return failureDomains;
}

std::vector<std::string> openRetirements(const wire::FleetSnapshot &records)
{
    std::vector<std::string> replicas;
    for (const wire::StoreRetirement &retirement : records.retirements) {
        if (!retirement.completed)
            replicas.push_back(retirement.replica);
    }
    return replicas;
}

} // namespace

FleetView::FleetView(absl::Duration memberTimeout)
    : m_memberTimeout(memberTimeout)
{}

void FleetView::beginTerm(std::uint64_t term, absl::Time now)
{
    m_shared.reset(term, 1);
    m_shared.setStoreFounders(m_records.storeFounders);
    m_shared.setOpenRetirements(openRetirements(m_records));
    m_shared.setEvacuatedDomains(evacuatedDomains(m_records));
    m_termStartedAt = now;
    m_membersComplete = false;
    m_promptSequence = 1;
    m_suspectPromptParts.clear();
    m_upstreamsReadAt = absl::InfinitePast();
    m_heardAt.clear();
    m_storeTerm = 0;
    m_storeReplicas.clear();
    m_retiredStores.clear();
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
    const bool isSameRetirements =
            std::equal(records.retirements.begin(), records.retirements.end(),
                       m_records.retirements.begin(), m_records.retirements.end(), sameRetirement);
    const bool isSameEvacuations =
            std::equal(records.evacuations.begin(), records.evacuations.end(),
                       m_records.evacuations.begin(), m_records.evacuations.end(), sameEvacuation);
    const bool isNew = records.configurationVersion != m_records.configurationVersion
                       || !isSameEvacuations || records.retiringStores != m_records.retiringStores
                       || !isSameRetirements || records.storeFounders != m_records.storeFounders;
    if (!isNew)
        return;
    // The result of a query for the version that is already known contains no document.
    const bool hasDocument = records.configurationVersion != m_records.configurationVersion;
    const std::string document = hasDocument ? records.configuration : m_records.configuration;
    m_records = records;
    m_records.configuration = document;
    m_shared.beginChange();
    m_shared.setStoreFounders(m_records.storeFounders);
    m_shared.setOpenRetirements(openRetirements(m_records));
    m_shared.setEvacuatedDomains(evacuatedDomains(m_records));
    updateStoreMembers();
}

void FleetView::setUpstreams(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt)
{
    const bool isSame = m_shared.upstreamsKnown() && sameUpstreams(upstreams, m_shared.upstreams());
    m_upstreamsReadAt = readAt;
    if (isSame)
        return;
    m_shared.beginChange();
    m_shared.setUpstreams(std::move(upstreams), m_shared.term());
}

void FleetView::applyPage(const std::vector<wire::FleetUpstream> &upstreams)
{
    if (!m_shared.upstreamsKnown()) {
        std::set<std::string> marks = drainingIds(upstreams);
        marks.insert(m_shared.drainingMarks().begin(), m_shared.drainingMarks().end());
        return setDrainingMarks(std::move(marks));
    }
    std::vector<wire::FleetUpstream> list = m_shared.upstreams();
    if (!mergeUpstreams(list, upstreams))
        return;
    m_shared.beginChange();
    m_shared.setUpstreams(std::move(list), m_shared.term());
}

void FleetView::setDrainingMarks(std::set<std::string> upstreams)
{
    if (upstreams == m_shared.drainingMarks())
        return;
    m_shared.beginChange();
    m_shared.setDrainingMarks(std::move(upstreams));
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
    for (const wire::RelayedMember &relayed : request.relayed) {
        const absl::Time heardAt = now - absl::Milliseconds(relayed.ageMs);
        if (!relayed.member.instance.empty() && now - heardAt <= m_memberTimeout)
            recordMember(relayed.member, false, heardAt);
    }
    const std::string &instance = request.self.instance;
    if (instance.empty())
        return;
    if (request.leaving) {
        if (m_heardAt.erase(instance) == 0)
            return;
        m_shared.beginChange();
        m_shared.removeMember(instance);
        return;
    }
    const bool leadsStores = request.leadsStores && request.storeTerm >= m_storeTerm;
    if (leadsStores)
        updateStoreLeader(request);
    // Stays true whoever leads the store group later.
    m_retiredStores.insert(request.retiredStores.begin(), request.retiredStores.end());
    recordMember(request.self, leadsStores, now);
}

void FleetView::recordMember(const wire::FleetMember &member, bool leadsStores, absl::Time heardAt)
{
    const auto [last, isNew] = m_heardAt.try_emplace(member.instance, heardAt);
    // A relay that the member has left may report an earlier poll, also of a former process.
    if (!isNew && heardAt < last->second)
        return;
    last->second = heardAt;
    const auto known = m_shared.members().find(member.instance);
    const bool isSame = known != m_shared.members().end() && known->second.alive
                        && known->second.leadsStores == leadsStores
                        && sameMember(known->second.member, member);
    if (isSame)
        return;
    wire::FleetMemberStatus status;
    status.member = member;
    status.alive = true;
    status.leadsStores = leadsStores;
    m_shared.beginChange();
    m_shared.putMember(withStoreFlags(std::move(status)));
}

void FleetView::updateMember(const std::string &instance, bool alive, bool leadsStores)
{
    wire::FleetMemberStatus status = m_shared.members().at(instance);
    status.alive = alive;
    status.leadsStores = leadsStores;
    m_shared.beginChange();
    m_shared.putMember(status);
}

/// A former leader of the store group that is partitioned or has stopped counts as alive until the
/// member timeout. Therefore only the leader of the highest term is reported as the store leader.
void FleetView::updateStoreLeader(const wire::FleetSyncRequest &request)
{
    m_storeTerm = request.storeTerm;
    if (m_storeReplicas != request.storeReplicas) {
        m_storeReplicas = request.storeReplicas;
        m_shared.beginChange();
        updateStoreMembers();
    }
    std::vector<std::string> former;
    for (const auto &[instance, status] : m_shared.members()) {
        if (status.leadsStores && instance != request.self.instance)
            former.push_back(instance);
    }
    for (const std::string &instance : former)
        updateMember(instance, m_shared.members().at(instance).alive, false);
}

wire::FleetMemberStatus FleetView::withStoreFlags(wire::FleetMemberStatus status) const
{
    status.retiring = absl::c_linear_search(m_records.retiringStores, status.member.replica)
                      || hasOpenRetirement(status.member.instance);
    status.holdsCopy = absl::c_linear_search(m_storeReplicas, status.member.replica);
    return status;
}

bool FleetView::hasOpenRetirement(const std::string &instance) const
{
    return std::any_of(m_records.retirements.begin(), m_records.retirements.end(),
                       [&](const wire::StoreRetirement &retirement) {
                           return retirement.instance == instance && !retirement.completed;
                       });
}

void FleetView::updateStoreMembers()
{
    std::vector<wire::FleetMemberStatus> stores;
    for (const auto &[instance, status] : m_shared.members()) {
        if (status.member.role == wire::MemberRole::Store)
            stores.push_back(withStoreFlags(status));
    }
    for (const wire::FleetMemberStatus &status : stores)
        m_shared.putMember(status);
}

void FleetView::expire(absl::Time readUpTo)
{
    if (!m_membersComplete && readUpTo - m_termStartedAt > m_memberTimeout) {
        m_membersComplete = true;
        m_shared.beginChange();
        m_shared.setMembersSettled(true);
    }
    for (auto last = m_heardAt.begin(); last != m_heardAt.end();) {
        const std::string &instance = last->first;
        const absl::Duration silence = readUpTo - last->second;
        if (silence > m_memberTimeout * timeoutsUntilRemoval) {
            m_shared.beginChange();
            m_shared.removeMember(instance);
            last = m_heardAt.erase(last);
            continue;
        }
        if (silence > m_memberTimeout && m_shared.members().at(instance).alive)
            updateMember(instance, false, false);
        ++last;
    }
}

bool FleetView::isCurrent(const wire::FleetSyncRequest &request) const
{
    return m_shared.isCurrent(request);
}

bool FleetView::hasCurrentPrompts(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm == term() && request.promptSequence == m_promptSequence;
}

wire::FleetSyncResponse FleetView::makeResponse(const wire::FleetSyncRequest &request) const
{
    wire::FleetSyncResponse response;
    response.configurationVersion = m_records.configurationVersion;
    if (request.configurationVersion != m_records.configurationVersion)
        response.configuration = m_records.configuration;
    response.promptSequence = m_promptSequence;
    response.promptsIncluded = !hasCurrentPrompts(request);
    if (response.promptsIncluded) {
        response.blockedPrompts = m_records.blockedPrompts;
        response.suspectPromptParts = m_suspectPromptParts;
    }
    m_shared.fill(response, request);
    return response;
}

std::vector<VoterCandidate> FleetView::voterCandidates(wire::MemberRole role) const
{
    std::vector<VoterCandidate> candidates;
    for (const auto &[instance, status] : m_shared.members()) {
        const wire::FleetMember &member = status.member;
        if (m_membersComplete && member.role == role)
            candidates.push_back(
                    {member.replica, member.failureDomain, status.alive, status.retiring});
    }
    return candidates;
}

std::vector<std::string> FleetView::initialStoreVoters(absl::Time now) const
{
    std::vector<std::string> voters;
    if (!m_records.storeFounders.empty())
        return voters;
    for (const auto &[instance, status] : m_shared.members()) {
        const bool isStore = status.member.role == wire::MemberRole::Store;
        if (isStore && status.alive && voters.size() < targetStoreVoters)
            voters.push_back(status.member.replica);
    }
    const bool timedOut = now - m_termStartedAt >= bootstrapTimeout;
    if (voters.size() < targetStoreVoters && !timedOut)
        voters.clear();
    return voters;
}

std::vector<wire::FleetOperation> FleetView::retirementChanges() const
{
    std::vector<wire::FleetOperation> changes;
    for (const auto &[instance, status] : m_shared.members()) {
        const std::string &replica = status.member.replica;
        const bool isStore = status.member.role == wire::MemberRole::Store;
        if (isStore && hasOpenRetirement(instance)
            && !absl::c_linear_search(m_records.retiringStores, replica))
            changes.emplace_back(wire::RetireStore{replica, instance});
    }
    for (const wire::StoreRetirement &retirement : m_records.retirements) {
        if (!retirement.completed && m_retiredStores.count(retirement.replica) != 0)
            changes.emplace_back(wire::CompleteRetirement{retirement.replica});
    }
    return changes;
}

} // namespace rattanrill::fleet
