#pragma once

#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/serving/slotbroker.h"

#include "absl/time/time.h"

#include <memory>
#include <string>

namespace rattanrill::serving {

/// Settings of a SlotClient.
struct SlotClientSettings
{
    /// Time for the round trip to the broker. The timeout of a call is this time plus
    /// maxResponseDelay, for which the broker may delay its response.
    absl::Duration roundTripAllowance = absl::Milliseconds(60);
    /// Local share of the slots, as a multiple of an equal share. It is larger than an equal share
    /// because callers are distributed unevenly over entry processes, and because batch tasks stop
    /// while there is no broker.
    double localSlotFactor = 2;
    /// Local share of the upstreams' request limits, as a multiple of an equal share. Smaller than
    /// an equal share, because the broker grants the whole limit to entries that reach it.
    double localLimitFactor = 0.5;
    /// After a call without a response, slots are granted from the local share for this long.
    absl::Duration brokerRetryDelay = absl::Milliseconds(500);
    /// A report of held slots to which the broker has not responded after this time is repeated.
    absl::Duration reportTimeout = absl::Milliseconds(300);
    /// Settings of the local broker. The timeout of calls to the deployment's broker uses its
    /// maxResponseDelay too.
    SlotBrokerSettings localBroker;
};

/// Requests slots from the deployment's broker, and falls back to the local share of the entry
/// process while the broker can't be reached. Used on the event loop only.
class SlotClient
{
public:
    /// \a fromLocalShare: the local share made the decision because the broker was unknown or did
    /// not respond.
    using ResponseCallback = std::function<void(const wire::SlotResponse &, bool fromLocalShare)>;

    SlotClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
               SlotClientSettings settings);
    ~SlotClient();
    SlotClient(const SlotClient &) = delete;
    SlotClient &operator=(const SlotClient &) = delete;

    /// \a address: the broker's peer address; empty when none is known.
    void setBroker(const std::string &address);
    void setDeployment(std::shared_ptr<const DeploymentIndex> deployment);
    /// \a entries: number of entry processes that share the upstreams; 0 when unknown, and then
    /// there is no local share. \a readAt: time, not later than the actual one, at which the list
    /// was read from the platform.
    void setUpstreams(const std::vector<wire::FleetUpstream> &upstreams, std::size_t entries,
                      absl::Time readAt = absl::InfinitePast());
    /// See SlotBroker::setEvacuatedDomains().
    void setEvacuatedDomains(const std::vector<std::string> &failureDomains);
    /// See SlotBroker::confirmUpstreams().
    void confirmUpstreams(absl::Time readAt);
    void acquire(const wire::SlotRequest &request, ResponseCallback callback);
    /// Origin of a stream that this process has begun or continued; nullopt when it is not known.
    std::optional<policy::StreamOrigin> streamOrigin(const std::string &stream) const;
    /// Releases a slot. May also be called for a request whose outcome has not arrived.
    void release(const wire::SlotRelease &release);
    /// Reports the headers of a response to the broker and to the local share.
    void reportLoad(const wire::UpstreamLoad &load);
    /// Whether the upstream \a id at \a address announced to this process that it leaves, or a list
    /// has shown it as draining for a short time, see SlotBroker::isLeaving(). No request may be
    /// sent to it then, although the broker may still grant its slots.
    bool isLeaving(const std::string &id, const std::string &address) const;
    /// Repeats the announcement of \a upstream to the broker, which granted a slot there.
    void repeatLeaving(const std::string &upstream, const std::string &address);
    /// See SlotBroker::onUpstreamLeaving().
    void onUpstreamLeaving(std::function<void(const std::string &address)> listener);
    /// Ignores the responses to calls that are still pending.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::serving
