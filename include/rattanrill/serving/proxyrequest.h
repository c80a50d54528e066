#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/net/server.h"
#include "rattanrill/serving/bufferbudget.h"
#include "rattanrill/serving/crashguard.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/serving/protocoladapter.h"
#include "rattanrill/serving/shutdownstate.h"
#include "rattanrill/serving/slotclient.h"
#include "rattanrill/serving/upstreamcaller.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace rattanrill::serving {

/// Identity of the entry process that serves the requests.
struct InstanceIdentity
{
    std::string instance;
    std::string failureDomain;
};

/// Dependencies that all requests of an entry process share. All members outlive the requests.
struct ServingContext
{
    net::EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    const ProtocolAdapter &protocol;
    UpstreamCaller &upstreams;
    SlotClient &slotClient;
    CrashGuard &crashGuard;
    InstanceIdentity identity;
    /// Age of the process's list of upstreams, infinite if unknown; for log lines.
    std::function<absl::Duration()> upstreamListAge = [] { return absl::InfiniteDuration(); };
    ShutdownState shutdown = {};
    /// Time since the configuration in force was the newest one.
    std::function<absl::Duration()> configurationAge = [] { return absl::ZeroDuration(); };
    /// Bytes of responses that all requests of the process buffer together.
    std::shared_ptr<BufferBudget> buffers = std::make_shared<BufferBudget>();
};

/// A caller's request after its route and workspace have been resolved.
struct RoutedRequest
{
    std::shared_ptr<const DeploymentIndex> deployment;
    const Route *route = nullptr;
    /// Empty for a request without a key on a route that allows anonymous requests.
    std::string workspace;
    int priority = 0;
    CallerRequest caller;
};

/// Forwards the request of \a exchange to an upstream of the route and returns the upstream's
/// response unchanged, event by event on streams. When an attempt fails, a request that may run
/// again continues at another upstream. An error response states "not run" only if no upstream has
/// run the request. The proxied request keeps itself alive until the exchange has ended.
void proxyRequest(const ServingContext &context, RoutedRequest request,
                  std::shared_ptr<net::Exchange> exchange);

} // namespace rattanrill::serving
