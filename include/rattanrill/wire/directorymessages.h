#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records, commands and queries of the directory group. Members named ...AtMs and \c nowMs are
/// wall-clock milliseconds since the Unix epoch, set by the proposing leader, so that every replica
/// computes the same state. Other members that end in Ms are durations in milliseconds. The
/// \c revision of a record is the directory revision of its last write.
namespace rattanrill::wire {

/// What an upstream runs: an inference engine or a plain service.
enum class UpstreamKind {
    Engine,
    Service,
};

/// Whether an upstream is in use or being removed.
enum class UpstreamState {
    Active,
    Leaving,
};

/// Type of a directory record.
enum class RecordKind {
    Contract,
    ApiKey,
    Config,
    Route,
    Upstream,
    Member,
    FencingToken,
    QuarantinedRequest,
};

std::string_view name(UpstreamKind kind);
std::string_view name(UpstreamState state);
std::string_view name(RecordKind kind);

/// Limits and shares granted to one workspace. A workspace whose contract is absent or withdrawn is
/// granted nothing.
struct Contract
{
    std::string workspace;
    /// Requests per second over all entry instances.
    double ratePerSecond = 0;
    /// Number of requests that may exceed the rate at once, over all entry instances.
    double burst = 0;
    /// Weight of the workspace's batch work relative to other workspaces; 0 grants no batch work.
    double batchShare = 0;
    /// Share of rate and burst by region name, for use while regions cannot reach each other. The
    /// shares add up to at most 1.
    std::map<std::string, double> regionShares;
    /// Time for which batch results can be read after the job has ended.
    std::int64_t retentionSeconds = 7 * 24 * 3600;
    bool withdrawn = false;
    std::uint64_t revision = 0;
};

/// A caller's API key. Only its hash is stored, never the key itself.
struct ApiKey
{
    std::string keyId;
    /// SHA-256 of the key, hexadecimal.
    std::string hash;
    std::string workspace;
    bool withdrawn = false;
    std::uint64_t revision = 0;
};

/// A named setting.
struct Config
{
    std::string name;
    /// JSON text.
    std::string value;
    std::uint64_t revision = 0;
};

/// Maps a path prefix of the callers' interface to a plain service.
struct Route
{
    std::string name;
    std::string pathPrefix;
    std::string service;
    /// Whether requests on this route need no API key.
    bool open = false;
    /// Whether a request can be repeated without a further effect.
    bool idempotent = false;
    std::uint64_t revision = 0;
};

/// A server that runs requests: an inference engine or an instance of a plain service.
struct Upstream
{
    std::string name;
    UpstreamKind kind = UpstreamKind::Engine;
    /// Model name of an engine, service name of a plain service.
    std::string serves;
    std::string host;
    std::int64_t port = 0;
    std::string failureDomain;
    UpstreamState state = UpstreamState::Active;
    /// Whether the upstream rejects commands with a fencing token lower than the highest one that
    /// it has received.
    bool checksFence = false;
    std::uint64_t revision = 0;
};

/// An entry instance that has joined the directory.
struct Member
{
    std::string instance;
    std::string failureDomain;
    std::string peerAddress;
    std::string httpAddress;
    /// Random value generated at process start, so that a restarted process is a new incarnation.
    std::string incarnation;
    std::uint64_t revision = 0;
};

/// Highest fencing token issued for commands to an upstream.
struct FencingToken
{
    std::string upstream;
    std::uint64_t number = 0;
    std::uint64_t revision = 0;
};

/// Fingerprint of a request, with the upstreams that crashed while running it.
struct QuarantinedRequest
{
    std::string fingerprint;
    std::vector<std::string> crashedUpstreams;
    std::int64_t expiresAtMs = 0;
    /// Whether the request is no longer run; true from the second crashed upstream on.
    bool held = false;
    std::uint64_t revision = 0;
};

/// Creates or replaces a workspace's contract.
struct PutContract
{
    static constexpr std::string_view kind = "put_contract";
    Contract contract;
};

/// Withdraws a workspace's contract and its API keys.
struct WithdrawContract
{
    static constexpr std::string_view kind = "withdraw_contract";
    std::string workspace;
};

/// Adds an API key.
struct AddKey
{
    static constexpr std::string_view kind = "add_key";
    ApiKey key;
};

/// Revokes an API key.
struct RevokeKey
{
    static constexpr std::string_view kind = "withdraw_key";
    std::string keyId;
};

/// Creates or replaces a setting.
struct PutConfig
{
    static constexpr std::string_view kind = "put_config";
    Config config;
};

/// Creates or replaces a route.
struct PutRoute
{
    static constexpr std::string_view kind = "put_route";
    Route route;
};

/// Removes a route.
struct RemoveRoute
{
    static constexpr std::string_view kind = "remove_route";
    std::string name;
};

/// Creates or replaces an upstream.
struct PutUpstream
{
    static constexpr std::string_view kind = "put_upstream";
    Upstream upstream;
};

/// Removes an upstream.
struct RemoveUpstream
{
    static constexpr std::string_view kind = "remove_upstream";
    std::string name;
};

/// Adds an entry instance or replaces its previous incarnation. Fails with NotMember if a newer
/// incarnation has replaced this one.
struct JoinMember
{
    static constexpr std::string_view kind = "join_member";
    Member member;
};

/// Removes an entry instance.
struct RemoveMember
{
    static constexpr std::string_view kind = "remove_member";
    std::string instance;
    /// If not empty, the command fails with Conflict unless the member is this incarnation.
    std::string incarnation;
};

/// Issues the next fencing token for commands to an upstream. Fails with NotFound.
struct IssueFencingToken
{
    static constexpr std::string_view kind = "issue_fence";
    std::string upstream;
};

/// Reports that an upstream crashed while running a request.
struct ReportCrash
{
    static constexpr std::string_view kind = "report_crash";
    std::string fingerprint;
    std::string upstream;
    /// Time for which the record is kept after this report.
    std::int64_t holdMs = 0;
};

/// Removes the quarantine record of a request.
struct ReleaseQuarantined
{
    static constexpr std::string_view kind = "release_held";
    std::string fingerprint;
};

using DirectoryOperation =
        std::variant<PutContract, WithdrawContract, AddKey, RevokeKey, PutConfig, PutRoute,
                     RemoveRoute, PutUpstream, RemoveUpstream, JoinMember, RemoveMember,
                     IssueFencingToken, ReportCrash, ReleaseQuarantined>;

/// A write to the directory.
struct DirectoryCommand
{
    /// Generated by the operator or process. A resend with the same id receives the response to the
    /// first command. If empty, resends are not detected.
    std::string requestId;
    /// Revision of the record on which the write is based; 0 for a new record. The write fails with
    /// Conflict if the record has another revision. Ignored if \a unconditional.
    std::uint64_t baseRevision = 0;
    bool unconditional = false;
    std::int64_t nowMs = 0;
    DirectoryOperation operation;
};

/// Response to a DirectoryCommand.
struct DirectoryResult
{
    /// Revision of the directory after the command.
    std::uint64_t revision = 0;
    /// Fencing token that IssueFencingToken issued.
    std::uint64_t fence = 0;
    /// ReportCrash: whether the request is quarantined and no longer run.
    bool held = false;
    /// Id of the written record. A resent AddKey returns the id of the first key.
    std::string id;
};

/// A record that was written or removed.
struct RecordChange
{
    std::uint64_t revision = 0;
    RecordKind kind = RecordKind::Contract;
    std::string id;
    bool removed = false;
    /// CBOR of the record; empty if \a removed.
    std::string body;
};

/// Request of Method::PollChanges, a long poll for directory changes.
struct PollChangesRequest
{
    std::string instance;
    /// Latest revision that the sender has applied.
    std::uint64_t afterRevision = 0;
    /// Maximum time for which the receiver waits for a change before it responds.
    std::int64_t waitMs = 0;
};

/// Response of Method::PollChanges.
struct PollChangesResponse
{
    /// Directory revision that the leader confirmed after it had received the request.
    std::uint64_t revision = 0;
    /// Whether the changes replace the whole view of the sender, because its revision was too old.
    bool snapshot = false;
    std::vector<RecordChange> changes;
    /// Revision of the last membership change. It is sent because a snapshot does not show
    /// removals, and all entries must choose owners of rate buckets by the same revision.
    std::uint64_t memberRevision = 0;
};

/// Request of Method::Heartbeat. The first one of an incarnation makes it join the directory.
struct HeartbeatRequest
{
    Member member;
    /// Directory revision that the sender applies at present.
    std::uint64_t revisionInForce = 0;
    /// Whether the instance is shutting down and must be removed from the members.
    bool leaving = false;
};

/// Response of Method::Heartbeat.
struct HeartbeatResponse
{
    /// Directory revision of the leader.
    std::uint64_t revision = 0;
};

/// Query to the directory group.
struct DirectoryQuery
{
    /// Selects the changes after this revision; 0 selects all records.
    std::uint64_t afterRevision = 0;
};

/// Request of Method::GrantRate to the owner of a workspace's rate bucket, for one or more requests
/// of callers.
struct RateGrantRequest
{
    std::string workspace;
    /// Membership revision by which the sender chose the owner.
    std::uint64_t memberRevision = 0;
    /// Number of requests to grant.
    std::int64_t requests = 1;
    /// Maximum time that a granted request may wait before it runs.
    std::int64_t maxWaitMs = 0;
};

/// Response of Method::GrantRate.
struct RateGrantResponse
{
    /// Number of requests granted, in order of arrival.
    std::int64_t granted = 0;
    /// Time that each granted request must wait before it runs; \a granted elements.
    std::vector<std::int64_t> waitsMs;
    /// Time before another attempt can succeed; set if fewer requests were granted than requested.
    std::int64_t retryAfterMs = 0;
};

/// Level of a workspace's rate bucket.
struct RateBucketLevel
{
    std::string workspace;
    /// Requests left in the bucket; negative while granted requests wait.
    double level = 0;
};

/// Push of Method::TransferRateBuckets, sent by an entry that no longer owns the rate buckets of
/// some workspaces to the entry that owns them now.
struct RateBucketTransfer
{
    /// Former owner, which grants no more requests of these workspaces.
    std::string instance;
    /// Membership revision by which the receiver is the owner.
    std::uint64_t memberRevision = 0;
    std::vector<RateBucketLevel> levels;
};

} // namespace rattanrill::wire
