#include "rattanrill/wire/fleetmessages.h"

#include "messagedefinition.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<MemberRole>, 3> memberRoleNames = {{
        {MemberRole::Entry, "entry"},
        {MemberRole::Control, "control"},
        {MemberRole::Store, "store"},
}};

constexpr std::array<EnumName<SlotOutcome>, 6> slotOutcomeNames = {{
        {SlotOutcome::Granted, "granted"},
        {SlotOutcome::OverRate, "over_rate"},
        {SlotOutcome::NoSlot, "no_place"},
        {SlotOutcome::Waiting, "waiting"},
        {SlotOutcome::VersionUnknown, "version_unknown"},
        {SlotOutcome::VersionGone, "version_gone"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(MemberRole, memberRoleNames)
RATTANRILL_WIRE_ENUM(SlotOutcome, slotOutcomeNames)
RATTANRILL_WIRE_FIELDS(FleetMember, instance, role, failureDomain, peerAddress, replica,
                       forwardsCalls)
RATTANRILL_WIRE_FIELDS(FleetUpstream, id, service, address, failureDomain, slots, draining, version,
                       coldRemainingMs)
RATTANRILL_WIRE_FIELDS(PutConfiguration, version, document)
RATTANRILL_WIRE_FIELDS(RetireStore, replica, instance, otherStores, minRemainingStores)
RATTANRILL_WIRE_FIELDS(CompleteRetirement, replica)
RATTANRILL_WIRE_FIELDS(BootstrapStoreGroup, voters)
RATTANRILL_WIRE_FIELDS(BlockedPrompt, parts, trialsLeft, trialProcess, trialNumber,
                       isLostTrialReplaced, isForItem, crashedItemTrials)
RATTANRILL_WIRE_FIELDS(PutBlockedPrompts, prompts)
RATTANRILL_WIRE_FIELDS(SetEvacuation, failureDomain, isEvacuated, isKnown)
RATTANRILL_WIRE_FIELDS(FleetCommand, operation)
RATTANRILL_WIRE_FIELDS(FleetResult, configurationVersion)
RATTANRILL_WIRE_FIELDS(FleetQuery, knownVersion)
RATTANRILL_WIRE_FIELDS(StoreRetirement, instance, replica, completed)
RATTANRILL_WIRE_FIELDS(DomainEvacuation, failureDomain, isEvacuated)
RATTANRILL_WIRE_FIELDS(FleetSnapshot, configurationVersion, configuration, retiringStores,
                       storeFounders, blockedPrompts, retirements, evacuations)
RATTANRILL_WIRE_FIELDS(FleetMemberStatus, member, alive, leadsStores, retiring, holdsCopy)
RATTANRILL_WIRE_FIELDS(RelayedMember, member, ageMs)
RATTANRILL_WIRE_FIELDS(FleetSyncRequest, self, leadsStores, storeTerm, storeReplicas, leaving,
                       viewTerm, viewSequence, promptSequence, configurationVersion, waitMs,
                       acceptsChanges, acceptsRelay, relayed, retiredStores)
RATTANRILL_WIRE_FIELDS(FleetSyncResponse, viewTerm, viewSequence, upstreamsAgeMs, heldMs,
                       promptSequence, promptsIncluded, blockedPrompts, suspectPromptParts,
                       configurationVersion, configuration, members, membersSettled, storeFounders,
                       upstreamsKnown, upstreams, drainingUpstreams, containsChangesOnly,
                       removedMembers, removedUpstreams, liveEntries, upstreamsTerm, viewAgeMs,
                       leaderAddress, openRetirements, evacuatedDomains)
RATTANRILL_WIRE_FIELDS(CrashedAttempt, upstream, promptParts, sentAgeMs, crashAgeMs)
RATTANRILL_WIRE_FIELDS(BegunPart, part, ageMs)
RATTANRILL_WIRE_FIELDS(TrialReport, parts, trialNumber, isSent, isReturned)
RATTANRILL_WIRE_FIELDS(CrashEvidence, instance, crashes, begun, process, rejected, trials,
                       isForwarded)
RATTANRILL_WIRE_FIELDS(SlotRequest, again, requestId, instance, failureDomain, service, workspace,
                       priority, chargesRate, promptTokens, outputTokens, objectiveMs, deadlineMs,
                       excluded, stream, resumed, versionKnown, version, needsForwarder)
RATTANRILL_WIRE_FIELDS(SlotResponse, verdict, upstream, address, retryAfterMs, version, forwarder,
                       forwarderAddress, rateLevel)
RATTANRILL_WIRE_FIELDS(HeldSlot, requestId, service, workspace, upstream, deadlineMs)
RATTANRILL_WIRE_FIELDS(RateCharge, workspace, requests, ageMs, levelChange, levelAgeMs)
RATTANRILL_WIRE_FIELDS(StreamVersion, stream, service, version, ageMs)
RATTANRILL_WIRE_FIELDS(HeldSlots, instance, places, charges, streams)
RATTANRILL_WIRE_FIELDS(UpstreamLoad, upstream, requests, requestLimit, leaving, leavingAgeMs,
                       address, coldRemainingMs, pace)
RATTANRILL_WIRE_FIELDS(SlotRelease, instance, requestId, upstream, end, stream, service, version,
                       forwarder, forwarderFailed, isCutOff, isWitness)

RATTANRILL_WIRE_MESSAGE(FleetCommand)
RATTANRILL_WIRE_MESSAGE(FleetResult)
RATTANRILL_WIRE_MESSAGE(FleetQuery)
RATTANRILL_WIRE_MESSAGE(FleetSnapshot)
RATTANRILL_WIRE_MESSAGE(FleetSyncRequest)
RATTANRILL_WIRE_MESSAGE(FleetSyncResponse)
RATTANRILL_WIRE_MESSAGE(CrashEvidence)
RATTANRILL_WIRE_MESSAGE(SlotRequest)
RATTANRILL_WIRE_MESSAGE(SlotResponse)
RATTANRILL_WIRE_MESSAGE(HeldSlots)
RATTANRILL_WIRE_MESSAGE(UpstreamLoad)
RATTANRILL_WIRE_MESSAGE(SlotRelease)

std::string_view name(MemberRole role)
{
    return nameOf(memberRoleNames, role);
}

} // namespace rattanrill::wire
