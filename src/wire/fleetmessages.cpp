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

constexpr std::array<EnumName<PlaceVerdict>, 4> placeVerdictNames = {{
        {PlaceVerdict::Granted, "granted"},
        {PlaceVerdict::OverRate, "over_rate"},
        {PlaceVerdict::NoPlace, "no_place"},
        {PlaceVerdict::Waiting, "waiting"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(MemberRole, memberRoleNames)
RATTANRILL_WIRE_ENUM(PlaceVerdict, placeVerdictNames)
RATTANRILL_WIRE_FIELDS(FleetMember, instance, role, failureDomain, peerAddress, replica)
RATTANRILL_WIRE_FIELDS(FleetUpstream, id, service, address, failureDomain, slots, draining)
RATTANRILL_WIRE_FIELDS(PutConfiguration, version, document)
RATTANRILL_WIRE_FIELDS(RetireStore, replica)
RATTANRILL_WIRE_FIELDS(FoundStoreGroup, voters)
RATTANRILL_WIRE_FIELDS(FleetCommand, operation)
RATTANRILL_WIRE_FIELDS(FleetResult, configurationVersion)
RATTANRILL_WIRE_FIELDS(FleetQuery, knownVersion)
RATTANRILL_WIRE_FIELDS(FleetRecords, configurationVersion, configuration, retiringStores,
                       storeFounders)
RATTANRILL_WIRE_FIELDS(LiveMember, member, alive, leadsStores, retiring, holdsCopy)
RATTANRILL_WIRE_FIELDS(SyncRequest, self, leadsStores, storeTerm, storeReplicas, leaving, viewTerm,
                       viewSequence, configurationVersion, waitMs)
RATTANRILL_WIRE_FIELDS(SyncResponse, viewTerm, viewSequence, configurationVersion, configuration,
                       members, membersSettled, storeFounders, upstreamsKnown, upstreams)
RATTANRILL_WIRE_FIELDS(PlaceRequest, again, requestId, instance, failureDomain, service, workspace,
                       priority, chargesRate, promptTokens, outputTokens, objectiveMs, deadlineMs,
                       excluded)
RATTANRILL_WIRE_FIELDS(PlaceResponse, verdict, upstream, address, retryAfterMs)
RATTANRILL_WIRE_FIELDS(HeldPlace, requestId, service, workspace, upstream, deadlineMs)
RATTANRILL_WIRE_FIELDS(HeldPlaces, instance, places)
RATTANRILL_WIRE_FIELDS(UpstreamLoad, upstream, requests)
RATTANRILL_WIRE_FIELDS(PlaceRelease, instance, requestId, upstream, end)

RATTANRILL_WIRE_MESSAGE(FleetCommand)
RATTANRILL_WIRE_MESSAGE(FleetResult)
RATTANRILL_WIRE_MESSAGE(FleetQuery)
RATTANRILL_WIRE_MESSAGE(FleetRecords)
RATTANRILL_WIRE_MESSAGE(SyncRequest)
RATTANRILL_WIRE_MESSAGE(SyncResponse)
RATTANRILL_WIRE_MESSAGE(PlaceRequest)
RATTANRILL_WIRE_MESSAGE(PlaceResponse)
RATTANRILL_WIRE_MESSAGE(HeldPlaces)
RATTANRILL_WIRE_MESSAGE(UpstreamLoad)
RATTANRILL_WIRE_MESSAGE(PlaceRelease)

std::string_view name(MemberRole role)
{
    return nameOf(memberRoleNames, role);
}

} // namespace rattanrill::wire
