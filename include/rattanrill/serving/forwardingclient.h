#pragma once

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/serving/crashguard.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rattanrill::serving {

/// What a call needs besides its request when another entry forwards it.
struct ForwardingOptions
{
    /// Traits by which the forwarding entry attributes a crash of the upstream.
    CrashTraits traits;
    /// Called when the forwarding entry does not respond in time, after which the call goes on
    /// unless it was cancelled, and before net::CallHandlers::onEnd if that entry is the reason for
    /// the end. Must not cancel the call.
    std::function<void()> onForwarderFailed = [] {};
};

/// A call that another entry forwards to an upstream.
struct ForwardedCall
{
    /// Peer address of the entry that forwards the call.
    std::string forwarderAddress;
    std::string upstream;
    /// Address of the upstream.
    std::string address;
    std::string requestId;
    /// The serialized HTTP request.
    std::string request;
    absl::Duration timeout;
    ForwardingOptions options;
};

/// Sends calls to upstreams by way of other entries, see ForwardingService. Used on the event loop
/// only.
///
/// Each call has the same outcome for its handlers as one by net::ConnectionPool. The response is
/// read part by part, one read at a time, so a forwarding entry that is lost is noticed by a read
/// that fails.
class ForwardingClient
{
public:
    using CallId = std::uint64_t;

    ForwardingClient(net::EventLoop &loop, peer::ChannelPool &channels);
    ~ForwardingClient();
    ForwardingClient(const ForwardingClient &) = delete;
    ForwardingClient &operator=(const ForwardingClient &) = delete;

    /// Of \a handlers, onHead, onBody and onEnd are used.
    CallId call(const ForwardedCall &call, net::CallHandlers handlers);
    /// No handler of the call runs after return.
    void cancel(CallId call);
    /// Drops all calls without calling their handlers.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::serving
