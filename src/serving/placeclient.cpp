#include "rattanrill/serving/placeclient.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rattanrill::serving {

struct PlaceClient::Impl : std::enable_shared_from_this<PlaceClient::Impl>
{
    Impl(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
         PlaceClientSettings settings)
        : loop(loop)
        , channels(channels)
        , clock(clock)
        , settings(settings)
        , own(loop.timers(), clock, settings.own)
    {}

    void place(const wire::PlaceRequest &request, Answer answer)
    {
        if (broker.empty() || clock.now() < avoidUntil)
            return placeFromOwn(request, std::move(answer));
        channels.channel(broker)->call(
                wire::Method::Place, wire::encode(request),
                settings.own.waitSlice + settings.answerSlack,
                [self = shared_from_this(), address = broker, request,
                 answer = std::move(answer)](Outcome<std::string> outcome) {
                    self->loop.post([self, address, request, answer, outcome = std::move(outcome)] {
                        self->answered(address, request, answer, outcome);
                    });
                });
    }

    void answered(const std::string &address, const wire::PlaceRequest &request,
                  const Answer &answer, const Outcome<std::string> &outcome)
    {
        if (stopped)
            return;
        auto response = outcome.ok() ? outcomeOf(
                                [&] { return wire::decode<wire::PlaceResponse>(outcome.value()); })
                                     : Outcome<wire::PlaceResponse>(outcome.failure());
        if (response.ok()) {
            noteBroker(address, true, Failure());
            if (response.value().verdict == wire::PlaceVerdict::Waiting)
                return place(askingAgain(request), answer);
            noteHeld(request, response.value());
            return answer(response.value(), false);
        }
        noteBroker(address, false, response.failure());
        // The broker may have granted a place whose answer was lost.
        channels.channel(address)->push(
                wire::Method::Release,
                wire::encode(wire::PlaceRelease{request.instance, request.requestId, "", ""}));
        placeFromOwn(request, answer);
    }

    void noteBroker(const std::string &address, bool isReachable, const Failure &failure)
    {
        if (!isReachable)
            avoidUntil = clock.now() + settings.avoidFor;
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

    static wire::PlaceRequest askingAgain(wire::PlaceRequest request)
    {
        request.again = true;
        return request;
    }

    void placeFromOwn(const wire::PlaceRequest &request, Answer answer)
    {
        ownRequests.insert(request.requestId);
        own.place(request, [self = shared_from_this(), request,
                            answer = std::move(answer)](const wire::PlaceResponse &response) {
            const bool isReleased = self->ownRequests.count(request.requestId) == 0;
            if (response.verdict == wire::PlaceVerdict::Waiting && !isReleased)
                return self->placeFromOwn(askingAgain(request), answer);
            if (response.verdict != wire::PlaceVerdict::Granted)
                self->ownRequests.erase(request.requestId);
            self->noteHeld(request, response);
            answer(response, true);
        });
    }

    void noteHeld(const wire::PlaceRequest &request, const wire::PlaceResponse &response)
    {
        if (response.verdict != wire::PlaceVerdict::Granted)
            return;
        Held &place = held[request.requestId];
        place.place = {request.requestId, request.service, request.workspace, response.upstream, 0};
        place.deadline = clock.now() + absl::Milliseconds(request.deadlineMs);
        instance = request.instance;
    }

    /// A broker that has just begun, or that was out of reach, does not know all places.
    void announceHeld()
    {
        if (held.empty() || broker.empty())
            return;
        wire::HeldPlaces message;
        message.instance = instance;
        for (const auto &[id, place] : held) {
            message.places.push_back(place.place);
            message.places.back().deadlineMs =
                    absl::ToInt64Milliseconds(place.deadline - clock.now());
        }
        channels.channel(broker)->push(wire::Method::Hold, wire::encode(message));
    }

    void release(const wire::PlaceRelease &release)
    {
        held.erase(release.requestId);
        // The broker may have adopted a place of the own share.
        if (ownRequests.erase(release.requestId) > 0)
            own.release(release);
        if (!broker.empty())
            channels.channel(broker)->push(wire::Method::Release, wire::encode(release));
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    const Clock &clock;
    const PlaceClientSettings settings;
    PlaceBroker own;
    std::string broker;
    absl::Time avoidUntil = absl::InfinitePast();
    std::set<std::string> ownRequests;
    struct Held
    {
        wire::HeldPlace place;
        absl::Time deadline;
    };
    /// By request; of the broker and of the own share.
    std::map<std::string, Held> held;
    std::string instance;
    bool reachable = true;
    bool stopped = false;
};

PlaceClient::PlaceClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
                         PlaceClientSettings settings)
    : m_impl(std::make_shared<Impl>(loop, channels, clock, settings))
{}

PlaceClient::~PlaceClient()
{
    stop();
}

void PlaceClient::setBroker(const std::string &address)
{
    if (m_impl->broker == address)
        return;
    m_impl->broker = address;
    m_impl->avoidUntil = absl::InfinitePast();
    log(LogLevel::Info, "place-broker-changed",
        {{"peerAddress", address}, {"heldPlaces", static_cast<std::int64_t>(m_impl->held.size())}});
    m_impl->announceHeld();
}

void PlaceClient::setDeployment(std::shared_ptr<const DeploymentIndex> deployment)
{
    m_impl->own.setDeployment(std::move(deployment));
}

void PlaceClient::setUpstreams(const std::vector<wire::FleetUpstream> &upstreams,
                               std::size_t entries)
{
    const double sharers = static_cast<double>(std::max<std::size_t>(entries, 1));
    m_impl->own.setUpstreams(upstreams,
                             {1 / sharers, std::min(1.0, m_impl->settings.placeFactor / sharers)});
}

void PlaceClient::place(const wire::PlaceRequest &request, Answer answer)
{
    m_impl->place(request, std::move(answer));
}

void PlaceClient::release(const wire::PlaceRelease &release)
{
    m_impl->release(release);
}

void PlaceClient::loadReported(const wire::UpstreamLoad &load)
{
    m_impl->own.loadReported(load);
    if (!m_impl->broker.empty())
        m_impl->channels.channel(m_impl->broker)->push(wire::Method::Load, wire::encode(load));
}

void PlaceClient::stop()
{
    m_impl->stopped = true;
}

} // namespace rattanrill::serving
