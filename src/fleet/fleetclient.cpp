#include "rattanrill/fleet/fleetclient.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/upstreamlist.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// Maximum number of addresses that are polled in parallel while no leader is known. Equal to the
/// number of processes that bootstrap the fleet group.
constexpr std::size_t maxParallelPolls = 3;
constexpr absl::Duration evidenceTimeout = absl::Milliseconds(300);

} // namespace

struct FleetClient::Impl : std::enable_shared_from_this<FleetClient::Impl>
{
    Impl(net::EventLoop &loop, peer::ChannelPool &channels, FleetClientSettings settings,
         const Clock &clock)
        : loop(loop)
        , channels(channels)
        , settings(std::move(settings))
        , clock(clock)
        , backoff(this->settings.minBackoff)
    {}

    wire::FleetSyncRequest makeRequest() const
    {
        wire::FleetSyncRequest request;
        request.self = settings.self;
        request.viewTerm = viewTerm;
        request.viewSequence = viewSequence;
        request.promptSequence = promptSequence;
        request.configurationVersion = state.configurationVersion;
        request.waitMs = absl::ToInt64Milliseconds(settings.pollWait);
        if (storeStatusSource)
            storeStatusSource(request);
        return request;
    }

    void sendHeartbeat(bool leaving)
    {
        if (leader.empty())
            return;
        wire::FleetSyncRequest message = makeRequest();
        message.leaving = leaving;
        message.waitMs = 0;
        channels.channel(leader)->sendOneWay(wire::Method::SyncFleet, wire::encode(message));
    }

    void reportPromptEvidence(const wire::PromptEvidence &evidence, std::function<void(bool)> done)
    {
        if (leader.empty() || stopped)
            return loop.post([done = std::move(done)] { done(false); });
        channels.channel(leader)->call(
                wire::Method::ReportPromptEvidence, wire::encode(evidence), evidenceTimeout,
                [self = shared_from_this(),
                 done = std::move(done)](const Outcome<std::string> &outcome) {
                    self->loop.post([done, isReceived = outcome.ok()] { done(isReceived); });
                });
    }

    /// Returns the leader's address if it is known, and otherwise up to maxParallelPolls of the
    /// known addresses. Successive calls rotate through them, because a poll of a process that is
    /// down ends only after a timeout.
    std::vector<std::string> nextAddresses()
    {
        if (!leader.empty())
            return {leader};
        std::vector<std::string> knownAddresses = settings.seeds;
        for (const wire::FleetMemberStatus &status : state.members) {
            const std::string &address = status.member.peerAddress;
            const bool isNew = std::find(knownAddresses.begin(), knownAddresses.end(), address)
                               == knownAddresses.end();
            if (status.member.role == wire::MemberRole::Control && isNew)
                knownAddresses.push_back(address);
        }
        std::vector<std::string> addresses;
        while (addresses.size() < std::min(knownAddresses.size(), maxParallelPolls))
            addresses.push_back(knownAddresses[nextAddressIndex++ % knownAddresses.size()]);
        return addresses;
    }

    /// Starts a round of polls. Responses to polls of earlier rounds are ignored.
    void poll()
    {
        if (stopped)
            return;
        ++round;
        const std::vector<std::string> addresses = nextAddresses();
        pendingPolls = addresses.size();
        if (addresses.empty())
            return scheduleNextRound();
        for (const std::string &address : addresses)
            poll(address);
    }

    void poll(const std::string &address)
    {
        const absl::Time sentAt = clock.now();
        channels.channel(address)->call(wire::Method::SyncFleet, wire::encode(makeRequest()),
                                        settings.pollTimeout,
                                        [self = shared_from_this(), address, sentAt,
                                         pollRound = round](Outcome<std::string> outcome) {
                                            self->loop.post([self, address, sentAt, pollRound,
                                                             outcome = std::move(outcome)] {
                                                if (!self->stopped && pollRound == self->round)
                                                    self->handleOutcome(address, sentAt, outcome);
                                            });
                                        });
    }

    void handleOutcome(const std::string &address, absl::Time sentAt,
                       const Outcome<std::string> &outcome)
    {
        --pendingPolls;
        if (!outcome.ok())
            return handleFailure(address, outcome.failure());
        const auto response =
                outcomeOf([&] { return wire::decode<wire::FleetSyncResponse>(outcome.value()); });
        if (!response.ok())
            return handleFailure(address, response.failure());
        if (leader != address || !connected) {
            log(LogLevel::Info, "fleet-leader-found",
                {{"peerAddress", address}, {"term", response.value().viewTerm}});
        }
        leader = address;
        connected = true;
        followsHint = false;
        backoff = settings.minBackoff;
        lastSyncSentAt = sentAt;
        applyResponse(response.value(), sentAt);
        poll();
    }

    /// Start of the read of the list of upstreams that the leader's view shows, at the earliest.
    /// The leader received the poll after \a sentAt and determined the age after the time for which
    /// it held the poll.
    static absl::Time earliestReadAt(const wire::FleetSyncResponse &response, absl::Time sentAt)
    {
        if (response.upstreamsAgeMs < 0)
            return absl::InfinitePast();
        return sentAt + absl::Milliseconds(response.heldMs)
               - absl::Milliseconds(response.upstreamsAgeMs);
    }

    void replaceUpstreams(const wire::FleetSyncResponse &response, absl::Time readAt)
    {
        std::vector<wire::FleetUpstream> upstreams = response.upstreams;
        const bool isSameLeader = response.viewTerm == upstreamsTerm;
        // A new leader may have started its read before the last one of the previous leader. What
        // the later read showed as draining remains so.
        if (!isSameLeader && readAt < state.upstreamsReadAt)
            markDraining(upstreams, drainingIds(state.upstreams));
        const bool isSame = state.upstreamsKnown && sameUpstreams(state.upstreams, upstreams);
        // The lower bounds of successive responses vary, but a leader never replaces its list by
        // one of an earlier read.
        state.upstreamsReadAt = isSameLeader ? std::max(state.upstreamsReadAt, readAt) : readAt;
        upstreamsTerm = response.viewTerm;
        state.upstreams = std::move(upstreams);
        state.upstreamsKnown = true;
        if (!isSame)
            logUpstreams(response);
    }

    /// Applies what a leader knows that has not read the whole list yet.
    void markUpstreams(const wire::FleetSyncResponse &response)
    {
        const auto &ids = response.drainingUpstreams;
        if (markDraining(state.upstreams, {ids.begin(), ids.end()}))
            logUpstreams(response);
    }

    void logUpstreams(const wire::FleetSyncResponse &response) const
    {
        const bool isAgeKnown = state.upstreamsReadAt != absl::InfinitePast();
        log(LogLevel::Info, "upstream-list-in-force",
            {{"upstreams", static_cast<std::int64_t>(state.upstreams.size())},
             {"draining", static_cast<std::int64_t>(drainingIds(state.upstreams).size())},
             {"term", response.viewTerm},
             {"sequence", response.viewSequence},
             {"ageMs",
              isAgeKnown ? absl::ToInt64Milliseconds(clock.now() - state.upstreamsReadAt) : -1}});
    }

    void applyResponse(const wire::FleetSyncResponse &response, absl::Time sentAt)
    {
        const absl::Time readAt = earliestReadAt(response, sentAt);
        const bool isNewView =
                response.viewTerm != viewTerm || response.viewSequence != viewSequence;
        const bool isNewConfiguration = response.configurationVersion > state.configurationVersion
                                        && !response.configuration.empty();
        if (isNewConfiguration) {
            state.configurationVersion = response.configurationVersion;
            state.configuration = response.configuration;
        }
        if (isNewView) {
            viewTerm = response.viewTerm;
            viewSequence = response.viewSequence;
            state.members = response.members;
            state.membersComplete = response.membersSettled;
            state.storeFounders = response.storeFounders;
            // A new leader may not have read the platform's list yet. The list from the previous
            // leader stays in use until then.
            if (response.upstreamsKnown)
                replaceUpstreams(response, readAt);
            else
                markUpstreams(response);
        }
        if (response.promptsIncluded) {
            promptSequence = response.promptSequence;
            state.blockedPrompts = response.blockedPrompts;
            state.suspectPromptParts = response.suspectPromptParts;
        }
        if (isNewView || isNewConfiguration || response.promptsIncluded) {
            for (const Listener &listener : listeners)
                listener(state);
        }
        if (!isNewView)
            confirmUpstreams(readAt);
    }

    void confirmUpstreams(absl::Time readAt)
    {
        if (!state.upstreamsKnown || readAt <= state.upstreamsReadAt)
            return;
        state.upstreamsReadAt = readAt;
        for (const ConfirmationListener &listener : confirmationListeners)
            listener(readAt);
    }

    void handleFailure(const std::string &address, const Failure &failure)
    {
        const bool hasHint = failure.code == ErrorCode::NotLeader && !failure.detail.empty();
        if (connected) {
            log(LogLevel::Warning, "fleet-leader-lost",
                {{"peerAddress", address},
                 {"code", name(failure.code)},
                 {"detail", failure.detail},
                 {"configurationVersion", state.configurationVersion}});
        }
        connected = false;
        const std::string hintedAddress = hasHint ? peerAddressOf(failure.detail) : std::string();
        leader = hintedAddress == address ? std::string() : hintedAddress;
        // Two replicas with outdated state may each name the other as leader. Only one hint in a
        // row is followed without a delay, so that the polls do not alternate between the two.
        const bool isNewHint = !leader.empty() && !followsHint;
        followsHint = isNewHint;
        if (isNewHint)
            poll();
        else if (pendingPolls == 0)
            scheduleNextRound();
    }

    void scheduleNextRound()
    {
        loop.timers().subscribeOnce(backoff, [self = shared_from_this()] { self->poll(); });
        backoff = std::min(backoff * 2, settings.maxBackoff);
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    FleetClientSettings settings;
    const Clock &clock;
    FleetState state;
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    /// Term of the leader that read the list of upstreams.
    std::uint64_t upstreamsTerm = 0;
    std::uint64_t promptSequence = 0;
    std::vector<Listener> listeners;
    std::vector<ConfirmationListener> confirmationListeners;
    std::function<void(wire::FleetSyncRequest &)> storeStatusSource;
    std::string leader;
    std::size_t nextAddressIndex = 0;
    /// Whether the last poll received a valid response.
    bool connected = false;
    /// Whether the current poll was sent to the leader that the previous response named.
    bool followsHint = false;
    std::uint64_t round = 0;
    /// Number of polls of this round that have not ended yet.
    std::size_t pendingPolls = 0;
    bool stopped = false;
    absl::Duration backoff;
    /// Time at which the last successful poll was sent.
    absl::Time lastSyncSentAt = absl::InfinitePast();
};

FleetClient::FleetClient(net::EventLoop &loop, peer::ChannelPool &channels,
                         FleetClientSettings settings, const Clock &clock)
    : m_impl(std::make_shared<Impl>(loop, channels, std::move(settings), clock))
{}

FleetClient::~FleetClient()
{
    stop();
}

void FleetClient::onChange(Listener listener)
{
    m_impl->listeners.push_back(std::move(listener));
}

void FleetClient::onUpstreamsConfirmed(ConfirmationListener listener)
{
    m_impl->confirmationListeners.push_back(std::move(listener));
}

void FleetClient::setStoreStatusSource(std::function<void(wire::FleetSyncRequest &)> source)
{
    m_impl->storeStatusSource = std::move(source);
}

void FleetClient::start()
{
    m_impl->poll();
}

void FleetClient::sendHeartbeat()
{
    if (!m_impl->stopped)
        m_impl->sendHeartbeat(false);
}

void FleetClient::reportPromptEvidence(const wire::PromptEvidence &evidence,
                                       std::function<void(bool)> done)
{
    m_impl->reportPromptEvidence(evidence, std::move(done));
}

void FleetClient::leave()
{
    if (!m_impl->stopped)
        m_impl->sendHeartbeat(true);
    stop();
}

void FleetClient::stop()
{
    m_impl->stopped = true;
    m_impl->listeners.clear();
    m_impl->confirmationListeners.clear();
}

void FleetClient::setSeeds(std::vector<std::string> seeds)
{
    m_impl->settings.seeds = std::move(seeds);
}

const FleetState &FleetClient::state() const
{
    return m_impl->state;
}

absl::Duration FleetClient::staleness() const
{
    return m_impl->clock.now() - m_impl->lastSyncSentAt;
}

absl::Duration FleetClient::upstreamListAge() const
{
    return m_impl->clock.now() - m_impl->state.upstreamsReadAt;
}

std::string FleetClient::leaderAddress() const
{
    return m_impl->leader;
}

} // namespace rattanrill::fleet
