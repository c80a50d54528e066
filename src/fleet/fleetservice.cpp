#include "rattanrill/fleet/fleetservice.h"

#include "crashquarantine.h"
#include "drainingmarks.h"

#include "rattanrill/fleet/upstreamlist.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

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
        , prompts(std::make_shared<CrashQuarantine>(replica, view, clock))
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
            return reply(notRun(ErrorCode::NotLeader, otherLeader()));
        prompts->addEvidence(evidence.value());
        reply(std::string());
        respondToPolls(clock.now());
    }

    void addPoll(Poll poll, absl::Time now)
    {
        view.recordHeartbeat(poll.request, now);
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
        }
    }

    wire::FleetSyncResponse makeResponse(const Poll &poll, absl::Time now) const
    {
        wire::FleetSyncResponse response = view.makeResponse(poll.request);
        response.heldMs = absl::ToInt64Milliseconds(now - poll.receivedAt);
        // Rounded up, so that the receiver does not consider the list newer than it is.
        if (view.upstreamsReadAt() != absl::InfinitePast())
            response.upstreamsAgeMs = absl::ToInt64Milliseconds(
                    absl::Ceil(now - view.upstreamsReadAt(), absl::Milliseconds(1)));
        return response;
    }

    void failPolls()
    {
        const auto waiting = std::exchange(polls, {});
        for (const Poll &poll : waiting)
            poll.reply(notRun(ErrorCode::NotLeader, otherLeader()));
    }

    void handleLeadershipChange(bool leadsNow)
    {
        isReady = false;
        listReader.stop();
        failPolls();
        if (!leadsNow)
            return;
        view.beginTerm(replica.status().term, clock.now());
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
        const auto records = outcome.ok() ? outcomeOf([&] {
            return wire::decode<wire::FleetSnapshot>(outcome.value());
        })
                                          : Outcome<wire::FleetSnapshot>(outcome.failure());
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
        if (!isReady)
            prompts->beginTerm();
        isReady = true;
        processPollsWithoutLeader(clock.now());
        respondToPolls(clock.now());
    }

    void checkPollsAndMembers()
    {
        processPollsWithoutLeader(clock.now());
        if (!leads()) {
            if (!polls.empty())
                failPolls();
            return;
        }
        const absl::Time now = clock.now();
        view.expire(now);
        prompts->update();
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
    const std::shared_ptr<CrashQuarantine> prompts;
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
    m_impl->failPolls();
    for (const Impl::Poll &poll : std::exchange(m_impl->pollsWithoutLeader, {}))
        poll.reply(notRun(ErrorCode::NotLeader, ""));
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
