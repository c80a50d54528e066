#pragma once

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/policy/slotscheduler.h"
#include "rattanrill/policy/upstreamlinks.h"
#include "rattanrill/serving/forwardingclient.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::serving {

/// Where a call goes.
struct UpstreamTarget
{
    std::string upstream;
    /// Address of the upstream.
    std::string address;
    /// Peer address of an entry that forwards the call if this process is cut off; may be empty.
    std::string forwarderAddress{};
    /// Time until the response is no longer needed.
    absl::Duration timeout = absl::Seconds(60);
};

/// Calls upstreams, on its own connections or, while this process is cut off from the upstreams, by
/// way of another entry. Finds out by its connections whether it is cut off, and by attempts to
/// connect when it no longer is. Used on the event loop only.
class UpstreamCaller
{
public:
    using CallId = std::uint64_t;

    /// \a connections and \a forwarder outlive the caller.
    UpstreamCaller(net::EventLoop &loop, net::ConnectionPool &connections,
                   ForwardingClient &forwarder);
    ~UpstreamCaller();
    UpstreamCaller(const UpstreamCaller &) = delete;
    UpstreamCaller &operator=(const UpstreamCaller &) = delete;

    void setUpstreams(const std::vector<wire::FleetUpstream> &upstreams);
    /// Whether a call of \a target is expected to reach the upstream.
    bool canCall(const UpstreamTarget &target, const std::string &requestId) const;
    /// See net::ConnectionPool::call(). For a call that another entry forwards, \a writer is called
    /// before return; that entry replaces the remaining time when it sends the request.
    CallId call(const UpstreamTarget &target, net::RequestWriter writer, net::CallHandlers handlers,
                const std::string &requestId, ForwardingOptions options = {});
    /// No handler of the call runs after return.
    void cancel(CallId call);
    /// Whether another entry forwards \a call, which has not ended.
    bool isForwarded(CallId call) const;
    /// Tries to connect to \a upstream, which has not responded in time to a call on a connection
    /// of this process, unless it has accepted a connection or acknowledged something a moment ago,
    /// because silence alone does not show that the link is lost. While several upstreams are
    /// silent, the ones that have accepted a connection are connected to again in turn. \a probed
    /// is called once the result is known; it may be null.
    void probeSilent(const std::string &upstream, std::function<void()> probed = nullptr);
    /// Whether \a upstream was found reachable a moment ago, by a new connection or because its
    /// system has acknowledged something, and has answered each attempt to connect since.
    bool isReachable(const std::string &upstream) const;
    /// Whether established connections do not respond, and \a upstream can't be connected to.
    bool isLost(const std::string &upstream) const;
    /// Whether this process is cut off from the upstreams.
    bool isCutOff() const;
    policy::LinkState linkState() const;
    /// Calls \a changed once from the event loop, when linkState() has changed.
    void awaitLinkChange(std::function<void()> changed);
    /// Ids of the upstreams for which probeSilent() was called in the last 2 s, and from which no
    /// byte has arrived since.
    std::vector<std::string> silentUpstreams() const;
    /// Whether established connections of this process respond.
    bool canReceive() const;
    /// Whether an attempt that ended by \a reason tells something about its upstream, and not only
    /// about the links of this process.
    bool isWitness(policy::ReleaseReason reason) const;
    /// Whether a connection of this process to \a address is established.
    bool hasOpenConnections(const std::string &address) const;
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::serving
