#include "rattanrill/serving/slotclient.h"

#include "rateshares.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rattanrill::serving {
namespace {

/// The local shares of all entries add up, so none of them may accumulate more than its part of a
/// limit. None of them knows what the others grant.
SlotBrokerSettings localBrokerSettings(SlotBrokerSettings settings)
{
    settings.scheduler.sharesUpstreams = true;
    settings.scheduler.requestLimit.burstRequests = 0;
    return settings;
}

/// Period in which the decisions of the local share are logged.
constexpr absl::Duration localDecisionsPeriod = absl::Seconds(1);

} // namespace

struct SlotClient::Impl : std::enable_shared_from_this<SlotClient::Impl>
{
    /// Numbers of decisions that were made without the broker.
    struct LocalDecisions
    {
        /// Decisions of the local share.
        std::map<wire::SlotOutcome, std::int64_t> byOutcome;
        /// Requests that were rejected because there was no local share.
        std::int64_t withoutShare = 0;
    };

    Impl(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
         SlotClientSettings settings)
        : loop(loop)
        , channels(channels)
        , clock(clock)
        , settings(settings)
        , localBroker(loop.timers(), clock, localBrokerSettings(settings.localBroker))
    {}

    void acquire(const wire::SlotRequest &request, ResponseCallback callback)
    {
        instance = request.instance;
        if (brokerAddress.empty() || clock.now() < brokerRetryAt)
            return acquireLocally(request, std::move(callback));
        channels.channel(brokerAddress)
                ->call(wire::Method::RequestSlot, wire::encode(request),
                       settings.localBroker.maxResponseDelay + settings.roundTripAllowance,
                       [self = shared_from_this(), address = brokerAddress, request,
                        callback = std::move(callback)](Outcome<std::string> outcome) {
                           self->loop.post([self, address, request, callback,
                                            outcome = std::move(outcome)] {
                               self->responseReceived(address, request, callback, outcome);
                           });
                       });
    }

    void responseReceived(const std::string &address, const wire::SlotRequest &request,
                          const ResponseCallback &callback, const Outcome<std::string> &outcome)
    {
        if (stopped)
            return;
        auto response = wire::decodeOutcome<wire::SlotResponse>(outcome);
        if (response.ok()) {
            updateBrokerStatus(address, true, Failure());
            if (response.value().verdict == wire::SlotOutcome::Waiting)
                return acquire(repeatOf(request), callback);
            rateShares.recordLevel(request.workspace, response.value().rateLevel);
            recordHeldSlot(request, response.value(), address);
            return callback(response.value(), false);
        }
        updateBrokerStatus(address, false, response.failure());
        // The broker may have granted a slot although its response did not arrive.
        channels.channel(address)->sendOneWay(
                wire::Method::ReleaseSlot,
                wire::encode(wire::SlotRelease{request.instance, request.requestId, "", ""}));
        acquireLocally(request, callback);
    }

    void updateBrokerStatus(const std::string &address, bool isReachable, const Failure &failure)
    {
        if (!isReachable)
            brokerRetryAt = clock.now() + settings.brokerRetryDelay;
        if (isReachable == brokerReachable)
            return;
        brokerReachable = isReachable;
        if (isReachable)
            reportHeldSlots();
        else
            localBroker.clearAccumulatedRequests();
        log(isReachable ? LogLevel::Info : LogLevel::Warning,
            isReachable ? "place-broker-regained" : "place-broker-lost",
            {{"peerAddress", address},
             {"code", isReachable ? "ok" : name(failure.code)},
             {"detail", failure.detail}});
    }

    /// Returns the request to send again after the outcome Waiting.
    static wire::SlotRequest repeatOf(wire::SlotRequest request)
    {
        request.again = true;
        return request;
    }

    void acquireLocally(const wire::SlotRequest &request, ResponseCallback callback)
    {
        if (!hasLocalShare) {
            scheduleLocalDecisionsLog();
            ++localDecisions.withoutShare;
            return callback(refusalWithoutShare(), true);
        }
        rateShares.take();
        localRequests.insert(request.requestId);
        localBroker.acquire(
                request, [self = shared_from_this(), request,
                          callback = std::move(callback)](const wire::SlotResponse &response) {
                    const bool isReleased = self->localRequests.count(request.requestId) == 0;
                    if (response.verdict == wire::SlotOutcome::Waiting && !isReleased)
                        return self->acquireLocally(repeatOf(request), callback);
                    if (!isReleased) {
                        self->scheduleLocalDecisionsLog();
                        ++self->localDecisions.byOutcome[response.verdict];
                    }
                    const bool isGranted = response.verdict == wire::SlotOutcome::Granted;
                    if (!isGranted)
                        self->localRequests.erase(request.requestId);
                    if (isGranted && request.chargesRate)
                        self->rateShares.recordGrant(request.workspace);
                    self->recordHeldSlot(request, response, "");
                    callback(response, true);
                });
    }

    /// Must be called before a decision is counted in localDecisions.
    void scheduleLocalDecisionsLog()
    {
        if (localDecisions.withoutShare > 0 || !localDecisions.byOutcome.empty())
            return;
        loop.timers().subscribeOnce(localDecisionsPeriod, [weak = weak_from_this()] {
            const std::shared_ptr<Impl> self = weak.lock();
            if (self && !self->stopped)
                self->logLocalDecisions();
        });
    }

    void logLocalDecisions()
    {
        LocalDecisions decisions = std::exchange(localDecisions, LocalDecisions());
        const std::int64_t granted = decisions.byOutcome[wire::SlotOutcome::Granted];
        const std::int64_t overRate = decisions.byOutcome[wire::SlotOutcome::OverRate];
        const std::int64_t noSlot = decisions.byOutcome[wire::SlotOutcome::NoSlot];
        const std::int64_t versionRefused = decisions.byOutcome[wire::SlotOutcome::VersionUnknown]
                                            + decisions.byOutcome[wire::SlotOutcome::VersionGone];
        log(LogLevel::Info, "local-share-used",
            {{"granted", granted},
             {"overRate", overRate},
             {"noSlot", noSlot},
             {"versionRefused", versionRefused},
             {"withoutShare", decisions.withoutShare}});
    }

    wire::SlotResponse refusalWithoutShare() const
    {
        wire::SlotResponse response;
        response.verdict = wire::SlotOutcome::NoSlot;
        response.retryAfterMs = absl::ToInt64Milliseconds(settings.brokerRetryDelay);
        return response;
    }

    /// \a broker: address of the broker that granted the slot; empty for the local share.
    void recordHeldSlot(const wire::SlotRequest &request, const wire::SlotResponse &response,
                        const std::string &broker)
    {
        if (response.verdict != wire::SlotOutcome::Granted)
            return;
        GrantedSlot &granted = heldSlots[request.requestId];
        granted.slot = {request.requestId, request.service, request.workspace, response.upstream,
                        0};
        granted.deadline = clock.now() + absl::Milliseconds(request.deadlineMs);
        granted.broker = broker;
        if (!request.stream.empty())
            localBroker.recordStream(request.stream, {request.service, response.version});
    }

    /// Reports the held slots and the shares of the rate buckets to the broker, which may have no
    /// record of them when it has just started or was unreachable. Repeats the report until the
    /// broker has received it.
    void reportHeldSlots()
    {
        if (brokerAddress.empty())
            return;
        std::vector<wire::RateCharge> charges = rateShares.giveBack();
        const auto streams = localBroker.streamsSince(streamsReportedAt);
        if (heldSlots.empty() && charges.empty() && streams.empty())
            return;
        wire::HeldSlots message = makeHeldSlots();
        message.charges = charges;
        for (const policy::StreamRecord &record : streams)
            message.streams.push_back({record.stream, record.origin.service, record.origin.version,
                                       absl::ToInt64Milliseconds(clock.now() - record.recordedAt)});
        const std::string report = wire::encode(message);
        const absl::Time reportedAt = clock.now();
        const absl::Time formerReportAt = std::exchange(streamsReportedAt, reportedAt);
        channels.channel(brokerAddress)
                ->call(wire::Method::ReportHeldSlots, report, settings.reportTimeout,
                       [self = shared_from_this(), address = brokerAddress,
                        charges = std::move(charges), reportedAt,
                        formerReportAt](const Outcome<std::string> &outcome) {
                           if (!outcome.ok())
                               self->loop.post(
                                       [self, address, charges, reportedAt, formerReportAt] {
                                           self->handleReportLost(address, charges, reportedAt,
                                                                  formerReportAt);
                                       });
                       });
    }

    wire::HeldSlots makeHeldSlots() const
    {
        wire::HeldSlots message;
        message.instance = instance;
        for (const auto &[id, granted] : heldSlots) {
            message.places.push_back(granted.slot);
            message.places.back().deadlineMs =
                    absl::ToInt64Milliseconds(granted.deadline - clock.now());
        }
        return message;
    }

    void handleReportLost(const std::string &address, const std::vector<wire::RateCharge> &charges,
                          absl::Time reportedAt, absl::Time streamsSince)
    {
        if (stopped || address != lastBrokerAddress)
            return;
        streamsReportedAt = std::min(streamsReportedAt, streamsSince);
        rateShares.keep(charges, reportedAt);
        log(LogLevel::Warning, "held-places-not-reported", {{"peerAddress", address}});
        loop.timers().subscribeOnce(settings.brokerRetryDelay, [self = shared_from_this()] {
            if (!self->stopped)
                self->reportHeldSlots();
        });
    }

    void sendLoad(const wire::UpstreamLoad &load)
    {
        if (!brokerAddress.empty())
            channels.channel(brokerAddress)
                    ->sendOneWay(wire::Method::ReportLoad, wire::encode(load));
    }

    void release(const wire::SlotRelease &release)
    {
        const auto held = heldSlots.extract(release.requestId);
        if (!release.stream.empty())
            localBroker.recordStream(release.stream, {release.service, release.version});
        // The broker may have adopted a slot that was granted from the local share.
        if (localRequests.erase(release.requestId) > 0)
            localBroker.release(release);
        const std::string message = wire::encode(release);
        if (!brokerAddress.empty())
            channels.channel(brokerAddress)->sendOneWay(wire::Method::ReleaseSlot, message);
        // The broker that granted the slot may grant slots on although this process takes another
        // one for the broker.
        const std::string granting = held ? held.mapped().broker : std::string();
        if (!granting.empty() && granting != brokerAddress)
            channels.channel(granting)->sendOneWay(wire::Method::ReleaseSlot, message);
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    const Clock &clock;
    const SlotClientSettings settings;
    SlotBroker localBroker;
    RateShares rateShares{clock, localBroker};
    std::string brokerAddress;
    /// Address of the broker that was known last, also while none is known.
    std::string lastBrokerAddress;
    absl::Time brokerRetryAt = absl::InfinitePast();
    /// False until the number of entries that share the upstreams is known.
    bool hasLocalShare = false;
    /// Ids of the requests that wait for a slot of the local share or hold one.
    std::set<std::string> localRequests;
    struct GrantedSlot
    {
        wire::HeldSlot slot;
        absl::Time deadline;
        /// Address of the broker that granted it; empty for the local share.
        std::string broker;
    };
    /// Slots granted by the broker and from the local share, by request id.
    std::map<std::string, GrantedSlot> heldSlots;
    /// Decisions that have not been logged.
    LocalDecisions localDecisions;
    /// The broker has the origins of the streams that were recorded before this time.
    absl::Time streamsReportedAt = absl::InfinitePast();
    std::string instance;
    bool brokerReachable = true;
    bool stopped = false;
};

SlotClient::SlotClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
                       SlotClientSettings settings)
    : m_impl(std::make_shared<Impl>(loop, channels, clock, settings))
{}

SlotClient::~SlotClient()
{
    stop();
}

void SlotClient::setBroker(const std::string &address)
{
    if (m_impl->brokerAddress == address)
        return;
    m_impl->brokerAddress = address;
    m_impl->brokerRetryAt = absl::InfinitePast();
    m_impl->streamsReportedAt = absl::InfinitePast();
    // Also a store that is the broker again may have begun with new buckets.
    if (!address.empty())
        m_impl->rateShares.take();
    if (!address.empty() && address != m_impl->lastBrokerAddress) {
        m_impl->lastBrokerAddress = address;
        m_impl->rateShares.handleNewBroker();
    }
    log(LogLevel::Info, "place-broker-changed",
        {{"peerAddress", address},
         {"heldPlaces", static_cast<std::int64_t>(m_impl->heldSlots.size())}});
    m_impl->reportHeldSlots();
}

void SlotClient::setDeployment(std::shared_ptr<const DeploymentIndex> deployment)
{
    m_impl->localBroker.setDeployment(std::move(deployment));
}

void SlotClient::setUpstreams(const std::vector<wire::FleetUpstream> &upstreams,
                              std::size_t entries, absl::Time readAt)
{
    m_impl->hasLocalShare = entries > 0;
    const double entryCount = static_cast<double>(std::max<std::size_t>(entries, 1));
    m_impl->localBroker.setUpstreams(
            upstreams,
            {1 / entryCount, std::min(1.0, m_impl->settings.localSlotFactor / entryCount),
             std::min(1.0, m_impl->settings.localLimitFactor / entryCount),
             // The broker grants the whole rate of cold upstreams to entries that reach it.
             0},
            readAt);
}

void SlotClient::setEvacuatedDomains(const std::vector<std::string> &failureDomains)
{
    m_impl->localBroker.setEvacuatedDomains(failureDomains);
}

void SlotClient::confirmUpstreams(absl::Time readAt)
{
    m_impl->localBroker.confirmUpstreams(readAt);
}

void SlotClient::acquire(const wire::SlotRequest &request, ResponseCallback callback)
{
    m_impl->acquire(request, std::move(callback));
}

std::optional<policy::StreamOrigin> SlotClient::streamOrigin(const std::string &stream) const
{
    return m_impl->localBroker.streamOrigin(stream);
}

void SlotClient::release(const wire::SlotRelease &release)
{
    m_impl->release(release);
}

void SlotClient::reportLoad(const wire::UpstreamLoad &load)
{
    const bool hadLimit = m_impl->localBroker.hasRequestLimit(load.upstream);
    m_impl->localBroker.reportLoad(load);
    const bool isInformative = load.requests >= 0 || load.requestLimit > 0 || hadLimit
                               || load.leaving || load.coldRemainingMs > 0;
    if (isInformative)
        m_impl->sendLoad(load);
}

bool SlotClient::isLeaving(const std::string &id, const std::string &address) const
{
    return m_impl->localBroker.isLeaving(id, address);
}

void SlotClient::repeatLeaving(const std::string &upstream, const std::string &address)
{
    const absl::Time announcedAt = m_impl->localBroker.announcedLeavingAt(upstream);
    // The broker knows from the list that an upstream drains.
    if (announcedAt == absl::InfinitePast())
        return;
    const absl::Duration age = m_impl->clock.now() - announcedAt;
    m_impl->sendLoad({upstream, -1, -1, true, absl::ToInt64Milliseconds(age), address});
}

void SlotClient::onUpstreamLeaving(std::function<void(const std::string &address)> listener)
{
    m_impl->localBroker.onUpstreamLeaving(std::move(listener));
}

void SlotClient::stop()
{
    m_impl->stopped = true;
}

} // namespace rattanrill::serving
