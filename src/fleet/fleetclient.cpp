#include "rattanrill/fleet/fleetclient.h"

#include "polltargets.h"

#include "rattanrill/base/logduration.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/upstreamlist.h"
#include "rattanrill/wire/codec.h"

#include "absl/strings/str_join.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// Maximum number of polls without a response.
constexpr std::size_t maxPendingPolls = 9;
/// Minimum time between two polls of a process that is not the leader. During an election the
/// processes name the lost leader until they notice its loss.
constexpr absl::Duration minRepollDelay = absl::Milliseconds(200);
constexpr absl::Duration evidenceTimeout = absl::Milliseconds(300);
/// Maximum interval between two steps of a search while polls receive no response. When the whole
/// fleet is slow, further polls and connections would make it slower.
constexpr absl::Duration maxSearchInterval = absl::Milliseconds(1600);
/// Minimum time for which a member stays with a relay before it changes to a preferred one.
constexpr absl::Duration relayChangePeriod = absl::Seconds(2);
/// A list of members that is older than this does not show which processes are alive.
constexpr absl::Duration maxMemberListAge = absl::Seconds(2);

bool precedes(const wire::FleetMemberStatus &status, const std::string &instance)
{
    return status.member.instance < instance;
}

/// Applies changes to a list of members that is sorted by instance.
void applyMemberChanges(std::vector<wire::FleetMemberStatus> &members,
                        const wire::FleetSyncResponse &response)
{
    const auto find = [&](const std::string &instance) {
        return std::lower_bound(members.begin(), members.end(), instance, precedes);
    };
    for (const std::string &instance : response.removedMembers) {
        const auto found = find(instance);
        if (found != members.end() && found->member.instance == instance)
            members.erase(found);
    }
    for (const wire::FleetMemberStatus &status : response.members) {
        const auto found = find(status.member.instance);
        if (found != members.end() && found->member.instance == status.member.instance)
            *found = status;
        else
            members.insert(found, status);
    }
}

std::int64_t countLiveEntries(const std::vector<wire::FleetMemberStatus> &members)
{
    return std::count_if(members.begin(), members.end(), [](const wire::FleetMemberStatus &status) {
        return status.member.role == wire::MemberRole::Entry && status.alive;
    });
}

/// Returns 0 when \a right is greater.
std::size_t difference(std::size_t left, std::size_t right)
{
    return left - std::min(left, right);
}

} // namespace

bool hasFailureDomain(const FleetState &state, const std::string &failureDomain)
{
    const bool hasUpstream = std::any_of(state.upstreams.begin(), state.upstreams.end(),
                                         [&](const wire::FleetUpstream &upstream) {
                                             return upstream.failureDomain == failureDomain;
                                         });
    return hasUpstream
           || std::any_of(state.members.begin(), state.members.end(),
                          [&](const wire::FleetMemberStatus &status) {
                              return status.member.failureDomain == failureDomain;
                          });
}

struct FleetClient::Impl : std::enable_shared_from_this<FleetClient::Impl>
{
    Impl(net::EventLoop &loop, peer::ChannelPool &channels, FleetClientSettings settings,
         const Clock &clock)
        : loop(loop)
        , channels(channels)
        , settings(std::move(settings))
        , clock(clock)
        , targets(this->settings.self, this->settings.usesRelays)
        , backoff(this->settings.minBackoff)
        , searchInterval(this->settings.hedgeDelay)
    {
        targets.setSeeds(this->settings.seeds);
    }

    wire::FleetSyncRequest makeRequest() const
    {
        wire::FleetSyncRequest request;
        request.self = settings.self;
        request.viewTerm = viewTerm;
        request.viewSequence = viewSequence;
        request.promptSequence = state.promptSequence;
        request.configurationVersion = state.configurationVersion;
        request.waitMs = absl::ToInt64Milliseconds(settings.pollWait);
        request.acceptsChanges = true;
        request.acceptsRelay = settings.usesRelays;
        if (statusSource)
            statusSource(request);
        return request;
    }

    void sendHeartbeat(bool leaving)
    {
        wire::FleetSyncRequest message = makeRequest();
        message.leaving = leaving;
        message.waitMs = 0;
        sendOneWay(message);
    }

    void sendOneWay(const wire::FleetSyncRequest &message)
    {
        if (!source.empty())
            channels.channel(source)->sendOneWay(wire::Method::SyncFleet, wire::encode(message));
    }

    void reportCrashEvidence(const wire::CrashEvidence &evidence, std::function<void(bool)> done)
    {
        if (source.empty() || stopped)
            return loop.post([done = std::move(done)] { done(false); });
        channels.channel(source)->call(
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
        const std::vector<std::string> &known = targets.order();
        const std::size_t prompt = promptPolls();
        const std::size_t count = std::min(difference(settings.maxParallelPolls, prompt),
                                           difference(maxPendingPolls, pendingPolls.size()));
        std::vector<std::string> addresses;
        if (count > 0 && !source.empty() && !isPending(source))
            addresses.push_back(source);
        for (std::size_t i = 0; i < known.size() && addresses.size() < count; ++i) {
            const std::string &address = known[nextAddressIndex++ % known.size()];
            const bool isChosen =
                    std::find(addresses.begin(), addresses.end(), address) != addresses.end();
            if (mayPoll(address) && !isChosen)
                addresses.push_back(address);
        }
        return addresses;
    }

    /// Polls the process that has just responded, or the preferred relay. Responses to other polls,
    /// which were sent before, are ignored from now on.
    void pollAgain()
    {
        ++round;
        pendingPolls.clear();
        lastPolls.clear();
        cancelSearch();
        nextAddressIndex = 0;
        searchInterval = settings.hedgeDelay;
        poll(nextSource());
        scheduleSearch(settings.pollWait + settings.hedgeDelay);
    }

    /// A process that is not the preferred relay has responded when that one was lost or unknown.
    std::string nextSource()
    {
        std::string preferred = targets.preferredRelay();
        if (preferred.empty() || preferred == source
            || clock.now() - relayChangedAt < relayChangePeriod)
            return source;
        relayChangedAt = clock.now();
        return preferred;
    }

    /// Closes the channels to control processes that were polled while this one was searched. Each
    /// control process would otherwise have a connection from every member.
    void closeUnusedChannels()
    {
        if (!settings.usesRelays)
            return;
        for (const std::string &address : std::exchange(polledAddresses, {source})) {
            if (address != source)
                channels.remove(address);
        }
    }

    /// Polls further addresses until one of them responds as the leader.
    void search()
    {
        if (stopped)
            return;
        followsHint = false;
        for (const std::string &address : nextAddresses())
            poll(address);
        scheduleSearch(searchInterval);
        searchInterval = std::min(searchInterval * 2, maxSearchInterval);
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
        if (settings.usesRelays)
            polledAddresses.insert(address);
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
        // A leader whose machine was suspended may not know yet that it was replaced, and a relay
        // may have an older copy of the view.
        if (isOlderView(response.value()))
            return handleFailure(address, notRun(ErrorCode::NotLeader, ""));
        if (source != address || !connected) {
            log(LogLevel::Info, "fleet-leader-found",
                {{"peerAddress", address},
                 {"term", response.value().viewTerm},
                 {"viewAgeMs", response.value().viewAgeMs}});
        }
        if (source != address)
            relayChangedAt = clock.now();
        source = address;
        connected = true;
        followsHint = false;
        backoff = settings.minBackoff;
        confirmedAt = std::max(confirmedAt, viewTime(response.value(), sentAt));
        state.leaderAddress = response.value().leaderAddress;
        targets.setLeader(state.leaderAddress);
        applyResponse(response.value(), sentAt);
        if (stopped)
            return;
        closeUnusedChannels();
        pollAgain();
    }

    bool isOlderView(const wire::FleetSyncResponse &response) const
    {
        const bool isSameTerm = response.viewTerm == viewTerm;
        return response.viewTerm < viewTerm || (isSameTerm && response.viewSequence < viewSequence)
               || (!isSameTerm && response.containsChangesOnly);
    }

    /// Time at which the view in a response was the leader's, at the earliest.
    static absl::Time viewTime(const wire::FleetSyncResponse &response, absl::Time sentAt)
    {
        return sentAt + absl::Milliseconds(response.heldMs)
               - absl::Milliseconds(response.viewAgeMs);
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

    static std::uint64_t upstreamsTermOf(const wire::FleetSyncResponse &response)
    {
        return response.upstreamsTerm == 0 ? response.viewTerm : response.upstreamsTerm;
    }

    void replaceUpstreams(const wire::FleetSyncResponse &response, absl::Time readAt)
    {
        const std::uint64_t listTerm = upstreamsTermOf(response);
        const bool isSameLeader = listTerm == state.upstreamsTerm;
        // A new leader may have started its read before the last one of the previous leader. What
        // the later read showed as draining remains so until the new leader has read later.
        if (!isSameLeader && readAt < state.upstreamsReadAt) {
            retainedMarks = drainingIds(state.upstreams);
            marksReadAt = state.upstreamsReadAt;
        } else if (!isSameLeader || readAt >= marksReadAt) {
            retainedMarks.clear();
        }
        if (response.containsChangesOnly)
            applyUpstreamChanges(receivedUpstreams, response.upstreams, response.removedUpstreams);
        else
            receivedUpstreams = response.upstreams;
        // The lower bounds of successive responses vary, but a leader never replaces its list by
        // one of an earlier read.
        state.upstreamsReadAt = isSameLeader ? std::max(state.upstreamsReadAt, readAt) : readAt;
        state.upstreamsTerm = listTerm;
        state.upstreamsKnown = true;
        if (updateUpstreams())
            logUpstreams(response);
    }

    /// Returns whether the list in force has changed.
    bool updateUpstreams()
    {
        std::vector<wire::FleetUpstream> upstreams = receivedUpstreams;
        markDraining(upstreams, retainedMarks);
        const bool isSame = sameUpstreams(state.upstreams, upstreams);
        state.upstreams = std::move(upstreams);
        return !isSame;
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
        const bool hasNewLists = isNewView && applyView(response, readAt);
        const bool hasNewEntryCount = applyEntryCount(response);
        if (response.promptsIncluded) {
            state.promptSequence = response.promptSequence;
            state.blockedPrompts = response.blockedPrompts;
            state.suspectPromptParts = response.suspectPromptParts;
        }
        const bool isChanged =
                hasNewLists || hasNewEntryCount || isNewConfiguration || response.promptsIncluded;
        if (!hasNewLists)
            confirmUpstreams(readAt, isChanged);
        if (isChanged)
            notifyListeners();
    }

    /// Returns whether a list or flag of the view has changed. A new sequence number alone means a
    /// change of which this member is not told.
    bool applyView(const wire::FleetSyncResponse &response, absl::Time readAt)
    {
        const bool isSame = response.containsChangesOnly && response.members.empty()
                            && response.removedMembers.empty() && response.upstreams.empty()
                            && response.removedUpstreams.empty()
                            && response.drainingUpstreams.empty()
                            && response.membersSettled == state.membersComplete
                            && response.storeFounders == state.storeFounders
                            && response.openRetirements == state.openRetirements
                            && response.evacuatedDomains == state.evacuatedDomains;
        viewTerm = response.viewTerm;
        viewSequence = response.viewSequence;
        state.leaderTerm = response.viewTerm;
        state.viewSequence = response.viewSequence;
        if (isSame)
            return false;
        if (response.containsChangesOnly)
            applyMemberChanges(state.members, response);
        else
            state.members = response.members;
        targets.setMembers(state.members);
        state.membersComplete = response.membersSettled;
        state.storeFounders = response.storeFounders;
        state.openRetirements = response.openRetirements;
        applyEvacuations(response);
        // A new leader may not have read the platform's list yet. The list from the previous
        // leader stays in use until then.
        if (response.upstreamsKnown)
            replaceUpstreams(response, readAt);
        else
            markUpstreams(response);
        return true;
    }

    void applyEvacuations(const wire::FleetSyncResponse &response)
    {
        if (state.evacuatedDomains == response.evacuatedDomains)
            return;
        state.evacuatedDomains = response.evacuatedDomains;
        log(LogLevel::Info, "evacuation-in-force",
            {{"evacuatedDomains", absl::StrJoin(state.evacuatedDomains, ",")},
             {"term", response.viewTerm},
             {"sequence", response.viewSequence},
             {"viewAgeMs", loggedMilliseconds(clock.now() - confirmedAt)}});
    }

    /// Returns whether the number of live entries has changed. A new leader may not have heard of
    /// all entries yet: until its list is complete, the number does not fall, because each entry
    /// takes its share of the workspaces' rates by it.
    bool applyEntryCount(const wire::FleetSyncResponse &response)
    {
        std::int64_t count =
                response.liveEntries < 0 ? countLiveEntries(state.members) : response.liveEntries;
        if (!state.membersComplete)
            count = state.liveEntries == 0 ? 0 : std::max(count, state.liveEntries);
        return std::exchange(state.liveEntries, count) != count;
    }

    void notifyListeners() const
    {
        for (const Listener &listener : listeners)
            listener(state);
    }

    /// \a isNotified: whether the listeners of the state are called anyway.
    void confirmUpstreams(absl::Time readAt, bool isNotified)
    {
        if (!state.upstreamsKnown || readAt <= state.upstreamsReadAt)
            return;
        state.upstreamsReadAt = readAt;
        if (!retainedMarks.empty() && readAt >= marksReadAt) {
            retainedMarks.clear();
            if (updateUpstreams() && !isNotified)
                return notifyListeners();
        }
        for (const ConfirmationListener &listener : confirmationListeners)
            listener(readAt);
    }

    void handleFailure(const std::string &address, const Failure &failure)
    {
        if (address == source)
            handleLeaderLost(failure);
        // The preferred relay can't serve this member yet.
        if (connected && !isPending(source))
            return poll(source);
        const bool hasHint = failure.code == ErrorCode::NotLeader && !failure.detail.empty();
        const std::string hint = hasHint ? peerAddressOf(failure.detail) : std::string();
        if (hint.empty() || hint == address || isPending(hint))
            return scheduleNextSearch();
        handleLeaderLost(failure);
        source = hint;
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
                {{"peerAddress", source},
                 {"code", name(failure.code)},
                 {"detail", failure.detail},
                 {"configurationVersion", state.configurationVersion}});
        }
        connected = false;
        source.clear();
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
    PollTargets targets;
    FleetState state;
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    /// The list as the leader sent it; the one in force may have further draining upstreams.
    std::vector<wire::FleetUpstream> receivedUpstreams;
    /// Ids of upstreams that the previous leader showed as draining in a later read than the
    /// current one's, which started at \a marksReadAt.
    std::set<std::string> retainedMarks;
    absl::Time marksReadAt = absl::InfinitePast();
    std::vector<Listener> listeners;
    std::vector<ConfirmationListener> confirmationListeners;
    std::function<void(wire::FleetSyncRequest &)> statusSource;
    /// Process that responded last, or that was named as the leader: the leader or a relay.
    std::string source;
    absl::Time relayChangedAt = absl::InfinitePast();
    /// Control processes to which a channel may be open; only of members that use relays.
    std::set<std::string> polledAddresses;
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
    absl::Duration searchInterval;
    /// Time at which the state was the leader's, at the earliest.
    absl::Time confirmedAt = absl::InfinitePast();
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

void FleetClient::setStatusSource(std::function<void(wire::FleetSyncRequest &)> source)
{
    m_impl->statusSource = std::move(source);
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

void FleetClient::forward(wire::FleetSyncRequest message)
{
    // Not forwarded again, so that two processes with outdated state don't exchange it.
    message.acceptsRelay = false;
    if (!m_impl->stopped)
        m_impl->sendOneWay(message);
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
    m_impl->targets.setSeeds(std::move(seeds));
}

const FleetState &FleetClient::state() const
{
    return m_impl->state;
}

absl::Duration FleetClient::staleness() const
{
    return m_impl->clock.now() - m_impl->confirmedAt;
}

bool FleetClient::hasCurrentMembers() const
{
    return m_impl->state.membersComplete && staleness() <= maxMemberListAge;
}

absl::Duration FleetClient::upstreamListAge() const
{
    return m_impl->clock.now() - m_impl->state.upstreamsReadAt;
}

std::string FleetClient::sourceAddress() const
{
    return m_impl->source;
}

} // namespace rattanrill::fleet
