#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Settings of a FleetClient.
struct FleetClientSettings
{
    /// Member record that this process sends to the leader.
    wire::FleetMember self;
    /// Peer addresses of processes that may hold a replica of the fleet group. The client discovers
    /// further ones from the list of members.
    std::vector<std::string> seeds;
    /// Maximum time for which the leader delays the response to a poll while nothing changes. This
    /// is also the heartbeat period, because each poll is a heartbeat.
    absl::Duration pollWait = absl::Milliseconds(500);
    /// A poll that has received no response after this time fails.
    absl::Duration pollTimeout = absl::Milliseconds(1200);
    /// Further processes are polled when a poll has received no response after this time, or, for
    /// the poll of a known leader, after pollWait and this time. The poll remains valid. The delay
    /// doubles with each further step without a response.
    absl::Duration hedgeDelay = absl::Milliseconds(200);
    /// Maximum number of addresses that are polled in parallel while no leader is known, not
    /// counting those that have been silent for the hedge delay. Equal to the number of processes
    /// that bootstrap the fleet group.
    std::size_t maxParallelPolls = 3;
    /// Whether control processes that do not lead may respond to the polls.
    bool usesRelays = false;
    /// Delay after a failed poll until the next process is polled; doubles with each further failed
    /// one up to maxBackoff.
    absl::Duration minBackoff = absl::Milliseconds(40);
    absl::Duration maxBackoff = absl::Milliseconds(150);
};

/// Copy of the deployment's state that one process holds.
struct FleetState
{
    std::uint64_t configurationVersion = 0;
    std::string configuration;
    /// Sorted by instance. Entries are listed for stores only.
    std::vector<wire::FleetMemberStatus> members;
    /// Number of live entries; 0 until a complete list has shown it.
    std::int64_t liveEntries = 0;
    /// Whether the list of members is complete: the leader has led for longer than the member
    /// timeout, within which every live process should have sent a heartbeat.
    bool membersComplete = false;
    /// Replica ids of the initial voters of the store group; empty until the group is bootstrapped.
    std::vector<std::string> storeFounders;
    /// Replica ids of the stores whose retirement is not completed.
    std::vector<std::string> openRetirements;
    /// Names of the failure domains whose upstreams get no new requests.
    std::vector<std::string> evacuatedDomains;
    /// Whether the platform's list of upstreams has been received at least once.
    bool upstreamsKnown = false;
    std::vector<wire::FleetUpstream> upstreams;
    /// The read that \a upstreams shows started at this time of the local clock or later.
    /// InfinitePast if unknown.
    absl::Time upstreamsReadAt = absl::InfinitePast();
    /// Term of the leader that read \a upstreams.
    std::uint64_t upstreamsTerm = 0;
    /// Term of the leader from which the state is, and the leader's sequence number.
    std::uint64_t leaderTerm = 0;
    std::uint64_t viewSequence = 0;
    /// Peer address of that leader; empty if unknown.
    std::string leaderAddress;
    /// Sequence number of the next two lists.
    std::uint64_t promptSequence = 0;
    std::vector<wire::BlockedPrompt> blockedPrompts;
    /// Traits of which the beginning of a response must be reported.
    std::vector<std::string> suspectPromptParts;
};

/// Whether an upstream or a process in \a state is in the failure domain.
bool hasFailureDomain(const FleetState &state, const std::string &failureDomain);

/// Registers this process with the leader of the fleet group and keeps a copy of the deployment's
/// state up to date by long polls. Finds the leader through the seeds, the control processes in the
/// list of members, and the leader that a non-leader names in its response. A process that uses
/// relays polls any control process that is in touch with the leader. Used on the event loop only.
class FleetClient
{
public:
    using Listener = std::function<void(const FleetState &state)>;
    using ConfirmationListener = std::function<void(absl::Time readAt)>;

    FleetClient(net::EventLoop &loop, peer::ChannelPool &channels, FleetClientSettings settings,
                const Clock &clock);
    ~FleetClient();
    FleetClient(const FleetClient &) = delete;
    FleetClient &operator=(const FleetClient &) = delete;

    /// Adds \a listener, which is called after each change of the state. Call before start().
    void onChange(Listener listener);
    /// Adds \a listener, which is called when a response without a change of the state shows that
    /// the list of upstreams was the same in a later read. Call before start().
    void onUpstreamsConfirmed(ConfirmationListener listener);
    /// Sets the function that fills in what a process reports with each poll: a store whether it
    /// leads the store group and, if so, its term and replicas; a control process the members that
    /// poll it as a relay.
    void setStatusSource(std::function<void(wire::FleetSyncRequest &)> source);
    void start();
    /// Sends the leader a heartbeat at once, with the same content as the next poll. Does nothing
    /// while no leader is known.
    void sendHeartbeat();
    /// Sends \a evidence to the leader. \a done receives, on the event loop and after the return of
    /// this function, whether the leader has received it.
    void reportCrashEvidence(const wire::CrashEvidence &evidence, std::function<void(bool)> done);
    /// Passes a one-way message of a member on to the leader.
    void forward(wire::FleetSyncRequest message);
    /// Notifies the leader that this process leaves the deployment, and stops polling.
    void leave();
    void stop();
    /// Replaces the seeds, after the settings have changed.
    void setSeeds(std::vector<std::string> seeds);
    const FleetState &state() const;
    /// Upper bound of the time since the state was the leader's; infinite before the first
    /// response.
    absl::Duration staleness() const;
    /// Whether the list of members is complete and shows which processes are alive.
    bool hasCurrentMembers() const;
    /// Upper bound of the time since the start of the read that the list of upstreams shows;
    /// infinite if unknown.
    absl::Duration upstreamListAge() const;
    /// Peer address of the leader or relay that this process polls; empty when unknown.
    std::string sourceAddress() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
