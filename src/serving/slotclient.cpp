#include "rattanrill/serving/slotclient.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rattanrill::serving {

struct SlotClient::Impl : std::enable_shared_from_this<SlotClient::Impl>
{
    Impl(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
         SlotClientSettings settings)
        : loop(loop)
        , channels(channels)
        , clock(clock)
        , settings(settings)
        , localBroker(loop.timers(), clock, settings.localBroker)
    {}

    void acquire(const wire::SlotRequest &request, ResponseCallback answer)
    {
        if (broker.empty() || clock.now() < avoidUntil)
            return acquireFromOwn(request, std::move(answer));
        channels.channel(broker)->call(
                wire::Method::RequestSlot, wire::encode(request),
                settings.localBroker.maxResponseDelay + settings.roundTripAllowance,
                [self = shared_from_this(), address = broker, request,
                 answer = std::move(answer)](Outcome<std::string> outcome) {
                    self->loop.post([self, address, request, answer, outcome = std::move(outcome)] {
                        self->answered(address, request, answer, outcome);
                    });
                });
    }

    void answered(const std::string &address, const wire::SlotRequest &request,
                  const ResponseCallback &answer, const Outcome<std::string> &outcome)
    {
        if (stopped)
            return;
        auto response = outcome.ok() ? outcomeOf(
                                [&] { return wire::decode<wire::SlotResponse>(outcome.value()); })
                                     : Outcome<wire::SlotResponse>(outcome.failure());
        if (response.ok()) {
            noteBroker(address, true, Failure());
            if (response.value().verdict == wire::SlotOutcome::Waiting)
                return acquire(askingAgain(request), answer);
            noteHeld(request, response.value());
            return answer(response.value(), false);
        }
        noteBroker(address, false, response.failure());
        // The broker may have granted a place whose answer was lost.
        channels.channel(address)->sendOneWay(
                wire::Method::ReleaseSlot,
                wire::encode(wire::SlotRelease{request.instance, request.requestId, "", ""}));
        acquireFromOwn(request, answer);
    }

    void noteBroker(const std::string &address, bool isReachable, const Failure &failure)
    {
        if (!isReachable)
            avoidUntil = clock.now() + settings.brokerRetryDelay;
        if (isReachable == reachable)
            return;
        reachable = isReachable;
        if (isReachable)
            announceHeld();
        log(isReachable ? LogLevel::Info : LogLevel::Warning,
            isReachable ? "place-broker-regained" : "place-broker-lost",
            {{"peerAddress", address},
             {"code", isReachable ? "ok" : name(failure.code)},
             {"detail", failure.detail}});
    }

    static wire::SlotRequest askingAgain(wire::SlotRequest request)
    {
        request.again = true;
        return request;
    }

    void acquireFromOwn(const wire::SlotRequest &request, ResponseCallback answer)
    {
        ownRequests.insert(request.requestId);
        localBroker.acquire(
                request, [self = shared_from_this(), request,
                          answer = std::move(answer)](const wire::SlotResponse &response) {
                    const bool isReleased = self->ownRequests.count(request.requestId) == 0;
                    if (response.verdict == wire::SlotOutcome::Waiting && !isReleased)
                        return self->acquireFromOwn(askingAgain(request), answer);
                    if (response.verdict != wire::SlotOutcome::Granted)
                        self->ownRequests.erase(request.requestId);
                    self->noteHeld(request, response);
                    answer(response, true);
                });
    }

    void noteHeld(const wire::SlotRequest &request, const wire::SlotResponse &response)
    {
        if (response.verdict != wire::SlotOutcome::Granted)
            return;
        Held &slot = held[request.requestId];
        slot.slot = {request.requestId, request.service, request.workspace, response.upstream, 0};
        slot.deadline = clock.now() + absl::Milliseconds(request.deadlineMs);
        instance = request.instance;
    }

    /// A broker that has just begun, or that was out of reach, does not know all places.
    void announceHeld()
    {
        if (held.empty() || broker.empty())
            return;
        wire::HeldSlots message;
        message.instance = instance;
        for (const auto &[id, slot] : held) {
            message.places.push_back(slot.slot);
            message.places.back().deadlineMs =
                    absl::ToInt64Milliseconds(slot.deadline - clock.now());
        }
        channels.channel(broker)->sendOneWay(wire::Method::ReportHeldSlots, wire::encode(message));
    }

    void release(const wire::SlotRelease &release)
    {
        held.erase(release.requestId);
        // The broker may have adopted a place of the own share.
        if (ownRequests.erase(release.requestId) > 0)
            localBroker.release(release);
        if (!broker.empty())
            channels.channel(broker)->sendOneWay(wire::Method::ReleaseSlot, wire::encode(release));
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    const Clock &clock;
    const SlotClientSettings settings;
    SlotBroker localBroker;
    std::string broker;
    absl::Time avoidUntil = absl::InfinitePast();
    std::set<std::string> ownRequests;
    struct Held
    {
        wire::HeldSlot slot;
        absl::Time deadline;
    };
    /// By request; of the broker and of the own share.
    std::map<std::string, Held> held;
    std::string instance;
    bool reachable = true;
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
    if (m_impl->broker == address)
        return;
    m_impl->broker = address;
    m_impl->avoidUntil = absl::InfinitePast();
    log(LogLevel::Info, "place-broker-changed",
        {{"peerAddress", address}, {"heldPlaces", static_cast<std::int64_t>(m_impl->held.size())}});
    m_impl->announceHeld();
}

void SlotClient::setDeployment(std::shared_ptr<const DeploymentIndex> deployment)
{
    m_impl->localBroker.setDeployment(std::move(deployment));
}

void SlotClient::setUpstreams(const std::vector<wire::FleetUpstream> &upstreams,
                              std::size_t entries)
{
    const double sharers = static_cast<double>(std::max<std::size_t>(entries, 1));
    m_impl->localBroker.setUpstreams(
            upstreams, {1 / sharers, std::min(1.0, m_impl->settings.localSlotFactor / sharers)});
}

void SlotClient::acquire(const wire::SlotRequest &request, ResponseCallback answer)
{
    m_impl->acquire(request, std::move(answer));
}

void SlotClient::release(const wire::SlotRelease &release)
{
    m_impl->release(release);
}

void SlotClient::reportLoad(const wire::UpstreamLoad &load)
{
    m_impl->localBroker.updateLoad(load);
    if (!m_impl->broker.empty())
        m_impl->channels.channel(m_impl->broker)
                ->sendOneWay(wire::Method::Load, wire::encode(load));
}

void SlotClient::stop()
{
    m_impl->stopped = true;
}

} // namespace rattanrill::serving
