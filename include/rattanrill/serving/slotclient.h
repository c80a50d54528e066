#pragma once

#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/serving/slotbroker.h"

#include "absl/time/time.h"

#include <memory>
#include <string>

namespace rattanrill::serving {

struct SlotClientSettings
{
    /// Time for the way to the broker and back, beside the time for which it may hold a question.
    absl::Duration answerSlack = absl::Milliseconds(60);
    /// Own share of the places, as a multiple of an equal one: callers are spread unevenly over
    /// entries, and batch work stops while there is no broker.
    double placeFactor = 2;
    /// After a call without an answer, places come from the own share for this long.
    absl::Duration avoidFor = absl::Milliseconds(500);
    SlotBrokerSettings own;
};

/// Asks the deployment's broker for places, and falls back on the entry's own share while the
/// broker can't be reached. Used on the event loop only.
class SlotClient
{
public:
    /// \a fromOwnShare: the broker did not answer.
    using ResponseCallback = std::function<void(const wire::SlotResponse &, bool fromOwnShare)>;

    SlotClient(net::EventLoop &loop, peer::ChannelPool &channels, const Clock &clock,
               SlotClientSettings settings);
    ~SlotClient();
    SlotClient(const SlotClient &) = delete;
    SlotClient &operator=(const SlotClient &) = delete;

    /// \a address: the broker's peer address; empty when none is known.
    void setBroker(const std::string &address);
    void setDeployment(std::shared_ptr<const DeploymentIndex> deployment);
    /// \a entries: entries that share the upstreams.
    void setUpstreams(const std::vector<wire::FleetUpstream> &upstreams, std::size_t entries);
    void acquire(const wire::SlotRequest &request, ResponseCallback answer);
    /// Also for a request whose answer has not come.
    void release(const wire::SlotRelease &release);
    void reportLoad(const wire::UpstreamLoad &load);
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::serving
