#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/serving/bufferbudget.h"
#include "rattanrill/serving/crashguard.h"
#include "rattanrill/serving/protocoladapter.h"
#include "rattanrill/serving/upstreamcaller.h"
#include "rattanrill/wire/fleetmessages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rattanrill::serving {

/// Dependencies of ForwardingService. All members outlive it.
struct ForwardingContext
{
    net::EventLoop &loop;
    const Clock &clock;
    const ProtocolAdapter &protocol;
    UpstreamCaller &upstreams;
    CrashGuard &crashGuard;
    /// Bytes of responses that the process buffers, also those of its own callers.
    std::shared_ptr<BufferBudget> buffers;
    /// Whether the upstream may get requests: it is listed at the address and is not leaving.
    std::function<bool(const std::string &upstream, const std::string &address)> mayBeCalled;
    /// Reports what an upstream announced in a response to another request.
    std::function<void(const wire::UpstreamLoad &load)> reportLoad;
    /// Whether the process ends.
    std::function<bool()> isStopping;
};

/// Forwards the calls of processes that are cut off from the upstreams. The sender reads the
/// response part by part; a call whose sender does not read on is cancelled. The sender keeps the
/// request: it decides on slots, timeouts and further attempts, and judges the response. Used on
/// the event loop only.
class ForwardingService
{
public:
    explicit ForwardingService(ForwardingContext context);
    ~ForwardingService();
    ForwardingService(const ForwardingService &) = delete;
    ForwardingService &operator=(const ForwardingService &) = delete;

    /// Receives calls from \a server. Call it before the server starts.
    void install(peer::Server &server);
    /// Number of calls that have not ended or whose end has not been read.
    std::size_t openCalls() const;
    /// Ends all calls as Broken.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::serving
