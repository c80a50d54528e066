#include "rattanrill/fleet/fleetservice.h"

#include "crashquarantine.h"
#include "drainingmarks.h"
#include "fleetrelay.h"
#include "retirementrecorder.h"

#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/upstreamlist.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <algorithm>
#include <array>
#include <list>
#include <set>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// Interval at which pending polls and member timeouts are checked.
constexpr absl::Duration checkPeriod = absl::Milliseconds(50);
/// Maximum delay of the response to a poll, also if the poll requests a longer one.
constexpr absl::Duration maxPollWait = absl::Seconds(2);
/// A relay that has not been in touch with the leader for longer than this sends its members to
/// other relays. Longer than a poll, and short enough that a member receives a new configuration
/// from another relay in time.
constexpr absl::Duration maxRelayedViewAge = absl::Milliseconds(1200);
/// Number of polls that are responded to in a row, and the pause after them. A new configuration
/// goes to all members at once, and the replica of this process must send its heartbeats meanwhile.
constexpr int maxResponsesInARow = 4;
constexpr absl::Duration responsePause = absl::Milliseconds(5);
/// Delay of the report of members that have begun to poll this relay, to collect further ones.
constexpr absl::Duration relayReportDelay = absl::Milliseconds(100);

} // namespace

struct FleetService::Impl : std::enable_shared_from_this<FleetService::Impl>
{
    struct Poll
    {
        wire::FleetSyncRequest request;
        peer::ResponseCallback reply;
        absl::Time receivedAt;
        absl::Time deadline;
    };

    /// Why the result of a read of the platform's list is not used.
    enum class ReadDropReason {
        /// A page could not be read, or exceeds the size limit.
        PageFailed,
        LeadershipLost,
        TermChanged,
    };

    Impl(net::EventLoop &loop, GroupReplica &replica, UpstreamDiscovery &discovery,
         FleetServiceSettings settings, const Clock &clock)
        : loop(loop)
        , replica(replica)
        , clock(clock)
        , view(settings.memberTimeout)
        , relay(settings.memberTimeout)
        , prompts(std::make_shared<CrashQuarantine>(replica, view, clock))
        , retirements(std::make_shared<RetirementRecorder>(replica, view))
        , listReader(loop.timers(), clock, discovery, settings.listReader, listHandlers())
    {}

    void handleSync(const std::string &body, peer::ResponseCallback reply)
    {
        auto request = outcomeOf([&] { return wire::decode<wire::FleetSyncRequest>(body); });
        if (!request.ok())
            return reply(request.failure());
        const absl::Time now = clock.now();
        const absl::Duration wait = std::clamp(absl::Milliseconds(request.value().waitMs),
                                               absl::ZeroDuration(), maxPollWait);
        Poll poll{std::move(request.value()), std::move(reply), now, now + wait};
        if (leads())
            addPoll(std::move(poll), now);
        else if (client != nullptr && poll.request.acceptsRelay)
            addRelayedPoll(std::move(poll), now);
        else if (!otherLeader().empty())
            poll.reply(notRun(ErrorCode::NotLeader, otherLeader()));
        else
            pollsWithoutLeader.push_back(std::move(poll));
    }

    void handleCrashEvidence(const std::string &body, const peer::ResponseCallback &reply)
    {
        const auto evidence = outcomeOf([&] { return wire::decode<wire::CrashEvidence>(body); });
        if (!evidence.ok())
            return reply(evidence.failure());
        if (!leads())
            return forwardEvidence(evidence.value(), reply);
        prompts->addEvidence(evidence.value());
        reply(std::string());
        respondToPolls(clock.now());
    }

    void forwardEvidence(wire::CrashEvidence evidence, const peer::ResponseCallback &reply)
    {
        // A message is forwarded once, so that two processes with outdated state don't exchange it.
        if (client == nullptr || evidence.isForwarded)
            return reply(notRun(ErrorCode::NotLeader, otherLeader()));
        evidence.isForwarded = true;
        client->reportCrashEvidence(evidence, [reply](bool isReceived) {
            if (isReceived)
                reply(std::string());
            else
                reply(notRun(ErrorCode::NotLeader, ""));
        });
    }

    void addRelayedPoll(Poll poll, absl::Time now)
    {
        if (poll.request.leaving) {
            relay.removeMember(poll.request.self.instance);
            return client->forward(poll.request);
        }
        if (relay.recordPoll(poll.request, now))
            scheduleRelayReport();
        relayedPolls.push_back(std::move(poll));
        processRelayedPolls(now);
    }

    void scheduleRelayReport()
    {
        if (std::exchange(isRelayReportPending, true))
            return;
        loop.timers().subscribeOnce(relayReportDelay, [self = shared_from_this()] {
            self->isRelayReportPending = false;
            if (self->client != nullptr)
                self->client->sendHeartbeat();
        });
    }

    /// Responds to the polls of the members that use this process as a relay.
    void processRelayedPolls(absl::Time now)
    {
        if (client == nullptr)
            return;
        if (leads()) {
            for (Poll &poll : std::exchange(relayedPolls, {}))
                addPoll(std::move(poll), now);
            return;
        }
        if (isPaused)
            return;
        int responses = 0;
        const absl::Duration viewAge = client->staleness();
        const bool isInTouch = viewAge <= maxRelayedViewAge;
        const bool hasLostTouch = std::exchange(wasInTouch, isInTouch) && !isInTouch;
        for (auto poll = relayedPolls.begin(); poll != relayedPolls.end();) {
            const bool hasEnded = poll->deadline <= now;
            const bool canRespond = isInTouch && !relay.isBehind(poll->request);
            if (canRespond && (hasEnded || relay.hasNews(poll->request))) {
                poll->reply(wire::encode(
                        relay.makeResponse(poll->request, poll->receivedAt, now, viewAge)));
                ++responses;
            } else if (hasEnded || hasLostTouch) {
                poll->reply(notRun(ErrorCode::NotLeader, ""));
            } else {
                ++poll;
                continue;
            }
            poll = relayedPolls.erase(poll);
            if (responses == maxResponsesInARow)
                return pauseResponses();
        }
    }

    void pauseResponses()
    {
        isPaused = true;
        loop.timers().subscribeOnce(responsePause, [self = shared_from_this()] {
            self->isPaused = false;
            const absl::Time now = self->clock.now();
            if (self->leads())
                self->respondToPolls(now);
            self->processRelayedPolls(now);
        });
    }

    void addPoll(Poll poll, absl::Time now)
    {
        view.recordHeartbeat(poll.request, now);
        // Control processes relay what they receive.
        if (poll.request.self.role == wire::MemberRole::Control)
            polls.push_front(std::move(poll));
        else
            polls.push_back(std::move(poll));
        respondToPolls(now);
    }

    /// Returns the replica id of the leader of the group; empty when the leader is unknown or is
    /// this replica.
    std::string otherLeader() const
    {
        const replication::RaftNodeStatus status = replica.status();
        return status.role == replication::Role::Leader ? std::string() : status.leader;
    }

    /// Processes the polls that were received while no leader was known. Redirects them to the
    /// leader as soon as it is known, and fails those whose wait has ended.
    void processPollsWithoutLeader(absl::Time now)
    {
        if (leads()) {
            for (Poll &poll : std::exchange(pollsWithoutLeader, {}))
                addPoll(std::move(poll), now);
            return;
        }
        const std::string leader = otherLeader();
        for (auto poll = pollsWithoutLeader.begin(); poll != pollsWithoutLeader.end();) {
            if (leader.empty() && now < poll->deadline) {
                ++poll;
                continue;
            }
            poll->reply(notRun(ErrorCode::NotLeader, leader));
            poll = pollsWithoutLeader.erase(poll);
        }
    }

    /// Whether this replica leads and has read the records that earlier leaders committed.
    bool leads() const { return isReady && replica.isLeader(); }

    void respondToPolls(absl::Time now)
    {
        if (isPaused)
            return;
        int responses = 0;
        for (auto poll = polls.begin(); poll != polls.end();) {
            const bool mustRespond =
                    poll->deadline <= now || !view.isCurrent(poll->request)
                    || !view.hasCurrentPrompts(poll->request)
                    || poll->request.configurationVersion < view.records().configurationVersion;
            if (!mustRespond) {
                ++poll;
                continue;
            }
            poll->reply(wire::encode(makeResponse(*poll, now)));
            poll = polls.erase(poll);
            if (++responses == maxResponsesInARow)
                return pauseResponses();
        }
    }

    wire::FleetSyncResponse makeResponse(const Poll &poll, absl::Time now) const
    {
        wire::FleetSyncResponse response = view.makeResponse(poll.request);
        response.leaderAddress = leaderAddress;
        response.heldMs = absl::ToInt64Milliseconds(now - poll.receivedAt);
        // Rounded up, so that the receiver does not consider the list newer than it is.
        if (view.upstreamsReadAt() != absl::InfinitePast())
            response.upstreamsAgeMs = absl::ToInt64Milliseconds(
                    absl::Ceil(now - view.upstreamsReadAt(), absl::Milliseconds(1)));
        return response;
    }

    /// Ends the polls of this process as the leader. Members that accept a relay stay with it: the
    /// next leader would otherwise receive the polls of all members at once.
    void releasePolls()
    {
        const absl::Time now = clock.now();
        for (Poll &poll : std::exchange(polls, {})) {
            if (client != nullptr && poll.request.acceptsRelay)
                addRelayedPoll(std::move(poll), now);
            else
                poll.reply(notRun(ErrorCode::NotLeader, otherLeader()));
        }
    }

    void handleLeadershipChange(bool leadsNow)
    {
        isReady = false;
        listReader.stop();
        releasePolls();
        if (!leadsNow)
            return;
        const replication::RaftNodeStatus status = replica.status();
        leaderAddress = peerAddressOf(status.leader);
        view.beginTerm(status.term, clock.now());
        view.setDrainingMarks(knownDraining());
        listReader.start();
        readRecords();
    }

    /// Returns the upstreams that this process knows as draining, from earlier terms and as a
    /// member.
    std::set<std::string> knownDraining()
    {
        std::set<std::string> result = drainingMarks.take(clock.now());
        if (memberListSource)
            result.merge(drainingIds(memberListSource()));
        return result;
    }

    void readRecords()
    {
        const std::uint64_t term = view.term();
        const wire::FleetQuery query{isReady ? view.records().configurationVersion : 0};
        replica.readOnLeader(wire::encode(query), [self = shared_from_this(),
                                                   term](const Outcome<std::string> &outcome) {
            self->handleRecords(term, outcome);
        });
    }

    void handleRecords(std::uint64_t term, const Outcome<std::string> &outcome)
    {
        if (term != view.term() || !replica.isLeader())
            return;
        const auto records = wire::decodeOutcome<wire::FleetSnapshot>(outcome);
        if (!records.ok()) {
            log(LogLevel::Warning, "fleet-records-unread",
                {{"code", rattanrill::name(records.failure().code)},
                 {"detail", records.failure().detail},
                 {"term", term}});
            loop.timers().subscribeOnce(checkPeriod,
                                        [self = shared_from_this()] { self->readRecords(); });
            return;
        }
        view.setRecords(records.value());
        if (!isReady) {
            prompts->beginTerm();
            retirements->beginTerm();
        }
        isReady = true;
        processPollsWithoutLeader(clock.now());
        processRelayedPolls(clock.now());
        respondToPolls(clock.now());
    }

    /// Determines up to which time all messages that arrived have been read.
    void checkReads()
    {
        if (!awaitReads || std::exchange(isAwaitingReads, true))
            return;
        awaitReads([self = shared_from_this(), startedAt = clock.now()] {
            self->loop.post([self, startedAt] {
                self->isAwaitingReads = false;
                self->readUpTo = startedAt;
            });
        });
    }

    void checkPollsAndMembers()
    {
        checkReads();
        processPollsWithoutLeader(clock.now());
        processRelayedPolls(clock.now());
        if (!leads()) {
            if (!polls.empty())
                releasePolls();
            return;
        }
        const absl::Time now = clock.now();
        view.expire(awaitReads ? readUpTo : now);
        prompts->update();
        retirements->update();
        bootstrapStoreGroup(now);
        respondToPolls(now);
    }

    void bootstrapStoreGroup(absl::Time now)
    {
        const std::vector<std::string> initialVoters = view.initialStoreVoters(now);
        if (initialVoters.empty() || isBootstrapping)
            return;
        isBootstrapping = true;
        log(LogLevel::Info, "store-group-founded",
            {{"voters", static_cast<std::int64_t>(initialVoters.size())},
             {"first", initialVoters.front()}});
        const wire::FleetCommand command{wire::BootstrapStoreGroup{initialVoters}};
        replica.propose(wire::encode(command),
                        [self = shared_from_this()](const Outcome<std::string> &outcome) {
                            self->isBootstrapping = false;
                            if (!outcome.ok())
                                log(LogLevel::Warning, "store-group-founding-failed",
                                    {{"code", rattanrill::name(outcome.failure().code)},
                                     {"detail", outcome.failure().detail}});
                        });
    }

    UpstreamListHandlers listHandlers()
    {
        UpstreamListHandlers handlers;
        handlers.onPage = [this](const UpstreamPage &page, absl::Time readAt) {
            handlePage(page, readAt);
        };
        handlers.onComplete = [this](std::vector<wire::FleetUpstream> upstreams,
                                     absl::Time readAt) {
            handleUpstreams(std::move(upstreams), readAt);
        };
        handlers.onFailed = [this](const Failure &failure, absl::Time readAt) {
            handleReadFailure(failure, readAt);
        };
        handlers.onPageAfterStop = [this](const UpstreamPage &page, absl::Time readAt) {
            dropPage(page, readAt);
        };
        return handlers;
    }

    static std::string_view name(ReadDropReason reason)
    {
        static constexpr std::array<EnumName<ReadDropReason>, 3> names = {{
                {ReadDropReason::PageFailed, "page_failed"},
                {ReadDropReason::LeadershipLost, "leadership_lost"},
                {ReadDropReason::TermChanged, "term_changed"},
        }};
        return nameOf(names, reason);
    }

    /// The reader limits the rate of these lines.
    void logDroppedRead(ReadDropReason reason, absl::Time readAt, const Failure &failure) const
    {
        log(LogLevel::Info, "upstream-list-read-dropped",
            {{"reason", name(reason)},
             {"term", view.term()},
             {"ageMs", absl::ToInt64Milliseconds(clock.now() - readAt)},
             {"code", reason == ReadDropReason::PageFailed ? rattanrill::name(failure.code) : "ok"},
             {"detail", failure.detail}});
    }

    /// Applies a page at once, because the other pages of the read may fail or take long.
    void handlePage(const UpstreamPage &page, absl::Time readAt)
    {
        if (!replica.isLeader())
            return dropPage(page, readAt);
        const std::uint64_t previousSequence = view.sequence();
        view.applyPage(page.upstreams);
        logChange(previousSequence, readAt);
        if (leads())
            respondToPolls(clock.now());
    }

    /// Uses what a page shows that arrived after the term of its read. A list that was read in the
    /// current term is newer.
    void dropPage(const UpstreamPage &page, absl::Time readAt)
    {
        logDroppedRead(replica.isLeader() ? ReadDropReason::TermChanged
                                          : ReadDropReason::LeadershipLost,
                       readAt, Failure());
        if (!replica.isLeader())
            drainingMarks.record(drainingIds(page.upstreams), clock.now());
        else if (view.upstreamsReadAt() == absl::InfinitePast())
            view.applyPage(page.upstreams);
    }

    void handleUpstreams(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt)
    {
        if (!replica.isLeader())
            return logDroppedRead(ReadDropReason::LeadershipLost, readAt, Failure());
        setUpstreamsReadable(true, Failure());
        const std::uint64_t previousSequence = view.sequence();
        view.setUpstreams(std::move(upstreams), readAt);
        logChange(previousSequence, readAt);
        if (leads())
            respondToPolls(clock.now());
    }

    void handleReadFailure(const Failure &failure, absl::Time readAt)
    {
        logDroppedRead(ReadDropReason::PageFailed, readAt, failure);
        setUpstreamsReadable(false, failure);
    }

    void setUpstreamsReadable(bool isReadable, const Failure &failure)
    {
        if (isReadable == upstreamsReadable)
            return;
        upstreamsReadable = isReadable;
        log(isReadable ? LogLevel::Info : LogLevel::Warning,
            isReadable ? "upstream-list-regained" : "upstream-list-lost",
            {{"code", isReadable ? "ok" : rattanrill::name(failure.code)},
             {"detail", failure.detail}});
    }

    void logChange(std::uint64_t previousSequence, absl::Time readAt) const
    {
        if (view.sequence() == previousSequence)
            return;
        log(LogLevel::Info, "upstream-list-changed",
            {{"upstreams", static_cast<std::int64_t>(view.upstreams().size())},
             {"draining", static_cast<std::int64_t>(drainingIds(view.upstreams()).size())},
             {"term", view.term()},
             {"sequence", view.sequence()},
             {"ageMs", absl::ToInt64Milliseconds(clock.now() - readAt)}});
    }

    net::EventLoop &loop;
    GroupReplica &replica;
    const Clock &clock;
    FleetView view;
    FleetRelay relay;
    /// Membership of this process, whose copy of the view it relays; null if it relays nothing.
    FleetClient *client = nullptr;
    std::list<Poll> relayedPolls;
    bool wasInTouch = false;
    bool isRelayReportPending = false;
    /// Whether polls wait for the end of a pause.
    bool isPaused = false;
    /// Peer address of this process, set while it leads.
    std::string leaderAddress;
    /// Calls its argument when the network thread has read all messages that had arrived.
    std::function<void(std::function<void()>)> awaitReads;
    bool isAwaitingReads = false;
    absl::Time readUpTo = absl::InfinitePast();
    const std::shared_ptr<CrashQuarantine> prompts;
    const std::shared_ptr<RetirementRecorder> retirements;
    std::list<Poll> polls;
    /// Polls that were received while no leader was known.
    std::list<Poll> pollsWithoutLeader;
    std::vector<TimerService::TimerId> timers;
    /// Whether the records have been read in the current term.
    bool isReady = false;
    bool isBootstrapping = false;
    bool upstreamsReadable = true;
    std::function<std::vector<wire::FleetUpstream>()> memberListSource;
    /// Upstreams shown as draining by pages that arrived after this replica lost its leadership.
    DrainingMarks drainingMarks;
    UpstreamListReader listReader;
};

FleetService::FleetService(net::EventLoop &loop, GroupReplica &replica,
                           UpstreamDiscovery &discovery, FleetServiceSettings settings,
                           const Clock &clock)
    : m_impl(std::make_shared<Impl>(loop, replica, discovery, settings, clock))
{}

FleetService::~FleetService()
{
    stop();
}

void FleetService::install(peer::Server &server)
{
    m_impl->awaitReads = [&server](std::function<void()> done) {
        server.afterPendingReads(std::move(done));
    };
    server.setHandler(wire::Method::SyncFleet,
                      [impl = m_impl](const peer::PeerIdentity &, std::string body,
                                      peer::ResponseCallback reply) {
                          impl->loop.post([impl, body = std::move(body), reply = std::move(reply)] {
                              impl->handleSync(body, reply);
                          });
                      });
    server.setHandler(wire::Method::ReportPromptEvidence,
                      [impl = m_impl](const peer::PeerIdentity &, std::string body,
                                      peer::ResponseCallback reply) {
                          impl->loop.post([impl, body = std::move(body), reply = std::move(reply)] {
                              impl->handleCrashEvidence(body, reply);
                          });
                      });
}

void FleetService::setMemberListSource(std::function<std::vector<wire::FleetUpstream>()> source)
{
    m_impl->memberListSource = std::move(source);
}

void FleetService::relayFor(FleetClient &client)
{
    m_impl->client = &client;
    client.onChange([impl = m_impl](const FleetState &state) {
        impl->relay.update(state);
        impl->processRelayedPolls(impl->clock.now());
    });
    client.onUpstreamsConfirmed(
            [impl = m_impl](absl::Time readAt) { impl->relay.confirmUpstreams(readAt); });
    client.setStatusSource([impl = m_impl](wire::FleetSyncRequest &request) {
        request.relayed = impl->relay.members(impl->clock.now());
    });
}

void FleetService::start()
{
    m_impl->replica.onLeadershipChange(
            [impl = m_impl](bool leads) { impl->handleLeadershipChange(leads); });
    m_impl->replica.onApplied([impl = m_impl] {
        if (impl->leads())
            impl->readRecords();
    });
    auto &timers = m_impl->loop.timers();
    m_impl->timers.push_back(
            timers.subscribeEvery(checkPeriod, [impl = m_impl] { impl->checkPollsAndMembers(); }));
}

void FleetService::stop()
{
    for (const TimerService::TimerId timer : std::exchange(m_impl->timers, {}))
        m_impl->loop.timers().unsubscribe(timer);
    m_impl->listReader.stop();
    m_impl->client = nullptr;
    m_impl->releasePolls();
    for (const auto &polls :
         {std::exchange(m_impl->pollsWithoutLeader, {}), std::exchange(m_impl->relayedPolls, {})}) {
        for (const Impl::Poll &poll : polls)
            poll.reply(notRun(ErrorCode::NotLeader, ""));
    }
}

std::vector<VoterCandidate> FleetService::controlCandidates() const
{
    return m_impl->view.voterCandidates(wire::MemberRole::Control);
}

const FleetView &FleetService::view() const
{
    return m_impl->view;
}

} // namespace rattanrill::fleet
