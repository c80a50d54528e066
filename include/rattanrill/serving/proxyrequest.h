#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/net/server.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/serving/protocoladapter.h"
#include "rattanrill/serving/slotclient.h"

#include <memory>
#include <string>

namespace rattanrill::serving {

/// How this entry names itself.
struct InstanceIdentity
{
    std::string instance;
    std::string failureDomain;
};

/// What all requests of an entry share. All members outlive the requests.
struct ServingContext
{
    net::EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    const ProtocolAdapter &protocol;
    net::ConnectionPool &upstreams;
    SlotClient &slotClient;
    InstanceIdentity identity;
};

/// A caller's request whose route and workspace are known.
struct RoutedRequest
{
    std::shared_ptr<const DeploymentIndex> deployment;
    const Route *route = nullptr;
    /// Empty on an open route without a key.
    std::string workspace;
    int priority = 0;
    CallerRequest caller;
};

/// Passes \a exchange on to an upstream of the route and answers it with the upstream's answer:
/// unchanged, event by event on streams. A request that may run again goes on at another upstream
/// when the first one breaks off; a refusal that says "not run" is true. Keeps itself alive until
/// the exchange has ended.
void proxyRequest(const ServingContext &context, RoutedRequest request,
                  std::shared_ptr<net::Exchange> exchange);

} // namespace rattanrill::serving
