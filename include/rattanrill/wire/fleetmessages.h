#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records and messages by which the processes of a deployment find each other, share the
/// deployment's configuration, place requests and keep batch jobs. Times are milliseconds.
namespace rattanrill::wire {

enum class MemberRole {
    Entry,
    Control,
    Store,
};

std::string_view name(MemberRole role);

/// One process of the deployment.
struct FleetMember
{
    std::string instance;
    MemberRole role = MemberRole::Entry;
    std::string failureDomain;
    std::string peerAddress;
    /// Replica id in the group of its role: the peer address and an identity that is drawn when
    /// the data folder is first used. Of an entry: its address and an identity of this start.
    std::string replica;
};

/// An upstream as the platform's list names it.
struct FleetUpstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::int64_t slots = 0;
    /// It takes no new work.
    bool draining = false;
};

/// Replaces the configuration if \a version is higher than the one held.
struct PutConfiguration
{
    static constexpr std::string_view kind = "put_configuration";
    std::uint64_t version = 0;
    /// The document as the operator sent it.
    std::string document;
};

/// The operator wants a store emptied. The answer comes before it is.
struct RetireStore
{
    static constexpr std::string_view kind = "retire_store";
    std::string replica;
};

/// Names the first voters of the store group, once in the life of a deployment.
struct BootstrapStoreGroup
{
    static constexpr std::string_view kind = "found_store_group";
    std::vector<std::string> voters;
};

using FleetOperation = std::variant<PutConfiguration, RetireStore, BootstrapStoreGroup>;

struct FleetCommand
{
    FleetOperation operation;
};

struct FleetResult
{
    /// Version of the configuration after the command.
    std::uint64_t configurationVersion = 0;
};

/// Asks for the whole state; the document is left out when \a knownVersion is the one held.
struct FleetQuery
{
    std::uint64_t knownVersion = 0;
};

/// State of the fleet group.
struct FleetSnapshot
{
    std::uint64_t configurationVersion = 0;
    std::string configuration;
    std::vector<std::string> retiringStores;
    std::vector<std::string> storeFounders;
};

/// A member with what the leader of the fleet group knows about its life.
struct FleetMemberStatus
{
    FleetMember member;
    /// The leader heard of it within the member timeout.
    bool alive = false;
    /// It leads the store group, as it says itself.
    bool leadsStores = false;
    /// The operator wants it emptied.
    bool retiring = false;
    /// It keeps a copy of the store group, as the store group's leader says.
    bool holdsCopy = false;
};

/// Request of Method::Sync: a heartbeat and a long poll in one.
struct FleetSyncRequest
{
    FleetMember self;
    bool leadsStores = false;
    /// Of the store group's leader: its term, and the replicas of that group.
    std::uint64_t storeTerm = 0;
    std::vector<std::string> storeReplicas;
    bool leaving = false;
    /// Of the last answer; an unequal one is answered at once.
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    std::uint64_t configurationVersion = 0;
    std::int64_t waitMs = 0;
};

struct FleetSyncResponse
{
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    std::uint64_t configurationVersion = 0;
    /// Empty when the asker has this version.
    std::string configuration;
    std::vector<FleetMemberStatus> members;
    /// The leader has led for long enough to have heard of every process that lives.
    bool membersSettled = false;
    std::vector<std::string> storeFounders;
    /// False until the platform's list was read once in this term; \a upstreams then means nothing.
    bool upstreamsKnown = false;
    std::vector<FleetUpstream> upstreams;
};

/// Request of Method::RequestSlot: asks for a place at an upstream for one request.
struct SlotRequest
{
    /// Asks again for one that waits.
    bool again = false;
    std::string requestId;
    std::string instance;
    std::string failureDomain;
    std::string service;
    std::string workspace;
    /// 0 is served first.
    std::int64_t priority = 0;
    /// The workspace's rate is charged; false for a further try of the same request.
    bool chargesRate = true;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// Until the answer's start is late.
    std::int64_t objectiveMs = 0;
    /// Until the request is of no use any more.
    std::int64_t deadlineMs = 0;
    /// Upstreams that this request was already sent to.
    std::vector<std::string> excluded;
};

enum class SlotOutcome {
    Granted,
    /// The workspace has used up its rate.
    OverRate,
    /// No place will be free in time.
    NoSlot,
    /// It waits; the asker asks again, by which both know that the other one lives.
    Waiting,
};

struct SlotResponse
{
    SlotOutcome verdict = SlotOutcome::NoSlot;
    std::string upstream;
    std::string address;
    std::int64_t retryAfterMs = 0;
};

/// A place that a process holds.
struct HeldSlot
{
    std::string requestId;
    std::string service;
    std::string workspace;
    std::string upstream;
    /// Until the request's deadline.
    std::int64_t deadlineMs = 0;
};

/// Push of Method::ReportHeldSlots: tells a new broker which places are taken.
struct HeldSlots
{
    std::string instance;
    std::vector<HeldSlot> places;
};

/// Push of Method::Load: what an upstream said of its load with the head of an answer.
struct UpstreamLoad
{
    std::string upstream;
    /// Requests that it runs or that wait there, from all senders.
    std::int64_t requests = 0;
};

/// Push of Method::ReleaseSlot: a granted place is free again.
struct SlotRelease
{
    std::string instance;
    std::string requestId;
    std::string upstream;
    /// Name of a policy::ReleaseReason.
    std::string end;
};

} // namespace rattanrill::wire
