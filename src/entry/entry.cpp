#include "entry.h"

#include "batchdispatcher.h"
#include "callerroutes.h"
#include "callerserver.h"
#include "claims.h"
#include "crashreporter.h"
#include "heartbeat.h"
#include "loadpoller.h"
#include "ratebroker.h"
#include "rateowner.h"
#include "viewqueries.h"
#include "workspaceshares.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/directory/controlpollclient.h"
#include "rattanrill/directory/directorysubscriber.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"

#include <atomic>

namespace rattanrill::entry {
namespace {

constexpr std::size_t incarnationBytes = 8;
constexpr std::size_t callThreads = 16;
constexpr std::size_t callQueue = 4096;
constexpr std::size_t tryQueue = 8192;
constexpr absl::Duration observeInterval = absl::Milliseconds(50);

peer::TransportOptions transportOptions(const EntrySettings &settings)
{
    peer::TransportOptions options;
    options.self = {settings.instance, settings.failureDomain, "entry"};
    options.clusterSecret = settings.clusterSecret;
    return options;
}

directory::SubscriberOptions followerOptions(const EntrySettings &settings)
{
    directory::SubscriberOptions options;
    options.instance = settings.instance;
    return options;
}

wire::Member memberOf(const EntrySettings &settings, const std::string &incarnation, int peerPort,
                      int httpPort)
{
    wire::Member member;
    member.instance = settings.instance;
    member.failureDomain = settings.failureDomain;
    member.peerAddress = concat(settings.peerHost, ":", peerPort);
    member.httpAddress = concat(settings.httpHost, ":", httpPort);
    member.incarnation = incarnation;
    return member;
}

} // namespace

/// Members in order of construction; each uses only those before it.
struct Entry::Parts
{
    explicit Parts(EntrySettings given)
        : settings(std::move(given))
        , clock(SystemClock::instance())
        , incarnation(randomHex(incarnationBytes))
        , channels(transportOptions(settings))
        , peers(transportOptions(settings))
        , control(channels, settings.control, timers, clock)
        , pollSource(control)
        , follower(followerOptions(settings), pollSource, timers, clock)
        , engines(settings.timings.engineIdle)
        , services(settings.failureDomain, clock)
        , crashes(control, settings.scheduler.quarantine.blockTime, settings.timings.controlTimeout,
                  clock)
        , tries(settings.http.maxConnections + settings.batch.maxRunning, tryQueue)
        , calls(callThreads, callQueue)
        , dispatcher(settings.scheduler, stableHash(settings.instance + incarnation),
                     {engines, crashes, timers, tries, calls, clock, metrics,
                      settings.timings.keyFreshness})
        , shares(follower, dispatcher)
        , partitions(control, settings.partitions, settings.timings.controlTimeout, clock)
        , batch({partitions, dispatcher, timers, clock, metrics, requestMetrics,
                 [this](const std::string &workspace) { shares.note(workspace); }},
                settings.batch, concat(settings.instance, ".", incarnation))
        , rateOwner(
                  {settings.instance, incarnation, settings.timings.ownerLease,
                   settings.timings.rateWait},
                  follower,
                  [this](const std::string &address, const wire::RateBucketTransfer &handOver) {
                      channels.channel(address)->sendOneWay(wire::Method::TransferRateBuckets,
                                                            wire::encode(handOver));
                  },
                  clock)
        , rateBroker({settings.instance, settings.timings.rateWait, settings.timings.grantTimeout},
                     follower, rateOwner, channels, clock)
        , keys(follower, settings.timings.keyFreshness, settings.timings.staleStreamLimit)
        , admission(keys, rateBroker)
        , claims(partitions, settings.timings.claimKeep)
        , completions({admission, follower, dispatcher, shares, clock, requestMetrics},
                      settings.maxRequestBytes, settings.timings.requestTimeout)
        , files(admission, follower, partitions, settings.batch, clock)
        , batches({admission, follower, partitions, claims, clock}, settings.maxRequestBytes)
        , serviceHandler({admission, follower, services, claims, crashes, clock, metrics},
                         settings.maxRequestBytes, settings.timings.requestTimeout)
        , loads(engines, services, dispatcher, timers, settings.timings.loadPoll, clock)
        , heartbeat(control, follower, timers, settings.timings.heartbeat)
        , routes({completions, files, batches, serviceHandler, admission, follower, metrics,
                  requestMetrics, [this] { return notReady(); }, [this] { refreshMetrics(); }})
        , server(settings.http)
    {
        routes.install(server);
        follower.onChange([this](const std::shared_ptr<const directory::DirectoryView> &view) {
            adopt(*view);
        });
        peers.handle(wire::Method::Grant,
                     [this](const peer::PeerIdentity &, const std::string &body,
                            const peer::ResponseCallback &reply) { reply(grant(body)); });
        peers.handle(wire::Method::TransferRateBuckets,
                     [this](const peer::PeerIdentity &, const std::string &body,
                            const peer::ResponseCallback &reply) { reply(acceptRates(body)); });
    }

    void adopt(const directory::DirectoryView &view)
    {
        const std::vector<policy::EngineInfo> infos = engines.update(view);
        services.update(view);
        std::vector<std::string> members = memberNames(view);
        // The scheduler wants this instance in the list also before it is acknowledged.
        if (!view.member(settings.instance))
            members.push_back(settings.instance);
        dispatcher.inform([&](policy::Scheduler &scheduler, absl::Time now) {
            scheduler.setEngines(now, infos);
            scheduler.setEntries(settings.instance, members);
        });
        shares.refresh(view);
        rateOwner.observe();
    }

    Outcome<std::string> grant(const std::string &body)
    {
        const auto request = outcomeOf([&] { return wire::decode<wire::RateGrantRequest>(body); });
        if (!request.ok())
            return request.failure();
        const auto response = rateOwner.grant(request.value());
        if (!response.ok())
            return response.failure();
        return wire::encode(response.value());
    }

    Outcome<std::string> acceptRates(const std::string &body)
    {
        const auto handOver =
                outcomeOf([&] { return wire::decode<wire::RateBucketTransfer>(body); });
        if (!handOver.ok()) {
            log(LogLevel::Warning, "rates-unreadable",
                {{"code", name(handOver.failure().code)}, {"detail", handOver.failure().detail}});
            return handOver.failure();
        }
        rateOwner.accept(handOver.value());
        return std::string();
    }

    std::string notReady() const
    {
        if (draining)
            return "this instance is stopping";
        if (follower.age() > settings.timings.keyFreshness)
            return "the view of the directory is not fresh";
        return {};
    }

    void refreshMetrics()
    {
        metrics.set("rattanrill_view_age_seconds", {}, absl::ToDoubleSeconds(follower.age()));
        metrics.set("rattanrill_view_revision", {},
                    static_cast<double>(follower.view()->revision()));
        for (const policy::TaskKind kind : {policy::TaskKind::Online, policy::TaskKind::Batch}) {
            const MetricLabels labels = {{"kind", std::string(name(kind))}};
            metrics.set("rattanrill_works_running", labels,
                        static_cast<double>(dispatcher.running(kind)));
            metrics.set("rattanrill_works_waiting", labels,
                        static_cast<double>(dispatcher.waiting(kind)));
        }
        metrics.set("rattanrill_batch_items_held", {}, static_cast<double>(batch.held()));
        metrics.set("rattanrill_busy_connections", {},
                    static_cast<double>(server.busyConnections()));
    }

    void stopParts()
    {
        if (observeTimer != 0)
            timers.unsubscribe(observeTimer);
        observeTimer = 0;
        heartbeat.stop();
        loads.stop();
        peers.stop();
        follower.stop();
        control.stop();
        channels.close();
        dispatcher.stop();
        calls.stop();
        tries.stop();
        timers.stop();
    }

    EntrySettings settings;
    const Clock &clock;
    std::string incarnation;
    Metrics metrics;
    RequestMetrics requestMetrics{metrics};
    ThreadTimerService timers;
    peer::ChannelPool channels;
    peer::Server peers;
    controlclient::ControlClient control;
    directory::ControlPollClient pollSource;
    directory::DirectorySubscriber follower;
    EngineTable engines;
    ServiceTable services;
    DirectoryCrashReporter crashes;
    WorkerPool tries;
    WorkerPool calls;
    WorkDispatcher dispatcher;
    WorkspaceShares shares;
    ControlPartitions partitions;
    BatchDispatcher batch;
    RateOwner rateOwner;
    RateBroker rateBroker;
    KeyAuthenticator keys;
    Admission admission;
    Claims claims;
    CompletionHandler completions;
    FileHandler files;
    BatchHandler batches;
    ServiceHandler serviceHandler;
    LoadPoller loads;
    Heartbeat heartbeat;
    CallerRoutes routes;
    CallerServer server;
    TimerService::TimerId observeTimer = 0;
    std::atomic<bool> draining{false};
    bool stopped = false;
};

Entry::Entry(EntrySettings settings)
    : m_parts(new Parts(std::move(settings)))
{}

Entry::~Entry()
{
    if (m_parts->stopped)
        return;
    m_parts->server.announceEnd();
    m_parts->server.closeListener();
    m_parts->server.finish(absl::ZeroDuration());
    m_parts->stopParts();
}

Result<void> Entry::start()
{
    Parts &parts = *m_parts;
    BOOST_LEAF_CHECK(parts.peers.start(parts.settings.peerHost, parts.settings.peerPort));
    BOOST_LEAF_CHECK(parts.server.start(parts.settings.httpHost, parts.settings.httpPort));
    parts.follower.start();
    parts.heartbeat.start(
            memberOf(parts.settings, parts.incarnation, parts.peers.port(), parts.server.port()));
    parts.loads.start();
    parts.batch.start();
    parts.observeTimer =
            parts.timers.subscribeEvery(observeInterval, [&parts] { parts.rateOwner.observe(); });
    log(LogLevel::Info, "started",
        {{"incarnation", parts.incarnation}, {"port", parts.server.port()}});
    return {};
}

int Entry::httpPort() const
{
    return m_parts->server.port();
}

bool Entry::drain()
{
    Parts &parts = *m_parts;
    const Timings &timings = parts.settings.timings;
    log(LogLevel::Info, "drain-started");
    parts.draining = true;
    parts.heartbeat.leave();
    parts.server.announceEnd();
    parts.batch.drain();
    absl::Notification().WaitForNotificationWithTimeout(timings.drainNotice);
    parts.server.closeListener();
    const bool finished = parts.server.finish(timings.drainLimit);
    parts.stopParts();
    parts.stopped = true;
    log(LogLevel::Info, "drain-finished", {{"cutOff", !finished}});
    return finished;
}

} // namespace rattanrill::entry
