#include "rattanrill/fleet/fleetclient.h"

#include "rattanrill/base/logduration.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/upstreamlist.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// Maximum number of addresses that are polled in parallel while no leader is known, not counting
/// those that have been silent for the hedge delay. Equal to the number of processes that bootstrap
/// the fleet group.
constexpr std::size_t maxParallelPolls = 3;
/// Maximum number of polls without a response.
constexpr std::size_t maxPendingPolls = 9;
/// Minimum time between two polls of a process that is not the leader. During an election the
/// processes name the lost leader until they notice its loss.
constexpr absl::Duration minRepollDelay = absl::Milliseconds(200);
constexpr absl::Duration evidenceTimeout = absl::Milliseconds(300);

/// Returns 0 when \a right is greater.
std::size_t difference(std::size_t left, std::size_t right)
{
    return left - std::min(left, right);
}

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

    void reportCrashEvidence(const wire::CrashEvidence &evidence, std::function<void(bool)> done)
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

    bool isPending(const std::string &address) const { return pendingPolls.count(address) != 0; }

    /// Number of pending polls that may be answered soon.
    std::size_t promptPolls() const
    {
        const absl::Time silentSince = clock.now() - settings.hedgeDelay;
        return static_cast<std::size_t>(
                std::count_if(pendingPolls.begin(), pendingPolls.end(),
                              [&](const auto &poll) { return poll.second > silentSince; }));
    }

    std::vector<std::string> knownAddresses() const
    {
        std::vector<std::string> addresses = settings.seeds;
        for (const wire::FleetMemberStatus &status : state.members) {
            const std::string &address = status.member.peerAddress;
            const bool isNew =
                    std::find(addresses.begin(), addresses.end(), address) == addresses.end();
            if (status.member.role == wire::MemberRole::Control && isNew)
                addresses.push_back(address);
        }
        return addresses;
    }

    /// Limits how often an address is polled that does not lead to the leader. While the leader is
    /// only slow, each of the others is polled once.
    bool mayPoll(const std::string &address) const
    {
        const auto last = lastPolls.find(address);
        if (last == lastPolls.end())
            return true;
        return !connected && !isPending(address) && clock.now() - last->second >= minRepollDelay;
    }

    /// Returns the addresses to poll next, the leader that was named last before others. Successive
    /// calls rotate through the known addresses. A poll that has been silent for the hedge delay
    /// stays valid, but others are sent beside it.
    std::vector<std::string> nextAddresses()
    {
        const std::vector<std::string> known = knownAddresses();
        const std::size_t prompt = promptPolls();
        const std::size_t count = std::min(difference(maxParallelPolls, prompt),
                                           difference(maxPendingPolls, pendingPolls.size()));
        std::vector<std::string> addresses;
        if (count > 0 && !leader.empty() && !isPending(leader))
            addresses.push_back(leader);
        for (std::size_t i = 0; i < known.size() && addresses.size() < count; ++i) {
            const std::string &address = known[nextAddressIndex++ % known.size()];
            const bool isChosen =
                    std::find(addresses.begin(), addresses.end(), address) != addresses.end();
            if (mayPoll(address) && !isChosen)
                addresses.push_back(address);
        }
        return addresses;
    }

    /// Polls the leader that has just responded. Responses to other polls, which were sent before,
    /// are ignored from now on.
    void pollLeader()
    {
        ++round;
        pendingPolls.clear();
        lastPolls.clear();
        cancelSearch();
        poll(leader);
        scheduleSearch(settings.pollWait + settings.hedgeDelay);
    }

    /// Polls further addresses until one of them responds as the leader.
    void search()
    {
        if (stopped)
            return;
        followsHint = false;
        for (const std::string &address : nextAddresses())
            poll(address);
        scheduleSearch(std::min(settings.hedgeDelay, settings.maxBackoff));
    }

    /// Calls search() after \a delay at the latest. Returns whether this is sooner than scheduled
    /// before.
    bool scheduleSearch(absl::Duration delay)
    {
        const absl::Time at = clock.now() + delay;
        if (searchTimer != 0 && searchAt <= at)
            return false;
        cancelSearch();
        searchAt = at;
        searchTimer = loop.timers().subscribeOnce(delay, [self = shared_from_this()] {
            self->searchTimer = 0;
            self->search();
        });
        return true;
    }

    void cancelSearch()
    {
        if (searchTimer != 0)
            loop.timers().unsubscribe(std::exchange(searchTimer, 0));
    }

    void poll(const std::string &address)
    {
        const absl::Time sentAt = clock.now();
        pendingPolls[address] = sentAt;
        lastPolls[address] = sentAt;
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
        pendingPolls.erase(address);
        if (!outcome.ok())
            return handleFailure(address, outcome.failure());
        const auto response =
                outcomeOf([&] { return wire::decode<wire::FleetSyncResponse>(outcome.value()); });
        if (!response.ok())
            return handleFailure(address, response.failure());
        // A leader whose machine was suspended may not know yet that it was replaced. Its view is
        // old, and so is its list, whatever its clock shows: clocks stand still meanwhile.
        if (response.value().viewTerm < viewTerm)
            return handleFailure(address, notRun(ErrorCode::NotLeader, ""));
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
        if (!stopped)
            pollLeader();
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
        log(LogLevel::Info, "upstream-list-in-force",
            {{"upstreams", static_cast<std::int64_t>(state.upstreams.size())},
             {"draining", static_cast<std::int64_t>(drainingIds(state.upstreams).size())},
             {"term", response.viewTerm},
             {"sequence", response.viewSequence},
             {"ageMs", loggedMilliseconds(clock.now() - state.upstreamsReadAt)}});
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
            state.leaderTerm = response.viewTerm;
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
        if (address == leader)
            handleLeaderLost(failure);
        const bool hasHint = failure.code == ErrorCode::NotLeader && !failure.detail.empty();
        const std::string hint = hasHint ? peerAddressOf(failure.detail) : std::string();
        if (hint.empty() || hint == address || isPending(hint))
            return scheduleNextSearch();
        handleLeaderLost(failure);
        leader = hint;
        // Two replicas with outdated state may each name the other as leader. Only one hint in a
        // row is followed without a delay, so that the polls do not alternate between the two.
        if (std::exchange(followsHint, true))
            return scheduleNextSearch();
        poll(hint);
    }

    void handleLeaderLost(const Failure &failure)
    {
        if (connected) {
            log(LogLevel::Warning, "fleet-leader-lost",
                {{"peerAddress", leader},
                 {"code", name(failure.code)},
                 {"detail", failure.detail},
                 {"configurationVersion", state.configurationVersion}});
        }
        connected = false;
        leader.clear();
    }

    void scheduleNextSearch()
    {
        // The leader has not failed; it is only slow, and the search is a precaution.
        if (connected)
            return;
        if (scheduleSearch(backoff))
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
    /// Whether a leader that a response named was polled at once since the last search().
    bool followsHint = false;
    /// Incremented by each valid response.
    std::uint64_t round = 0;
    /// Polls of this round that have not ended yet: time of sending by address.
    std::map<std::string, absl::Time> pendingPolls;
    /// Time of the last poll of each address that was polled in this round.
    std::map<std::string, absl::Time> lastPolls;
    TimerService::TimerId searchTimer = 0;
    absl::Time searchAt;
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
    m_impl->search();
}

void FleetClient::sendHeartbeat()
{
    if (!m_impl->stopped)
        m_impl->sendHeartbeat(false);
}

void FleetClient::reportCrashEvidence(const wire::CrashEvidence &evidence,
                                      std::function<void(bool)> done)
{
    m_impl->reportCrashEvidence(evidence, std::move(done));
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
    m_impl->cancelSearch();
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
