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

struct FleetClientSettings
{
    /// How this process announces itself.
    wire::FleetMember self;
    /// Peer addresses of processes that may serve the fleet group; others are learned.
    std::vector<std::string> seeds;
    /// How long the leader may hold a poll; also the period of the heartbeat.
    absl::Duration pollWait = absl::Milliseconds(500);
    /// A poll without an answer after this long has failed.
    absl::Duration pollTimeout = absl::Milliseconds(1200);
    absl::Duration minBackoff = absl::Milliseconds(40);
    absl::Duration maxBackoff = absl::Milliseconds(150);
};

/// State of the deployment as one process knows it.
struct FleetState
{
    std::uint64_t configurationVersion = 0;
    std::string configuration;
    std::vector<wire::FleetMemberStatus> members;
    /// The list of members is complete.
    bool membersSettled = false;
    std::vector<std::string> storeFounders;
    bool upstreamsKnown = false;
    std::vector<wire::FleetUpstream> upstreams;
};

/// Announces this process to the leader of the fleet group and keeps a copy of the deployment's
/// state, by long polls. Finds the leader through its seeds, through members that it has learned
/// of, and by the hints of those that do not lead. Used on the event loop only.
class FleetClient
{
public:
    using Listener = std::function<void(const FleetState &state)>;

    FleetClient(net::EventLoop &loop, peer::ChannelPool &channels, FleetClientSettings settings,
                const Clock &clock);
    ~FleetClient();
    FleetClient(const FleetClient &) = delete;
    FleetClient &operator=(const FleetClient &) = delete;

    /// \a listener is called after each change of the state. Call before start().
    void onChange(Listener listener);
    /// Says with each poll whether this process leads the store group, and its replicas.
    void setStoreReport(std::function<void(wire::FleetSyncRequest &)> report);
    void start();
    /// Tells the leader at once what it would learn with the next poll.
    void sendHeartbeat();
    /// Tells the leader that this process leaves; no poll follows.
    void leave();
    void stop();
    /// The settings name other seeds now.
    void setSeeds(std::vector<std::string> seeds);
    const FleetState &state() const;
    /// Time since the last answered poll was sent; infinite before the first one.
    absl::Duration staleness() const;
    /// Peer address of the leader of the fleet group, as last known.
    std::string leaderAddress() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
