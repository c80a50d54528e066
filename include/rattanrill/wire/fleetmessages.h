#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records and messages by which the processes of a deployment discover each other, share the
/// deployment's configuration and acquire slots at upstreams. Members that end in Ms are durations
/// in milliseconds.
namespace rattanrill::wire {

/// Role of a process of the deployment.
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
    /// Replica id in the group of its role: the peer address and an identity that is generated when
    /// the data directory is first used. For an entry: its address and an identity generated at
    /// each start.
    std::string replica;
    /// Whether it is an entry that forwards calls of other processes. Older processes don't send
    /// it.
    bool forwardsCalls = false;
};

/// An upstream as listed by the platform.
struct FleetUpstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string failureDomain;
    /// Number of requests that it can run at the same time.
    std::int64_t slots = 0;
    /// Whether the upstream accepts no new requests.
    bool draining = false;
    /// Version of its software. Older processes don't send it.
    std::string version{};
    /// Time for which it remained cold when the list was read; -1 if the list does not tell, as
    /// lists from older processes do.
    std::int64_t coldRemainingMs = -1;
};

/// Traits that together crash upstreams: requests that have all of them are rejected. See
/// policy::CrashTracker.
struct BlockedPrompt
{
    /// Ids of shared prompt parts and fingerprints of requests.
    std::vector<std::string> parts;
    /// Number of online requests that may still run in spite of the block.
    std::int64_t trialsLeft = 0;
    /// CrashEvidence::process of the process that may send one of them; empty when none may.
    std::string trialProcess{};
    /// See policy::CrashBlock. Older processes neither send nor keep the members from here on.
    std::int64_t trialNumber = 0;
    bool isLostTrialReplaced = false;
    /// Whether the open trial, or the rejected request in CrashEvidence::rejected, is one of a
    /// batch item.
    bool isForItem = false;
    std::int64_t crashedItemTrials = 0;
};

/// Replaces the configuration if \a version is higher than the stored version; otherwise has no
/// effect.
struct PutConfiguration
{
    static constexpr std::string_view kind = "put_configuration";
    std::uint64_t version = 0;
    /// The document as the operator sent it.
    std::string document;
};

/// Marks a store for retirement at the request of an operator, so that its copy of the store
/// group's data is removed. The response is sent before the removal. Fails with NotFound if the
/// store is not known, and with Conflict if too few stores would remain. Has no effect, and
/// succeeds, if it was accepted before.
struct RetireStore
{
    static constexpr std::string_view kind = "retire_store";
    /// Empty if the sender knows no store on the instance.
    std::string replica;
    /// Empty in commands of older processes, which record no StoreRetirement.
    std::string instance{};
    /// Replica ids of the other live stores, as the sender knows them. Those that earlier commands
    /// have retired do not count as remaining.
    std::vector<std::string> otherStores{};
    std::int64_t minRemainingStores = 0;
};

/// Records that a retiring replica is no longer one of the store group's and will not become one
/// again. Only the leader of the fleet group sends it.
struct CompleteRetirement
{
    static constexpr std::string_view kind = "complete_retirement";
    std::string replica;
};

/// Sets the first voters of the store group. Only the first such command of a deployment has an
/// effect.
struct BootstrapStoreGroup
{
    static constexpr std::string_view kind = "found_store_group";
    /// Replica ids.
    std::vector<std::string> voters;
};

/// Replaces the list of blocked prompts. Only the leader of the fleet group sends it.
struct PutBlockedPrompts
{
    static constexpr std::string_view kind = "put_blocked_prompts";
    std::vector<BlockedPrompt> prompts;
};

/// Starts or finishes the evacuation of a failure domain at the request of an operator. Fails with
/// NotFound if the domain is neither known to the sender nor was evacuated before. Has no effect,
/// and succeeds, if the domain is already in the requested state.
struct SetEvacuation
{
    static constexpr std::string_view kind = "set_evacuation";
    std::string failureDomain;
    bool isEvacuated = false;
    /// Whether the sender knows an upstream or a process in the domain.
    bool isKnown = false;
};

using FleetOperation = std::variant<PutConfiguration, RetireStore, BootstrapStoreGroup,
                                    PutBlockedPrompts, CompleteRetirement, SetEvacuation>;

/// A write to the fleet group.
struct FleetCommand
{
    FleetOperation operation;
};

/// Response to a FleetCommand.
struct FleetResult
{
    /// Version of the configuration after the command.
    std::uint64_t configurationVersion = 0;
};

/// Reads the state of the fleet group. The document is left out if \a knownVersion equals the
/// stored version.
struct FleetQuery
{
    std::uint64_t knownVersion = 0;
};

/// Retirement of one replica. A store that loses its disk while it retires has one for each of its
/// replicas.
struct StoreRetirement
{
    std::string instance;
    std::string replica;
    bool completed = false;
};

/// Last order of an operator on the evacuation of a failure domain.
struct DomainEvacuation
{
    std::string failureDomain;
    bool isEvacuated = false;
};

/// State of the fleet group. The lists of strings hold replica ids.
struct FleetSnapshot
{
    std::uint64_t configurationVersion = 0;
    std::string configuration;
    /// All stores whose retirement was requested, also those whose retirement is completed.
    std::vector<std::string> retiringStores;
    /// First voters of the store group; empty until it is bootstrapped.
    std::vector<std::string> storeFounders;
    std::vector<BlockedPrompt> blockedPrompts{};
    std::vector<StoreRetirement> retirements{};
    /// One record for each failure domain that was ever evacuated, by name.
    std::vector<DomainEvacuation> evacuations{};
};

/// A member and its status as seen by the leader of the fleet group.
struct FleetMemberStatus
{
    FleetMember member;
    /// Whether the leader has received a sync request from it within the member timeout.
    bool alive = false;
    /// Whether it reports that it leads the store group.
    bool leadsStores = false;
    /// Whether an operator has requested its retirement.
    bool retiring = false;
    /// Whether it is a replica of the store group, as reported by the leader of that group. False
    /// until that leader has reported, so it does not prove that a store holds no copy. Used by
    /// older processes only.
    bool holdsCopy = false;
};

/// A member that polls a relay instead of the leader of the fleet group.
struct RelayedMember
{
    FleetMember member;
    /// Time since the relay received its last poll.
    std::int64_t ageMs = 0;
};

/// Request of Method::SyncFleet: a heartbeat and a long poll in one message.
struct FleetSyncRequest
{
    FleetMember self;
    /// Whether the sender leads the store group.
    bool leadsStores = false;
    /// Term and replica ids of the store group; set only by its leader.
    std::uint64_t storeTerm = 0;
    std::vector<std::string> storeReplicas;
    /// Whether the sender is shutting down.
    bool leaving = false;
    /// View and configuration that the sender received last. The leader responds at once if its
    /// view differs or its configuration is newer.
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    /// Sequence number, in the term of the view, of the blocked and suspect traits that the sender
    /// received last.
    std::uint64_t promptSequence = 0;
    std::uint64_t configurationVersion = 0;
    /// Maximum time for which the leader waits for a change before it responds.
    std::int64_t waitMs = 0;
    /// Whether the response may contain only what has changed since the sender's view.
    bool acceptsChanges = false;
    /// Whether a control process that does not lead may respond with its copy of the view.
    bool acceptsRelay = false;
    /// Members that poll the sender instead of the leader.
    std::vector<RelayedMember> relayed{};
    /// Retiring replicas that hold no copy of the store group's data and will not receive one
    /// again; set only by the leader of that group.
    std::vector<std::string> retiredStores{};
};

/// Response of Method::SyncFleet. Only the fields up to \a configuration are set if the sender of
/// the request has the current view, and the prompt fields only if it does not have the current
/// ones.
struct FleetSyncResponse
{
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    /// Time since the leader started the last complete read of the platform's list of upstreams; -1
    /// if it has read none in this term. Older processes don't send it.
    std::int64_t upstreamsAgeMs = -1;
    /// Time for which the leader has held the request until it sent this response.
    std::int64_t heldMs = 0;
    /// 0 in the response of a process that does not track prompts.
    std::uint64_t promptSequence = 0;
    /// Whether the next two lists are set.
    bool promptsIncluded = false;
    std::vector<BlockedPrompt> blockedPrompts;
    /// Traits of which the beginning of a response must be reported.
    std::vector<std::string> suspectPromptParts;
    std::uint64_t configurationVersion = 0;
    /// Empty if the sender of the request has this version.
    std::string configuration;
    std::vector<FleetMemberStatus> members;
    /// Whether the leader has led for longer than the member timeout, so that every live process
    /// has sent it a sync request.
    bool membersSettled = false;
    /// Replica ids of the first voters of the store group; empty until it is bootstrapped.
    std::vector<std::string> storeFounders;
    /// Whether the platform's list has been read in this term. Otherwise \a upstreams is not valid.
    bool upstreamsKnown = false;
    std::vector<FleetUpstream> upstreams;
    /// Ids of upstreams that the leader knows as draining without a complete list. They get no
    /// requests, whatever an earlier list shows.
    std::vector<std::string> drainingUpstreams;
    /// Whether \a members and \a upstreams contain only what has changed since the view that the
    /// request named. The next two lists then name what was removed.
    bool containsChangesOnly = false;
    /// Instances.
    std::vector<std::string> removedMembers{};
    /// Keys of upstreams, see fleet::upstreamKey().
    std::vector<std::string> removedUpstreams{};
    /// Number of live entries, which the lists of members for entries and control processes leave
    /// out; -1 from older processes.
    std::int64_t liveEntries = -1;
    /// Term of the leader that read the list of upstreams; 0 means \a viewTerm.
    std::uint64_t upstreamsTerm = 0;
    /// Time since a relay received its copy of the view from the leader; 0 from the leader.
    std::int64_t viewAgeMs = 0;
    /// Peer address of the leader; empty from older processes.
    std::string leaderAddress{};
    /// Replica ids of the stores whose retirement is not completed.
    std::vector<std::string> openRetirements{};
    /// Names of the failure domains whose upstreams get no new requests.
    std::vector<std::string> evacuatedDomains{};
};

/// An attempt that ended with a crash of its upstream before the upstream began to write the
/// response.
struct CrashedAttempt
{
    std::string upstream;
    /// Traits of the request: ids of shared prompt parts and the fingerprint.
    std::vector<std::string> promptParts;
    /// Time since the request was sent to the upstream, and since the crash.
    std::int64_t sentAgeMs = 0;
    std::int64_t crashAgeMs = 0;
};

/// A response to a request with a suspect trait that an upstream began to write.
struct BegunPart
{
    std::string part;
    /// Time since the response began.
    std::int64_t ageMs = 0;
};

/// State of the trial of a block that the sender owns.
struct TrialReport
{
    /// BlockedPrompt::parts and BlockedPrompt::trialNumber.
    std::vector<std::string> parts;
    std::int64_t trialNumber = 0;
    /// Whether a request was sent. Otherwise one waits to be sent, unless \a isReturned.
    bool isSent = false;
    /// Whether the sender has sent no request and will not send one.
    bool isReturned = false;
};

/// Request of Method::ReportPromptEvidence, which an instance repeats until the leader of the fleet
/// group has responded. The response is empty.
struct CrashEvidence
{
    std::string instance;
    std::vector<CrashedAttempt> crashes;
    std::vector<BegunPart> begun;
    /// Identifies the process, unlike \a instance also after a restart.
    std::string process{};
    /// Blocks by which the sender has rejected batch items, or, if they have trials left, online
    /// requests.
    std::vector<BlockedPrompt> rejected{};
    /// Repeated as long as the sender owns trials; a trial that its owner does not report ends.
    std::vector<TrialReport> trials{};
    /// Whether a relay has passed the message on.
    bool isForwarded = false;
};

/// Request of Method::RequestSlot, for a slot at an upstream for one request.
struct SlotRequest
{
    /// Whether this message polls for a request that already waits. A broker that does not have the
    /// request treats it as a new one.
    bool again = false;
    std::string requestId;
    /// Entry instance that sends the request.
    std::string instance;
    std::string failureDomain;
    std::string service;
    std::string workspace;
    /// Lower values are served first; 0 is the highest priority.
    std::int64_t priority = 0;
    /// Whether the request counts against the workspace's rate; false for a further attempt of the
    /// same request.
    bool chargesRate = true;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// Time within which the response must start to meet its latency objective.
    std::int64_t objectiveMs = 0;
    /// Time left until the request's deadline, after which the response is no longer needed.
    std::int64_t deadlineMs = 0;
    /// Ids of upstreams that this request has already been sent to.
    std::vector<std::string> excluded;
    /// Id of the caller's attempt that brought the first event of the stream, or of this one if
    /// there is no event yet; empty for a request that cannot be resumed.
    std::string stream{};
    /// Whether the stream has begun, so that only its service and version can continue it.
    bool resumed = false;
    /// Whether \a version is the version that began the stream. Otherwise the broker finds it.
    bool versionKnown = false;
    std::string version{};
    /// Whether the sender is cut off from the upstreams and needs another entry that forwards its
    /// calls.
    bool needsForwarder = false;
};

/// Outcome of a SlotRequest.
enum class SlotOutcome {
    Granted,
    /// The workspace has used up its rate.
    OverRate,
    /// No slot will be free in time.
    NoSlot,
    /// The request still waits, and the sender polls again. The polls also let each side detect
    /// that the other has failed.
    Waiting,
    /// The version that began the stream is not known.
    VersionUnknown,
    /// No upstream of the version that began the stream accepts requests.
    VersionGone,
};

/// Response of Method::RequestSlot.
struct SlotResponse
{
    SlotOutcome verdict = SlotOutcome::NoSlot;
    /// Id and address of the upstream; set if granted.
    std::string upstream;
    std::string address;
    /// Time before another attempt can succeed; set if refused.
    std::int64_t retryAfterMs = 0;
    /// Version of the upstream's software; set if granted.
    std::string version{};
    /// Instance and peer address of an entry that forwards the call; empty if the sender needs none
    /// or no entry is known that can.
    std::string forwarder{};
    std::string forwarderAddress{};
    /// Number of requests that the workspace's rate bucket holds after the decision; infinite if
    /// the workspace has no rate limit.
    double rateLevel = std::numeric_limits<double>::infinity();
};

/// A slot that an entry instance holds.
struct HeldSlot
{
    std::string requestId;
    std::string service;
    std::string workspace;
    std::string upstream;
    /// Time left until the request's deadline.
    std::int64_t deadlineMs = 0;
};

/// What an entry has granted of a workspace's rate without the broker, and what it has left of its
/// share of the rate bucket, see serving::RateShares. The broker that the share is from charges the
/// requests; a later one adds the share to its own bucket.
struct RateCharge
{
    std::string workspace;
    std::int64_t requests = 0;
    /// Time since the first of the requests was granted.
    std::int64_t ageMs = 0;
    /// Difference, in requests, between the entry's share and the one that a new broker assumes.
    double levelChange = 0;
    /// Time since the entry took its share; -1 for a process of an older version.
    std::int64_t levelAgeMs = -1;
};

/// The version at which a stream began.
struct StreamVersion
{
    /// See SlotRequest::stream.
    std::string stream;
    std::string service;
    std::string version;
    /// Time since the last slot of the stream was granted.
    std::int64_t ageMs = 0;
};

/// Request of Method::ReportHeldSlots, which an entry instance repeats until the broker has
/// responded. The response is empty.
struct HeldSlots
{
    std::string instance;
    std::vector<HeldSlot> places;
    /// Requests that the sender granted from its local share and has not reported yet.
    std::vector<RateCharge> charges{};
    /// Streams that callers may resume.
    std::vector<StreamVersion> streams{};
};

/// Push of Method::ReportLoad: what an upstream reported in the headers of a response.
struct UpstreamLoad
{
    std::string upstream;
    /// Requests that run or wait at the upstream, from all senders; -1 when not reported.
    std::int64_t requests = 0;
    /// Requests per second that the upstream accepts from all senders; 0 when it named no limit, -1
    /// when the message says nothing about the limit.
    double requestLimit = 0;
    /// Whether the upstream announced that it leaves.
    bool leaving = false;
    /// Time since the upstream last announced it.
    std::int64_t leavingAgeMs = 0;
    /// Address of the upstream that leaves.
    std::string address{};
    /// Time for which the upstream remains cold; -1 when not reported.
    std::int64_t coldRemainingMs = -1;
    /// Time that work takes on the upstream now, as a multiple of the usual time; 0 when not
    /// reported.
    double pace = 0;
};

/// Push of Method::ReleaseSlot: releases a granted slot.
struct SlotRelease
{
    std::string instance;
    std::string requestId;
    std::string upstream;
    /// Name of a policy::ReleaseReason.
    std::string end;
    /// Origin of the request's stream, if it has begun; otherwise \a stream is empty.
    std::string stream{};
    std::string service{};
    std::string version{};
    /// Instance of the entry that forwarded the call; empty if the sender reached the upstream
    /// itself. \a end says what this instance saw of the upstream.
    std::string forwarder{};
    /// Whether the forwarder did not take the call, or lost a part of the response.
    bool forwarderFailed = false;
    /// Whether the sender is cut off from the upstreams.
    bool isCutOff = false;
    /// Whether \a end tells something about the upstream, and not only about the links of the
    /// sender or about the forwarder.
    bool isWitness = true;
};

} // namespace rattanrill::wire
