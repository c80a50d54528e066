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
#include "shutdowndeadline.h"
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

#include <algorithm>
#include <atomic>
#include <thread>

namespace rattanrill::entry {
namespace {

constexpr std::size_t incarnationBytes = 8;
constexpr std::size_t callThreads = 16;
constexpr std::size_t callQueueLimit = 4096;
constexpr std::size_t attemptQueueLimit = 8192;
constexpr absl::Duration ownershipCheckInterval = absl::Milliseconds(50);
/// Part of Timings::drainLimit in which the responses to requests that are ended by the shutdown
/// are sent.
constexpr absl::Duration maxLastResponseTime = absl::Seconds(1);
constexpr double lastResponseShare = 0.25;

peer::TransportOptions transportOptions(const EntrySettings &settings)
{
    peer::TransportOptions options;
    options.self = {settings.instance, settings.failureDomain, "entry"};
    options.clusterSecret = settings.clusterSecret;
    return options;
}

directory::SubscriberOptions subscriberOptions(const EntrySettings &settings)
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

/// Members are declared in order of construction; each one uses only those before it.
struct Entry::Impl
{
    explicit Impl(EntrySettings entrySettings)
        : settings(std::move(entrySettings))
        , clock(SystemClock::instance())
        , incarnation(randomHex(incarnationBytes))
        , channels(transportOptions(settings))
        , peers(transportOptions(settings))
        , control(channels, settings.control, timers, clock)
        , pollClient(control)
        , subscriber(subscriberOptions(settings), pollClient, timers, clock)
        , engines(settings.timings.engineIdleTimeout, [this] { updateEngines(); })
        , services(settings.failureDomain, clock)
        , crashReporter(control, settings.scheduler.quarantine.blockTime,
                        settings.timings.controlTimeout, clock)
        , attemptPool(settings.http.maxConnections + settings.batch.maxRunning, attemptQueueLimit)
        , callPool(callThreads, callQueueLimit)
        , dispatcher(settings.scheduler, stableHash(settings.instance + incarnation),
                     {engines, crashReporter, timers, attemptPool, callPool, clock, metrics,
                      settings.timings.keyFreshness})
        , shares(subscriber, dispatcher)
        , partitions(control, settings.partitions, settings.timings.controlTimeout, clock)
        , batch({partitions, dispatcher, timers, clock, metrics, requestMetrics,
                 [this](const std::string &workspace) { shares.registerWorkspace(workspace); }},
                settings.batch, concat(settings.instance, ".", incarnation))
        , rateOwner(
                  {settings.instance, incarnation, settings.timings.ownerLease,
                   settings.timings.maxRateWait},
                  subscriber,
                  [this](const std::string &address, const wire::RateBucketTransfer &transfer) {
                      channels.channel(address)->sendOneWay(wire::Method::TransferRateBuckets,
                                                            wire::encode(transfer));
                  },
                  clock)
        , rateBroker(
                  {settings.instance, settings.timings.maxRateWait, settings.timings.grantTimeout},
                  subscriber, rateOwner, channels, clock)
        , keys(subscriber, settings.timings.keyFreshness, settings.timings.staleStreamLimit)
        , admission(keys, rateBroker)
        , claims(partitions, settings.timings.claimRetention)
        , shutdownDeadline(clock)
        , completions({admission, subscriber, dispatcher, shares, shutdownDeadline, clock,
                       requestMetrics},
                      settings.maxRequestBytes, settings.timings.requestTimeout)
        , files(admission, subscriber, partitions, settings.batch, clock)
        , batches({admission, subscriber, partitions, claims, clock}, settings.maxRequestBytes)
        , serviceHandler({admission, subscriber, services, claims, crashReporter, shutdownDeadline,
                          clock, metrics},
                         settings.maxRequestBytes, settings.timings.requestTimeout)
        , loads(engines, services, dispatcher, timers, settings.timings.loadPollInterval, clock)
        , heartbeat(control, subscriber, timers, settings.timings.heartbeatInterval)
        , routes({completions, files, batches, serviceHandler, admission, subscriber, metrics,
                  requestMetrics, shutdownDeadline, [this] { return unreadyReason(); },
                  [this] { refreshMetrics(); }})
        , server(settings.http)
    {
        routes.install(server);
        subscriber.onChange([this](const std::shared_ptr<const directory::DirectoryView> &view) {
            applyView(*view);
        });
        peers.setHandler(wire::Method::GrantRate,
                         [this](const peer::PeerIdentity &, const std::string &body,
                                const peer::ResponseCallback &reply) { reply(grant(body)); });
        peers.setHandler(
                wire::Method::TransferRateBuckets,
                [this](const peer::PeerIdentity &, const std::string &body,
                       const peer::ResponseCallback &reply) { reply(acceptTransfer(body)); });
    }

    void applyView(const directory::DirectoryView &view)
    {
        engines.update(view);
        services.update(view);
        std::vector<std::string> members = memberNames(view);
        // The scheduler requires this instance in the list, even before the directory lists it as a
        // member.
        if (!view.member(settings.instance))
            members.push_back(settings.instance);
        dispatcher.updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
            scheduler.setEngines(now, engines.infos());
            scheduler.setEntries(settings.instance, members);
        });
        shares.refresh(view);
        rateOwner.updateOwnership();
    }

    /// Reads the engines while the dispatcher is locked, so that concurrent updates do not pass the
    /// scheduler an earlier state after a later one.
    void updateEngines()
    {
        dispatcher.updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
            scheduler.setEngines(now, engines.infos());
        });
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

    Outcome<std::string> acceptTransfer(const std::string &body)
    {
        const auto transfer =
                outcomeOf([&] { return wire::decode<wire::RateBucketTransfer>(body); });
        if (!transfer.ok()) {
            log(LogLevel::Warning, "rates-unreadable",
                {{"code", name(transfer.failure().code)}, {"detail", transfer.failure().detail}});
            return transfer.failure();
        }
        rateOwner.accept(transfer.value());
        return std::string();
    }

    std::string unreadyReason() const
    {
        if (draining)
            return "this instance is stopping";
        if (subscriber.viewAge() > settings.timings.keyFreshness)
            return "the directory view is too old";
        return {};
    }

    void refreshMetrics()
    {
        metrics.set("rattanrill_view_age_seconds", {}, absl::ToDoubleSeconds(subscriber.viewAge()));
        metrics.set("rattanrill_view_revision", {},
                    static_cast<double>(subscriber.view()->revision()));
        for (const policy::TaskKind kind : {policy::TaskKind::Online, policy::TaskKind::Batch}) {
            const MetricLabels labels = {{"kind", std::string(name(kind))}};
            metrics.set("rattanrill_works_running", labels,
                        static_cast<double>(dispatcher.running(kind)));
            metrics.set("rattanrill_works_waiting", labels,
                        static_cast<double>(dispatcher.waiting(kind)));
        }
        metrics.set("rattanrill_batch_items_held", {}, static_cast<double>(batch.heldItems()));
        metrics.set("rattanrill_busy_connections", {},
                    static_cast<double>(server.busyConnections()));
    }

    void stopComponents()
    {
        if (ownershipTimer != 0)
            timers.unsubscribe(ownershipTimer);
        ownershipTimer = 0;
        heartbeat.stop();
        loads.stop();
        peers.stop();
        subscriber.stop();
        control.stop();
        channels.close();
        dispatcher.stop();
        callPool.stop();
        attemptPool.stop();
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
    directory::ControlPollClient pollClient;
    directory::DirectorySubscriber subscriber;
    EngineTable engines;
    ServiceTable services;
    DirectoryCrashReporter crashReporter;
    WorkerPool attemptPool;
    WorkerPool callPool;
    TaskDispatcher dispatcher;
    WorkspaceShares shares;
    ControlPartitions partitions;
    BatchDispatcher batch;
    RateOwner rateOwner;
    RateBroker rateBroker;
    KeyAuthenticator keys;
    Admission admission;
    Claims claims;
    ShutdownDeadline shutdownDeadline;
    CompletionHandler completions;
    FileHandler files;
    BatchHandler batches;
    ServiceHandler serviceHandler;
    LoadPoller loads;
    Heartbeat heartbeat;
    CallerRoutes routes;
    CallerServer server;
    TimerService::TimerId ownershipTimer = 0;
    std::atomic<bool> draining{false};
    bool stopped = false;
};

Entry::Entry(EntrySettings settings)
    : m_impl(new Impl(std::move(settings)))
{}

Entry::~Entry()
{
    if (m_impl->stopped)
        return;
    m_impl->server.closeAfterResponses();
    m_impl->server.closeListener();
    m_impl->server.finish(absl::ZeroDuration());
    m_impl->stopComponents();
}

Result<void> Entry::start()
{
    Impl &impl = *m_impl;
    BOOST_LEAF_CHECK(impl.peers.start(impl.settings.peerHost, impl.settings.peerPort));
    BOOST_LEAF_CHECK(impl.server.start(impl.settings.httpHost, impl.settings.httpPort));
    impl.subscriber.start();
    impl.heartbeat.start(
            memberOf(impl.settings, impl.incarnation, impl.peers.port(), impl.server.port()));
    impl.loads.start();
    impl.batch.start();
    impl.ownershipTimer = impl.timers.subscribeEvery(ownershipCheckInterval,
                                                     [&impl] { impl.rateOwner.updateOwnership(); });
    log(LogLevel::Info, "started",
        {{"incarnation", impl.incarnation}, {"port", impl.server.port()}});
    return {};
}

int Entry::httpPort() const
{
    return m_impl->server.port();
}

bool Entry::drain()
{
    Impl &impl = *m_impl;
    const Timings &timings = impl.settings.timings;
    log(LogLevel::Info, "drain-started");
    const absl::Duration lastResponseTime =
            std::min(timings.drainLimit * lastResponseShare, maxLastResponseTime);
    const absl::Time requestsEnd =
            impl.clock.now() + timings.drainNotice + timings.drainLimit - lastResponseTime;
    impl.shutdownDeadline.set(requestsEnd);
    impl.draining = true;
    impl.heartbeat.leave();
    impl.server.closeAfterResponses();
    // Runs beside the notice, because it waits for the control instances, which may not respond.
    std::thread batchDrain([&impl] { impl.batch.drain(); });
    absl::Notification().WaitForNotificationWithTimeout(timings.drainNotice);
    impl.server.closeListener();
    const bool finished = impl.server.awaitRequests(requestsEnd - impl.clock.now());
    if (!finished)
        impl.serviceHandler.abortCalls();
    impl.server.finish(lastResponseTime);
    batchDrain.join();
    impl.stopComponents();
    impl.stopped = true;
    log(LogLevel::Info, "drain-finished", {{"cutOff", !finished}});
    return finished;
}

} // namespace rattanrill::entry
