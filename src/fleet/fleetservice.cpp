#include "rattanrill/fleet/fleetservice.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <list>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// How often waiting polls and silent processes are looked at.
constexpr absl::Duration watchPeriod = absl::Milliseconds(50);
constexpr absl::Duration maxPollWait = absl::Seconds(2);

} // namespace

struct FleetService::Impl : std::enable_shared_from_this<FleetService::Impl>
{
    struct Poll
    {
        wire::FleetSyncRequest request;
        peer::ResponseCallback reply;
        absl::Time due;
    };

    Impl(net::EventLoop &loop, GroupReplica &replica, UpstreamDiscovery &list,
         FleetServiceSettings settings, const Clock &clock)
        : loop(loop)
        , replica(replica)
        , list(list)
        , settings(settings)
        , clock(clock)
        , view(settings.memberTimeout)
    {}

    void serve(const std::string &body, peer::ResponseCallback reply)
    {
        auto request = outcomeOf([&] { return wire::decode<wire::FleetSyncRequest>(body); });
        if (!request.ok())
            return reply(request.failure());
        const absl::Time now = clock.now();
        const absl::Duration wait = std::clamp(absl::Milliseconds(request.value().waitMs),
                                               absl::ZeroDuration(), maxPollWait);
        Poll poll{std::move(request.value()), std::move(reply), now + wait};
        if (leads())
            take(std::move(poll), now);
        else if (!otherLeader().empty())
            poll.reply(notRun(ErrorCode::NotLeader, otherLeader()));
        else
            early.push_back(std::move(poll));
    }

    void take(Poll poll, absl::Time now)
    {
        view.recordHeartbeat(poll.request, now);
        polls.push_back(std::move(poll));
        answerPolls(now);
    }

    /// Leader of the group if it is known and another replica.
    std::string otherLeader() const
    {
        const replication::RaftNodeStatus status = replica.status();
        return status.role == replication::Role::Leader ? std::string() : status.leader;
    }

    /// Polls that came before a leader was known: its name is answered as soon as there is one.
    void answerEarly(absl::Time now)
    {
        if (leads()) {
            for (Poll &poll : std::exchange(early, {}))
                take(std::move(poll), now);
            return;
        }
        const std::string leader = otherLeader();
        for (auto poll = early.begin(); poll != early.end();) {
            if (leader.empty() && now < poll->due) {
                ++poll;
                continue;
            }
            poll->reply(notRun(ErrorCode::NotLeader, leader));
            poll = early.erase(poll);
        }
    }

    /// Leads and has read what its predecessors committed.
    bool leads() const { return isReady && replica.isLeader(); }

    void answerPolls(absl::Time now)
    {
        for (auto poll = polls.begin(); poll != polls.end();) {
            const bool isDue =
                    poll->due <= now || !view.isCurrent(poll->request)
                    || poll->request.configurationVersion < view.records().configurationVersion;
            if (!isDue) {
                ++poll;
                continue;
            }
            poll->reply(wire::encode(view.makeResponse(poll->request)));
            poll = polls.erase(poll);
        }
    }

    void failPolls()
    {
        const auto waiting = std::exchange(polls, {});
        for (const Poll &poll : waiting)
            poll.reply(notRun(ErrorCode::NotLeader, otherLeader()));
    }

    void leadershipChanged(bool leadsNow)
    {
        isReady = false;
        failPolls();
        if (!leadsNow)
            return;
        view.beginTerm(replica.status().term, clock.now());
        readRecords();
    }

    void readRecords()
    {
        const std::uint64_t term = view.term();
        const wire::FleetQuery query{isReady ? view.records().configurationVersion : 0};
        replica.read(wire::encode(query),
                     [self = shared_from_this(), term](const Outcome<std::string> &outcome) {
                         self->recordsRead(term, outcome);
                     });
    }

    void recordsRead(std::uint64_t term, const Outcome<std::string> &outcome)
    {
        if (term != view.term() || !replica.isLeader())
            return;
        const auto records = outcome.ok() ? outcomeOf([&] {
            return wire::decode<wire::FleetSnapshot>(outcome.value());
        })
                                          : Outcome<wire::FleetSnapshot>(outcome.failure());
        if (!records.ok()) {
            log(LogLevel::Warning, "fleet-records-unread",
                {{"code", name(records.failure().code)},
                 {"detail", records.failure().detail},
                 {"term", term}});
            loop.timers().subscribeOnce(watchPeriod,
                                        [self = shared_from_this()] { self->readRecords(); });
            return;
        }
        view.setRecords(records.value());
        if (!isReady)
            readList();
        isReady = true;
        answerEarly(clock.now());
        answerPolls(clock.now());
    }

    void tick()
    {
        answerEarly(clock.now());
        if (!leads()) {
            if (!polls.empty())
                failPolls();
            return;
        }
        const absl::Time now = clock.now();
        view.expire(now);
        foundStores(now);
        answerPolls(now);
    }

    void foundStores(absl::Time now)
    {
        const std::vector<std::string> founders = view.storeFounders(now);
        if (founders.empty() || isFounding)
            return;
        isFounding = true;
        log(LogLevel::Info, "store-group-founded",
            {{"voters", static_cast<std::int64_t>(founders.size())}, {"first", founders.front()}});
        const wire::FleetCommand command{wire::BootstrapStoreGroup{founders}};
        replica.propose(wire::encode(command), [self = shared_from_this()](
                                                       const Outcome<std::string> &outcome) {
            self->isFounding = false;
            if (!outcome.ok())
                log(LogLevel::Warning, "store-group-founding-failed",
                    {{"code", name(outcome.failure().code)}, {"detail", outcome.failure().detail}});
        });
    }

    void readList()
    {
        if (isReadingList || !replica.isLeader())
            return;
        isReadingList = true;
        list.read([self = shared_from_this(), term = view.term()](auto outcome) {
            self->isReadingList = false;
            self->listRead(term, std::move(outcome));
        });
    }

    void listRead(std::uint64_t term, Outcome<std::vector<wire::FleetUpstream>> outcome)
    {
        if (term != view.term() || !leads())
            return;
        if (outcome.ok() != listReadable) {
            listReadable = outcome.ok();
            log(listReadable ? LogLevel::Info : LogLevel::Warning,
                listReadable ? "upstream-list-regained" : "upstream-list-lost",
                {{"code", outcome.ok() ? "ok" : name(outcome.failure().code)},
                 {"detail", outcome.ok() ? "" : outcome.failure().detail}});
        }
        if (!outcome.ok())
            return;
        const std::uint64_t before = view.sequence();
        const auto count = static_cast<std::int64_t>(outcome.value().size());
        view.setUpstreams(std::move(outcome.value()));
        if (view.sequence() != before)
            log(LogLevel::Info, "upstream-list-changed",
                {{"upstreams", count}, {"term", term}, {"sequence", view.sequence()}});
        answerPolls(clock.now());
    }

    net::EventLoop &loop;
    GroupReplica &replica;
    UpstreamDiscovery &list;
    const FleetServiceSettings settings;
    const Clock &clock;
    FleetView view;
    std::list<Poll> polls;
    std::list<Poll> early;
    std::vector<TimerService::TimerId> timers;
    bool isReady = false;
    bool isFounding = false;
    bool isReadingList = false;
    bool listReadable = true;
};

FleetService::FleetService(net::EventLoop &loop, GroupReplica &replica, UpstreamDiscovery &list,
                           FleetServiceSettings settings, const Clock &clock)
    : m_impl(std::make_shared<Impl>(loop, replica, list, settings, clock))
{}

FleetService::~FleetService()
{
    stop();
}

void FleetService::install(peer::Server &server)
{
    server.handle(wire::Method::Sync, [impl = m_impl](const peer::PeerIdentity &, std::string body,
                                                      peer::ResponseCallback reply) {
        impl->loop.post([impl, body = std::move(body), reply = std::move(reply)] {
            impl->serve(body, reply);
        });
    });
}

void FleetService::start()
{
    m_impl->replica.onLeadershipChange(
            [impl = m_impl](bool leads) { impl->leadershipChanged(leads); });
    m_impl->replica.onApplied([impl = m_impl] {
        if (impl->leads())
            impl->readRecords();
    });
    auto &timers = m_impl->loop.timers();
    m_impl->timers.push_back(timers.subscribeEvery(watchPeriod, [impl = m_impl] { impl->tick(); }));
    m_impl->timers.push_back(
            timers.subscribeEvery(m_impl->settings.discoveryPeriod, [impl = m_impl] {
                if (impl->leads())
                    impl->readList();
            }));
}

void FleetService::stop()
{
    for (const TimerService::TimerId timer : std::exchange(m_impl->timers, {}))
        m_impl->loop.timers().unsubscribe(timer);
    m_impl->failPolls();
    for (const Impl::Poll &poll : std::exchange(m_impl->early, {}))
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
