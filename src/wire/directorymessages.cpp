#include "rattanrill/wire/directorymessages.h"

#include "messagedefinition.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<UpstreamKind>, 2> upstreamKindNames = {{
        {UpstreamKind::Engine, "engine"},
        {UpstreamKind::Service, "service"},
}};

constexpr std::array<EnumName<UpstreamState>, 2> upstreamStateNames = {{
        {UpstreamState::Active, "active"},
        {UpstreamState::Leaving, "leaving"},
}};

constexpr std::array<EnumName<RecordKind>, 8> recordKindNames = {{
        {RecordKind::Contract, "contract"},
        {RecordKind::ApiKey, "key"},
        {RecordKind::Config, "config"},
        {RecordKind::Route, "route"},
        {RecordKind::Upstream, "upstream"},
        {RecordKind::Member, "member"},
        {RecordKind::FencingToken, "fence"},
        {RecordKind::QuarantinedRequest, "held_request"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(UpstreamKind, upstreamKindNames)
RATTANRILL_WIRE_ENUM(UpstreamState, upstreamStateNames)
RATTANRILL_WIRE_ENUM(RecordKind, recordKindNames)
RATTANRILL_WIRE_FIELDS(Contract, workspace, ratePerSecond, burst, batchShare, regionShares,
                       retentionSeconds, withdrawn, revision)
RATTANRILL_WIRE_FIELDS(ApiKey, keyId, hash, workspace, withdrawn, revision)
RATTANRILL_WIRE_FIELDS(Config, name, value, revision)
RATTANRILL_WIRE_FIELDS(Route, name, pathPrefix, service, open, idempotent, revision)
RATTANRILL_WIRE_FIELDS(Upstream, name, kind, serves, host, port, failureDomain, state, checksFence,
                       revision)
RATTANRILL_WIRE_FIELDS(Member, instance, failureDomain, peerAddress, httpAddress, incarnation,
                       revision)
RATTANRILL_WIRE_FIELDS(FencingToken, upstream, number, revision)
RATTANRILL_WIRE_FIELDS(QuarantinedRequest, fingerprint, crashedUpstreams, expiresAtMs, held,
                       revision)
RATTANRILL_WIRE_FIELDS(PutContract, contract)
RATTANRILL_WIRE_FIELDS(WithdrawContract, workspace)
RATTANRILL_WIRE_FIELDS(AddKey, key)
RATTANRILL_WIRE_FIELDS(RevokeKey, keyId)
RATTANRILL_WIRE_FIELDS(PutConfig, config)
RATTANRILL_WIRE_FIELDS(PutRoute, route)
RATTANRILL_WIRE_FIELDS(RemoveRoute, name)
RATTANRILL_WIRE_FIELDS(PutUpstream, upstream)
RATTANRILL_WIRE_FIELDS(RemoveUpstream, name)
RATTANRILL_WIRE_FIELDS(JoinMember, member)
RATTANRILL_WIRE_FIELDS(RemoveMember, instance, incarnation)
RATTANRILL_WIRE_FIELDS(IssueFencingToken, upstream)
RATTANRILL_WIRE_FIELDS(ReportCrash, fingerprint, upstream, holdMs)
RATTANRILL_WIRE_FIELDS(ReleaseQuarantined, fingerprint)
RATTANRILL_WIRE_FIELDS(DirectoryCommand, requestId, baseRevision, unconditional, nowMs, operation)
RATTANRILL_WIRE_FIELDS(DirectoryResult, revision, fence, held, id)
RATTANRILL_WIRE_FIELDS(RecordChange, revision, kind, id, removed, body)
RATTANRILL_WIRE_FIELDS(PollChangesRequest, instance, afterRevision, waitMs)
RATTANRILL_WIRE_FIELDS(PollChangesResponse, revision, snapshot, changes, memberRevision)
RATTANRILL_WIRE_FIELDS(HeartbeatRequest, member, revisionInForce, leaving)
RATTANRILL_WIRE_FIELDS(HeartbeatResponse, revision)
RATTANRILL_WIRE_FIELDS(DirectoryQuery, afterRevision)
RATTANRILL_WIRE_FIELDS(RateGrantRequest, workspace, memberRevision, requests, maxWaitMs)
RATTANRILL_WIRE_FIELDS(RateGrantResponse, granted, waitsMs, retryAfterMs)
RATTANRILL_WIRE_FIELDS(RateBucketLevel, workspace, level)
RATTANRILL_WIRE_FIELDS(RateBucketTransfer, instance, memberRevision, levels)

RATTANRILL_WIRE_MESSAGE(Contract)
RATTANRILL_WIRE_MESSAGE(ApiKey)
RATTANRILL_WIRE_MESSAGE(Config)
RATTANRILL_WIRE_MESSAGE(Route)
RATTANRILL_WIRE_MESSAGE(Upstream)
RATTANRILL_WIRE_MESSAGE(Member)
RATTANRILL_WIRE_MESSAGE(FencingToken)
RATTANRILL_WIRE_MESSAGE(QuarantinedRequest)
RATTANRILL_WIRE_MESSAGE(DirectoryCommand)
RATTANRILL_WIRE_MESSAGE(DirectoryResult)
RATTANRILL_WIRE_MESSAGE(RecordChange)
RATTANRILL_WIRE_MESSAGE(PollChangesRequest)
RATTANRILL_WIRE_MESSAGE(PollChangesResponse)
RATTANRILL_WIRE_MESSAGE(HeartbeatRequest)
RATTANRILL_WIRE_MESSAGE(HeartbeatResponse)
RATTANRILL_WIRE_MESSAGE(DirectoryQuery)
RATTANRILL_WIRE_MESSAGE(RateGrantRequest)
RATTANRILL_WIRE_MESSAGE(RateGrantResponse)
RATTANRILL_WIRE_MESSAGE(RateBucketTransfer)

std::string_view name(UpstreamKind kind)
{
    return nameOf(upstreamKindNames, kind);
}

std::string_view name(UpstreamState state)
{
    return nameOf(upstreamStateNames, state);
}

std::string_view name(RecordKind kind)
{
    return nameOf(recordKindNames, kind);
}

} // namespace rattanrill::wire
