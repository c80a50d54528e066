#include "fleetrelay.h"

#include <iterator>
#include <set>
#include <utility>

namespace rattanrill::fleet {
namespace {

std::int64_t roundedUpMilliseconds(absl::Duration duration)
{
    return absl::ToInt64Milliseconds(absl::Ceil(duration, absl::Milliseconds(1)));
}

} // namespace

FleetRelay::FleetRelay(absl::Duration memberTimeout)
    : m_memberTimeout(memberTimeout)
{}

void FleetRelay::update(const FleetState &state)
{
    m_state = state;
    if (state.leaderTerm != m_view.term())
        m_view.reset(state.leaderTerm, state.viewSequence);
    m_view.setSequence(state.viewSequence);
    std::set<std::string> removed;
    for (const auto &[instance, status] : m_view.members())
        removed.insert(instance);
    for (const wire::FleetMemberStatus &status : state.members) {
        removed.erase(status.member.instance);
        m_view.putMember(status);
    }
    for (const std::string &instance : removed)
        m_view.removeMember(instance);
    if (state.upstreamsKnown)
        m_view.setUpstreams(state.upstreams, state.upstreamsTerm);
    m_view.setMembersSettled(state.membersComplete);
    m_view.setStoreFounders(state.storeFounders);
    m_view.setOpenRetirements(state.openRetirements);
    m_view.setEvacuatedDomains(state.evacuatedDomains);
    m_view.setLiveEntries(state.liveEntries);
}

bool FleetRelay::recordPoll(const wire::FleetSyncRequest &request, absl::Time now)
{
    const auto [found, isNew] = m_members.try_emplace(request.self.instance);
    const bool isNewProcess = isNew || found->second.member.replica != request.self.replica;
    found->second = {request.self, now};
    return isNewProcess;
}

void FleetRelay::removeMember(const std::string &instance)
{
    m_members.erase(instance);
}

std::vector<wire::RelayedMember> FleetRelay::members(absl::Time now)
{
    std::vector<wire::RelayedMember> result;
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        const absl::Duration age = now - entry->second.polledAt;
        if (age > m_memberTimeout) {
            entry = m_members.erase(entry);
            continue;
        }
        result.push_back({entry->second.member, roundedUpMilliseconds(age)});
        ++entry;
    }
    return result;
}

bool FleetRelay::hasCurrentPrompts(const wire::FleetSyncRequest &request) const
{
    return request.viewTerm == m_view.term() && request.promptSequence == m_state.promptSequence;
}

bool FleetRelay::hasNews(const wire::FleetSyncRequest &request) const
{
    return !m_view.isCurrent(request) || !hasCurrentPrompts(request)
           || request.configurationVersion < m_state.configurationVersion;
}

bool FleetRelay::isBehind(const wire::FleetSyncRequest &request) const
{
    return m_view.isBehind(request);
}

wire::FleetSyncResponse FleetRelay::makeResponse(const wire::FleetSyncRequest &request,
                                                 absl::Time receivedAt, absl::Time now,
                                                 absl::Duration viewAge) const
{
    wire::FleetSyncResponse response;
    response.heldMs = absl::ToInt64Milliseconds(now - receivedAt);
    response.viewAgeMs = roundedUpMilliseconds(viewAge);
    if (m_state.upstreamsReadAt != absl::InfinitePast())
        response.upstreamsAgeMs = roundedUpMilliseconds(now - m_state.upstreamsReadAt);
    response.leaderAddress = m_state.leaderAddress;
    response.configurationVersion = m_state.configurationVersion;
    if (request.configurationVersion < m_state.configurationVersion)
        response.configuration = m_state.configuration;
    response.promptSequence = m_state.promptSequence;
    response.promptsIncluded = !hasCurrentPrompts(request);
    if (response.promptsIncluded) {
        response.blockedPrompts = m_state.blockedPrompts;
        response.suspectPromptParts = m_state.suspectPromptParts;
    }
    m_view.fill(response, request);
    return response;
}

} // namespace rattanrill::fleet
