#include "rattanrill/fleet/fleetclient.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {
namespace {

/// Addresses that are asked at once while no leader is known; three processes found a fleet.
constexpr std::size_t searchWidth = 3;

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

    wire::FleetSyncRequest request() const
    {
        wire::FleetSyncRequest request;
        request.self = settings.self;
        request.viewTerm = viewTerm;
        request.viewSequence = viewSequence;
        request.configurationVersion = state.configurationVersion;
        request.waitMs = absl::ToInt64Milliseconds(settings.pollWait);
        if (storeReport)
            storeReport(request);
        return request;
    }

    void sendHeartbeat(bool leaving)
    {
        if (leader.empty())
            return;
        wire::FleetSyncRequest message = request();
        message.leaving = leaving;
        message.waitMs = 0;
        channels.channel(leader)->sendOneWay(wire::Method::Sync, wire::encode(message));
    }

    /// The leader when it is known. Otherwise a few of the known addresses, each time others: a
    /// process that is down answers nothing for a while.
    std::vector<std::string> nextAddresses()
    {
        if (!leader.empty())
            return {leader};
        std::vector<std::string> known = settings.seeds;
        for (const wire::FleetMemberStatus &live : state.members) {
            const std::string &address = live.member.peerAddress;
            const bool isNew = std::find(known.begin(), known.end(), address) == known.end();
            if (live.member.role == wire::MemberRole::Control && isNew)
                known.push_back(address);
        }
        std::vector<std::string> addresses;
        while (addresses.size() < std::min(known.size(), searchWidth))
            addresses.push_back(known[nextKnown++ % known.size()]);
        return addresses;
    }

    /// Begins a round of polls; answers to those of earlier rounds are ignored.
    void poll()
    {
        if (stopped)
            return;
        ++round;
        const std::vector<std::string> addresses = nextAddresses();
        openPolls = addresses.size();
        if (addresses.empty())
            return later();
        for (const std::string &address : addresses)
            poll(address);
    }

    void poll(const std::string &address)
    {
        const absl::Time sentAt = clock.now();
        channels.channel(address)->call(
                wire::Method::Sync, wire::encode(request()), settings.pollTimeout,
                [self = shared_from_this(), address, sentAt,
                 sentIn = round](Outcome<std::string> outcome) {
                    self->loop.post([self, address, sentAt, sentIn, outcome = std::move(outcome)] {
                        if (!self->stopped && sentIn == self->round)
                            self->answered(address, sentAt, outcome);
                    });
                });
    }

    void answered(const std::string &address, absl::Time sentAt,
                  const Outcome<std::string> &outcome)
    {
        --openPolls;
        if (!outcome.ok())
            return failed(address, outcome.failure());
        const auto response =
                outcomeOf([&] { return wire::decode<wire::FleetSyncResponse>(outcome.value()); });
        if (!response.ok())
            return failed(address, response.failure());
        if (leader != address || !connected) {
            log(LogLevel::Info, "fleet-leader-found",
                {{"peerAddress", address}, {"term", response.value().viewTerm}});
        }
        leader = address;
        connected = true;
        followsHint = false;
        backoff = settings.minBackoff;
        freshAt = sentAt;
        take(response.value());
        poll();
    }

    void take(const wire::FleetSyncResponse &response)
    {
        const bool hasView = response.viewTerm != viewTerm || response.viewSequence != viewSequence;
        const bool hasConfiguration = response.configurationVersion > state.configurationVersion
                                      && !response.configuration.empty();
        if (hasConfiguration) {
            state.configurationVersion = response.configurationVersion;
            state.configuration = response.configuration;
        }
        if (hasView) {
            viewTerm = response.viewTerm;
            viewSequence = response.viewSequence;
            state.members = response.members;
            state.membersComplete = response.membersSettled;
            state.storeFounders = response.storeFounders;
            // A new leader has not read the platform's list yet; the former one's stays in use.
            if (response.upstreamsKnown) {
                state.upstreams = response.upstreams;
                state.upstreamsKnown = true;
            }
        }
        if (hasView || hasConfiguration) {
            for (const Listener &listener : listeners)
                listener(state);
        }
    }

    void failed(const std::string &address, const Failure &failure)
    {
        const bool hasHint = failure.code == ErrorCode::NotLeader && !failure.detail.empty();
        if (connected) {
            log(LogLevel::Warning, "fleet-leader-lost",
                {{"peerAddress", address},
                 {"code", name(failure.code)},
                 {"detail", failure.detail},
                 {"configurationVersion", state.configurationVersion}});
        }
        connected = false;
        const std::string hinted = hasHint ? peerAddressOf(failure.detail) : std::string();
        leader = hinted == address ? std::string() : hinted;
        // Two replicas with old views may name each other.
        const bool isNewHint = !leader.empty() && !followsHint;
        followsHint = isNewHint;
        if (isNewHint)
            poll();
        else if (openPolls == 0)
            later();
    }

    void later()
    {
        loop.timers().subscribeOnce(backoff, [self = shared_from_this()] { self->poll(); });
        backoff = std::min(backoff * 2, settings.maxBackoff);
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    FleetClientSettings settings;
    const Clock &clock;
    FleetState state;
    std::uint64_t viewTerm = 0;
    std::uint64_t viewSequence = 0;
    std::vector<Listener> listeners;
    std::function<void(wire::FleetSyncRequest &)> storeReport;
    std::string leader;
    std::size_t nextKnown = 0;
    bool connected = false;
    /// The poll under way goes to the leader that the answer before it named.
    bool followsHint = false;
    std::uint64_t round = 0;
    /// Polls of this round without an answer.
    std::size_t openPolls = 0;
    bool stopped = false;
    absl::Duration backoff;
    absl::Time freshAt = absl::InfinitePast();
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

void FleetClient::setStoreReport(std::function<void(wire::FleetSyncRequest &)> report)
{
    m_impl->storeReport = std::move(report);
}

void FleetClient::start()
{
    m_impl->poll();
}

void FleetClient::sendHeartbeat()
{
    if (!m_impl->stopped)
        m_impl->sendHeartbeat(false);
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
    m_impl->listeners.clear();
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
    return m_impl->clock.now() - m_impl->freshAt;
}

std::string FleetClient::leaderAddress() const
{
    return m_impl->leader;
}

} // namespace rattanrill::fleet
