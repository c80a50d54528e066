#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records, commands and queries of the directory group. Times are wall-clock milliseconds since
/// the epoch, taken by the proposing leader, so that every replica computes the same state.
namespace rattanrill::wire {

enum class UpstreamKind {
    Engine,
    Service,
};

enum class UpstreamState {
    Active,
    Leaving,
};

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

/// What one workspace is granted. Absent or withdrawn: nothing.
struct Contract
{
    std::string workspace;
    /// Requests per second over the whole fleet.
    double ratePerSecond = 0;
    /// Requests that may exceed the rate at once, over the whole fleet.
    double burst = 0;
    /// Weight of the workspace's batch work against that of others; 0 grants no batch work.
    double batchShare = 0;
    /// Share of rate and burst per region, for the time when regions lose each other.
    std::map<std::string, double> regionShares;
    /// How long batch results stay readable after the job has ended.
    std::int64_t retentionSeconds = 7 * 24 * 3600;
    bool withdrawn = false;
    std::uint64_t revision = 0;
};

/// A caller's key. The key itself is never stored.
struct ApiKey
{
    std::string keyId;
    /// SHA-256 of the key, hexadecimal.
    std::string hash;
    std::string workspace;
    bool withdrawn = false;
    std::uint64_t revision = 0;
};

struct Config
{
    std::string name;
    /// JSON text.
    std::string value;
    std::uint64_t revision = 0;
};

/// Route of the callers' interface to a plain service.
struct Route
{
    std::string name;
    std::string pathPrefix;
    std::string service;
    /// Open to all: no key is asked for.
    bool open = false;
    /// A call may be repeated without a second effect.
    bool idempotent = false;
    std::uint64_t revision = 0;
};

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
    /// The upstream refuses orders with an old fencing number.
    bool checksFence = false;
    std::uint64_t revision = 0;
};

/// An acknowledged entry instance.
struct Member
{
    std::string instance;
    std::string failureDomain;
    std::string peerAddress;
    std::string httpAddress;
    /// Drawn at process start; a restarted process is a new incarnation.
    std::string incarnation;
    std::uint64_t revision = 0;
};

/// Highest fencing number issued for orders to an upstream.
struct FencingToken
{
    std::string upstream;
    std::uint64_t number = 0;
    std::uint64_t revision = 0;
};

/// A request fingerprint with the upstreams that crashed while running it.
struct QuarantinedRequest
{
    std::string fingerprint;
    std::vector<std::string> crashedUpstreams;
    std::int64_t expiresAtMs = 0;
    /// True from the second crashed upstream on.
    bool held = false;
    std::uint64_t revision = 0;
};

struct PutContract
{
    static constexpr std::string_view kind = "put_contract";
    Contract contract;
};

struct WithdrawContract
{
    static constexpr std::string_view kind = "withdraw_contract";
    std::string workspace;
};

struct AddKey
{
    static constexpr std::string_view kind = "add_key";
    ApiKey key;
};

struct RevokeKey
{
    static constexpr std::string_view kind = "withdraw_key";
    std::string keyId;
};

struct PutConfig
{
    static constexpr std::string_view kind = "put_config";
    Config config;
};

struct PutRoute
{
    static constexpr std::string_view kind = "put_route";
    Route route;
};

struct RemoveRoute
{
    static constexpr std::string_view kind = "remove_route";
    std::string name;
};

struct PutUpstream
{
    static constexpr std::string_view kind = "put_upstream";
    Upstream upstream;
};

struct RemoveUpstream
{
    static constexpr std::string_view kind = "remove_upstream";
    std::string name;
};

struct JoinMember
{
    static constexpr std::string_view kind = "join_member";
    Member member;
};

struct RemoveMember
{
    static constexpr std::string_view kind = "remove_member";
    std::string instance;
    /// Only this incarnation is removed; empty: any.
    std::string incarnation;
};

struct IssueFencingToken
{
    static constexpr std::string_view kind = "issue_fence";
    std::string upstream;
};

struct ReportCrash
{
    static constexpr std::string_view kind = "report_crash";
    std::string fingerprint;
    std::string upstream;
    /// How long the record is kept.
    std::int64_t holdMs = 0;
};

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
    /// Of the operator or process; a resend with the same id gets the first answer. Empty: none.
    std::string requestId;
    /// Revision of the record that the write is based on; 0 for a new record. A write whose record
    /// has another revision fails with Conflict. Ignored when \a unconditional.
    std::uint64_t baseRevision = 0;
    bool unconditional = false;
    std::int64_t nowMs = 0;
    DirectoryOperation operation;
};

/// Answer to a DirectoryCommand.
struct DirectoryResult
{
    /// Revision of the directory after the command.
    std::uint64_t revision = 0;
    /// Number that IssueFencingToken drew.
    std::uint64_t fence = 0;
    /// ReportCrash: the request is held from now on.
    bool held = false;
    /// Id of the written record. A resent AddKey is answered with the id of the first key.
    std::string id;
};

/// One changed record.
struct RecordChange
{
    std::uint64_t revision = 0;
    RecordKind kind = RecordKind::Contract;
    std::string id;
    bool removed = false;
    /// CBOR of the record; empty when removed.
    std::string body;
};

/// Request of Method::PollChanges.
struct PollChangesRequest
{
    std::string instance;
    /// Last revision that the follower has.
    std::uint64_t afterRevision = 0;
    /// How long the other side may wait for a change before it answers.
    std::int64_t waitMs = 0;
};

/// Response of Method::PollChanges.
struct PollChangesResponse
{
    /// Directory revision that the leader confirmed after the request had arrived.
    std::uint64_t revision = 0;
    /// The changes replace the whole view (the follower was too far behind).
    bool snapshot = false;
    std::vector<RecordChange> changes;
    /// Revision of the last member change. A snapshot does not show removals, and all entries must
    /// choose owners of rate buckets by the same revision.
    std::uint64_t memberRevision = 0;
};

/// Request of Method::Heartbeat.
struct HeartbeatRequest
{
    Member member;
    std::uint64_t revisionInForce = 0;
    bool leaving = false;
};

struct HeartbeatResponse
{
    std::uint64_t revision = 0;
};

/// Query to the directory group.
struct DirectoryQuery
{
    /// Changes after this revision; 0 asks for all records.
    std::uint64_t afterRevision = 0;
};

/// A request for rate grants, several callers' requests at once. Method::Grant.
struct RateGrantRequest
{
    std::string workspace;
    /// Revision of the membership by which the sender chose the owner.
    std::uint64_t memberRevision = 0;
    std::int64_t requests = 1;
    /// How long a granted request may wait for its turn.
    std::int64_t maxWaitMs = 0;
};

struct RateGrantResponse
{
    /// Number of requests granted, in order of arrival.
    std::int64_t granted = 0;
    /// Wait before each granted request may run.
    std::vector<std::int64_t> waitsMs;
    /// When nothing or less was granted: earliest time for another try.
    std::int64_t retryAfterMs = 0;
};

/// Level of a workspace's rate bucket.
struct RateBucketLevel
{
    std::string workspace;
    /// Units left; negative while granted ones wait.
    double level = 0;
};

/// Pushed by an entry that has seen its ownership of workspaces end to the one that owns them now.
/// Method::TransferRateBuckets.
struct RateBucketTransfer
{
    /// Former owner, which grants no more.
    std::string instance;
    /// Revision of the membership by which the receiver is the owner.
    std::uint64_t memberRevision = 0;
    std::vector<RateBucketLevel> levels;
};

} // namespace rattanrill::wire
